"""Leases in the program: disabled, their configuration, and the ledger's export sink over a durable store."""

import asyncio
import io
import subprocess
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace

import pytest
from test_replica_program import ConfigCase as Replicas

from frostspindle.config import ConfigError
from frostspindle.ledger.export import ExportSink, StaleExportError
from frostspindle.net.engines import HttpEngines
from frostspindle.ownership.fence import StaleTokenError, TokenFence
from frostspindle.store.marker_engine import MarkerEngine
from frostspindle.store.opening import open_store
from frostspindle.telemetry import Telemetry

GOOD = (Path(__file__).parent.parent / "deploy" / "ownership.toml").read_text()


def test_process_without_ownership_does_not_load_its_modules():
    loaded = subprocess.run(
        [sys.executable, "-c", "import sys, frostspindle.program; print(*sys.modules)"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert "frostspindle.program" in loaded
    assert [name for name in loaded if name.startswith(("frostspindle.ownership", "frostspindle.replica"))] == []


class ConfigCase(Replicas):
    def test_example_is_valid_and_errors_name_the_key(self):
        good = (
            GOOD.replace("/etc/frostspindle/replica.key", str(self.folder / "key"))
            .replace("# [[ownership.task]]  ", "[[ownership.task]]")
            .replace("# name = ", "name = ")
            .replace("# at = ", "at = ")
            .replace("# every_ms", "every_ms")
        )
        ownership = self.read(good).operator.ownership
        self.assertEqual((ownership.lease_ms, [task.name for task in ownership.task]), (3_000, ["export"]))
        task = good[good.index("[[ownership.task]]") :]
        for text, key in (
            (good.replace("lease_ms = 3000", "lease_ms = 30"), "lease_ms"),
            (good.replace("drift = 0.01", "drift = 0.5"), "drift"),
            (good.replace("127.0.0.1:7300", "sink"), r"ownership.task\[0\].at"),
            (good.replace('"export"', '"an export"'), "name"),
            (good + task, r"ownership.task\[1\].name"),
            (good.replace("[ownership]", "[ownersip]"), "ownersip"),
            (good + '\n[ownership.warm]\nclass = "x"\nstatement = ["SELECT 1"]\n', "ownership.warm: needs fleet.cold"),
            ("[ownership]\n", "ownership: needs \\[replica\\]"),
        ):
            with self.assertRaisesRegex(ConfigError, key):
                self.read(text)


del Replicas  # its tests run in their own file


@pytest.fixture
def folder():
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def test_fence_and_export_sink_keep_their_tokens_after_a_kill(folder):
    store = open_store(folder, "sink", MarkerEngine)
    fence, sink = TokenFence(store), ExportSink(store)
    fence.check("x", 5)
    assert sink.begin("2026-11", 5) is True and sink.take("2026-11", 5, b"rows") is True
    store._engine.close()  # like a kill: the witness is not updated and nothing is closed cleanly
    store._lock.close()

    store = open_store(folder, "sink", MarkerEngine)
    fence, sink = TokenFence(store), ExportSink(store)
    with pytest.raises(StaleTokenError):
        fence.check("x", 4)
    with pytest.raises(StaleExportError) as caught:
        sink.take("2026-11", 4, b"rows")
    assert caught.value.highest == 5 and sink.stale == 1
    # The exporter was killed between the export and its record: the successor's repeated export is stored once.
    assert sink.begin("2026-11", 9) is False and sink.take("2026-11", 9, b"rows") is False
    with pytest.raises(ValueError):
        sink.take("2026-11", 9, b"other rows")
    with pytest.raises(StaleExportError):
        sink.begin("2026-11", 5)
    assert sink.rows("2026-11") == b"rows" and sink.rows("2026-12") is None
    for period, token in (("", 1), ("x" * 65, 1), ("p", 0)):
        with pytest.raises(ValueError):
            sink.begin(period, token)
    store.close()


class Peer:
    """Responds with the listed statuses; None means no response."""

    def __init__(self, *statuses):
        self.statuses, self.calls = list(statuses), []

    async def call(self, call):
        self.calls.append((call.method, call.path.rpartition("/")[2], call.body))
        call.was_written = True
        status = self.statuses.pop(0)
        if status is None:
            await asyncio.sleep(60.0)
        return SimpleNamespace(status=status)


@pytest.mark.parametrize(
    "statuses, succeeds, methods",
    (
        ((200,), True, ["POST"]),
        ((202, 202, 200), True, ["POST", "GET", "GET"]),
        ((503,), False, ["POST"]),
        ((202, None, 204), False, ["POST", "GET", "DELETE"]),  # abandoned, with a request to the engine to stop
    ),
)
def test_warm_up_statement_is_polled_to_its_end_or_abandoned(statuses, succeeds, methods):
    async def warm():
        peer, tasks = Peer(*statuses), []
        driver = SimpleNamespace(
            pools={1: peer},
            telemetry=Telemetry("a", sink=io.BytesIO()),
            spawn=lambda work: tasks.append(asyncio.create_task(work)),
        )
        driver._drop = lambda peer, path: HttpEngines._drop(driver, peer, path)
        assert await HttpEngines.warm(driver, 1, "00aa", "SELECT 1", "lookup", 100.0) is succeeds
        assert await HttpEngines.warm(driver, 2, "00aa", "SELECT 1", "lookup", 100.0) is False
        await asyncio.gather(*tasks)
        assert [method for method, *_ in peer.calls] == methods and peer.calls[0][2] == b"SELECT 1"

    asyncio.run(warm())
