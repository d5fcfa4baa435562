"""The steady clock under steps of the wall clock, and the modules that may read the wall clock."""

import ast
import asyncio
import subprocess
import sys
import time
import unittest.mock
from pathlib import Path

import pytest
from test_client_departure import follow, post, running_site

from frostspindle.clock_file import BOOT_ID_PATH, FILE_NAME, share_offset
from frostspindle.core import steady_clock
from frostspindle.lab.engines import host_entry
from frostspindle.lab.faults.runner import Process
from frostspindle.lab.soak.stepped_clock import SteppedClock

ROOT = Path(__file__).parent.parent / "frostspindle"
STEPS_S = [3.0, -3.0, 60.0, -60.0, 3600.0, -3600.0]
# Modules that read the wall clock, and the Unix time that each needs. Durations must not be measured with it.
WALL_CLOCK_READERS = {
    "core/steady_clock.py",  # the only module for durations and for the conversion of received Unix times
    "cores/status.py",  # log lines
    "fleet/service.py",  # the epoch of a process, which orders it after its predecessor
    "ownership/export.py",  # the timestamp of an exported line
    "ownership/service.py",  # the time of a rejection, for operators
    "scatter/service.py",  # names of queries
    "settings/operator_calls.py",  # the age of stored versions, for operators
    "settings/rollout_log.py",  # the age of stored versions, in the log
    "settings/service.py",  # the timestamp of a stored version; the number of a process
    "subscriptions/service.py",  # the epoch of a process, like that of the fleet
    "telemetry.py",  # log lines; the start time, for operators
}
WALL_CLOCK_NAMES = {"time", "time_ns", "now", "utcnow", "today"}


@pytest.fixture
def original_offset():
    offset = steady_clock.offset_ms()
    yield offset
    steady_clock.set_offset_ms(offset)


def reads_wall_clock(path):
    return any(
        isinstance(node, ast.Attribute)
        and node.attr in WALL_CLOCK_NAMES
        and isinstance(node.value, ast.Name)
        and node.value.id in ("time", "datetime", "date")
        for node in ast.walk(ast.parse(path.read_text()))
    )


# Guards against: a deadline, window or wait was measured with the wall clock, which may step by an hour.
def test_only_listed_modules_read_the_wall_clock():
    readers = {
        str(path.relative_to(ROOT))
        for path in ROOT.rglob("*.py")
        if "lab" not in path.relative_to(ROOT).parts and reads_wall_clock(path)
    }
    assert readers == WALL_CLOCK_READERS


@pytest.mark.parametrize("step_s", STEPS_S)
def test_wall_clock_step_does_not_affect_the_steady_clock(step_s):
    real_time = time.time
    before = steady_clock.clock()
    with unittest.mock.patch("time.time", lambda: real_time() + step_s):
        assert 0.0 <= steady_clock.clock() - before < 1000.0
        # A start time by the stepped wall clock, as in the endpoint list, is converted with its correct age.
        now_ms = steady_clock.unix_ms()
        assert steady_clock.clock() - steady_clock.from_unix_ms(now_ms - 500.0) == pytest.approx(500.0, abs=50.0)
        # A time in the future, as after the clock was set back, counts as now.
        assert steady_clock.clock() - steady_clock.from_unix_ms(now_ms + 3_600_000.0) == pytest.approx(0.0, abs=50.0)
    assert steady_clock.from_unix_ms(0.0) == 0.0


# Guards against: an engine counted as restarted, or as cold for an hour, because its start was converted again.
def test_listed_start_time_is_converted_once(tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            born_ms = time.time() * 1000.0 - 500.0
            for _ in range(2):
                site.bus.say(host_entry(site.engine.name, site.engine.port, born_ms=born_ms))
            await site.process.until(lambda: len(site.process.events("engine_updated")) >= 2)
            starts = {line["since"] for line in site.process.events("engine_updated")}
            assert len(starts) == 1

    asyncio.run(run())


# Guards against: after a clock step, requests were abandoned, rejected or answered late, and engines got a wrong
# timeout.
@pytest.mark.parametrize("step_s", STEPS_S)
def test_request_that_is_open_at_a_clock_step_is_served_before_its_deadline(tmp_path, step_s, monkeypatch):
    clock = SteppedClock(tmp_path)
    environment = Process.process_environment
    monkeypatch.setattr(Process, "process_environment", lambda self: environment(self) | clock.environment())

    async def run():
        async with running_site(tmp_path) as site:
            reader, writer = await site.open()
            writer.write(post("00000000000000d4", timeout_ms=6000))
            await asyncio.sleep(0.2)  # the request waits, as there is no engine
            started_s = time.monotonic()
            clock.step(step_s)
            await asyncio.sleep(0.3)
            site.bus.say(host_entry(site.engine.name, site.engine.port, born_ms=round(clock.unix_ms())))
            async with asyncio.timeout(8.0):
                status, body = await follow(reader, writer)
            assert (status, len(body["rows"])) == (200, 1)
            engine_timeout_ms = site.engine.sent[0][2]
            assert 0.0 < engine_timeout_ms <= 6000.0 - 1000.0 * (0.2 + 0.3) + 50.0
            assert time.monotonic() - started_s < 3.0
            writer.close()

    asyncio.run(run())


# The offset that the processes of a coordinator share.


def test_processes_use_the_offset_of_the_first_one(tmp_path, original_offset):
    share_offset(tmp_path / "shared")
    assert steady_clock.offset_ms() == original_offset
    code = (
        "import sys; from pathlib import Path; from frostspindle.clock_file import share_offset;"
        "from frostspindle.core import steady_clock; share_offset(Path(sys.argv[1]));"
        "print(repr(steady_clock.offset_ms()))"
    )
    clock = SteppedClock(tmp_path)
    clock.step(-3600.0)
    for folder, is_shared in ((tmp_path / "shared", True), (tmp_path / "other", False)):
        printed = subprocess.run(
            [sys.executable, "-c", code, str(folder)],
            cwd=ROOT.parent,
            env={**clock.environment(), "PYTHONPATH": f"{clock.environment()['PYTHONPATH']}:{ROOT.parent}"},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        assert (abs(float(printed) - original_offset) < 1.0) == is_shared


@pytest.mark.parametrize(
    "written", ["", "half of it", "{boot} 12", "{boot} nan end", "{boot} 5.0 end", "other {own} end"]
)
def test_offset_that_is_malformed_or_of_another_boot_is_replaced(tmp_path, original_offset, written):
    boot_id = BOOT_ID_PATH.read_text().strip()
    (tmp_path / FILE_NAME).write_text(written.format(boot=boot_id, own=original_offset + 1000.0))
    share_offset(tmp_path)
    assert steady_clock.offset_ms() == original_offset
    assert (tmp_path / FILE_NAME).read_text() == f"{boot_id} {original_offset!r} end"
    assert [path.name for path in tmp_path.iterdir()] == [FILE_NAME]


@pytest.mark.parametrize("name", ["mkdir", "write_text", "read_text", "unlink"])
def test_folder_error_leaves_the_offset_unchanged(tmp_path, original_offset, name):
    with unittest.mock.patch.object(Path, name, side_effect=OSError(28, "no space")):
        share_offset(tmp_path / "shared")
    share_offset(None)
    assert steady_clock.offset_ms() == original_offset
