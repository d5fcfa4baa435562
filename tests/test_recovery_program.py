"""Recovery in the program: without it, its configuration, and processes that are killed and restarted."""

import asyncio
import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace

import pytest
from click.testing import CliRunner
from faults import TENANTS, FaultsCase

from frostspindle import config as configuration
from frostspindle.cli import cli
from frostspindle.config import ConfigError
from frostspindle.lab.engines import coordinator_config
from frostspindle.policy import AttemptOutcome
from frostspindle.recovery.admission import RecoveryAdmission, SlowStartCurve
from frostspindle.recovery.agreement import AgreedState
from frostspindle.recovery.effect_handler import EffectHandler
from frostspindle.recovery.gate import RecoveryGate
from frostspindle.recovery.outputs import ClaimResolved
from frostspindle.recovery.tickets import ClaimOutcome
from frostspindle.recovery.wire import ListedEngine

ROOT = Path(__file__).parent.parent
RECOVERY = '[recovery]\nfolder = "FOLDER/store"\nfirst_start = true\n'
STAGES = ["address", "find", "agree", "rights", "engines", "service"]


async def post_query(port: int, request_class: str, number: int) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"POST /call/{request_class} HTTP/1.1\r\nHost: f\r\nX-Request-Id: {number:016x}\r\nX-Timeout-Ms: 6000\r\n"
        "X-Cost-Ms: 10\r\nX-Memory: 16\r\nConnection: close\r\nContent-Length: 8\r\n\r\nSELECT 1".encode()
    )
    while True:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20.0)
        body = await reader.read()
        writer.close()
        if b'"next"' not in body:
            break
        path = json.loads(body)["next"]  # the response was not ready within a second: it follows at this path
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n".encode())
    return int(head.split()[1])


def read_config(text: str, **environ: str) -> configuration.Config:
    with tempfile.TemporaryDirectory() as folder:
        config, operator = Path(folder, "config.json"), Path(folder, "operator.toml")
        config.write_text(json.dumps(coordinator_config([])))
        operator.write_text(text)
        return configuration.read(
            {
                "LB_CONFIG": str(config),
                "FROSTSPINDLE_OPERATOR": str(operator),
                "LB_LISTEN": "127.0.0.1:0",
                **environ,
            }
        )


def test_example_configuration_is_valid_and_each_fault_names_its_key():
    good = (ROOT / "deploy" / "recovery.toml").read_text()
    assert read_config(good).operator.recovery.folder
    assert read_config("").operator.recovery is None
    for text, key in (
        ('[recovery]\nfolder = "here"', "recovery.folder"),
        ("[recovery]\nticket_ms = 1", "ticket_ms"),
        ("[recovery]\nfoldr = ''", "foldr"),
        ("[recovery]\n[cores]\nworkers = 2", "recovery: needs cores.workers"),
    ):
        with pytest.raises(ConfigError, match=key):
            read_config(text)
    with pytest.raises(ConfigError, match="recovery: needs a name"):
        read_config("[recovery]", LB_NAME="n" * 65)


def test_process_without_recovery_does_not_import_it():
    loaded = subprocess.run(
        [sys.executable, "-c", "import sys, frostspindle.program; print(*sys.modules)"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert [module for module in loaded if module.startswith(("frostspindle.recovery", "frostspindle.store"))] == []


def test_lab_power_prints_the_same_object_for_the_same_seed():
    arguments = [
        "lab",
        "power",
        "--nodes",
        "3",
        "--seed",
        "5",
        "--seconds",
        "30",
        "--json",
        "--no-naive",
        "--faults",
        "12-15 cut 0|1-2; 0- loss 0.1",
    ]
    first, second = (CliRunner().invoke(cli, arguments) for _ in range(2))
    figures = json.loads(first.output)
    assert first.output == second.output
    assert [figures[key] for key in ("overspend", "cold_overruns", "loads_doubled", "stuck")] == [0] * 4
    assert figures["served"] > 50
    assert CliRunner().invoke(cli, ["lab", "power", "--faults", "1 rain"]).exit_code == 2


def test_agreed_list_is_restored_with_the_published_engine_starts():
    """Restoring the later, reported start barred coordinators that use the bus's start from cold rights for good."""
    restored, ignore = [], lambda *args, **kwargs: None
    service = SimpleNamespace(
        telemetry=SimpleNamespace(log=ignore),
        excluded=SimpleNamespace(operator_bans=frozenset(), withhold=ignore),
        program=SimpleNamespace(bus=SimpleNamespace(last=1, restore=restored.append)),
        node=SimpleNamespace(bans=SimpleNamespace(banned_by_any=frozenset)),
    )
    engine = ListedEngine("e", "127.0.0.1:1", "z", "k", 0, 1, 1.0, 1.7e12 + 9.0, 1.7e12)
    EffectHandler(service).on_agreed(AgreedState(True, 2, (engine,), frozenset(), frozenset(), {}))
    assert [host.born_ms for event in restored for host in event.topology.hosts] == [1.7e12]


def test_gate_notifies_the_node_of_answers_and_refused_connections_only():
    notified, drained = [], []
    node = SimpleNamespace(
        outputs=SimpleNamespace(effects=[1]),
        on_attempt_ended=lambda unix, engine, refused: notified.append((engine, refused)),
    )
    gate = RecoveryGate(SimpleNamespace(node=node, flush_outputs=lambda: drained.append(1)), None, ())
    for outcome in AttemptOutcome:  # a broken connection may predate a power loss
        gate.on_attempt_ended("e", outcome)
    assert notified == [("e", False), ("e", True)]
    assert drained


def test_load_rejected_by_replicas_in_cooldown_gets_the_longest_retry_after():
    """Replicas stay in cooldown for minutes: a client that retried within a second was rejected again and again."""
    for outcome, min_ms, max_ms in (
        (ClaimOutcome.NO_QUORUM, 500.0, 1_500.0),
        (ClaimOutcome.NO_RECORD, 1_000.0, 3_000.0),
    ):
        waits: list[float] = []
        service = SimpleNamespace(
            gate=SimpleNamespace(waiting={}),
            telemetry=SimpleNamespace(count=lambda name: None),
            config=SimpleNamespace(claim_ms=1_000.0),
            admission=RecoveryAdmission((), SlowStartCurve(), 1.0, 9, 1, 3_000.0),
            node=SimpleNamespace(stages=SimpleNamespace(finished=True)),
            core=SimpleNamespace(
                reject_waiting=lambda request_number, response, waits=waits: waits.append(response.retry_after_ms)
            ),
        )
        for number in range(40):
            service.gate.waiting[number] = None
            EffectHandler(service).on_claim_resolved(ClaimResolved(number, outcome))
        assert all(min_ms - 1.0 <= wait <= max_ms + 1.0 for wait in waits), waits
        assert max(waits) > 0.8 * max_ms


class ProcessesCase(FaultsCase):
    async def wait_for_service(self, fleet, incarnation: int) -> None:
        for process in fleet.processes:
            await process.until(
                lambda polled=process, expected=incarnation: [
                    line
                    for line in polled.events("recovery_stage_changed", stage="service")
                    if line["life"] == expected
                ]
            )

    async def test_three_killed_at_once_recover_and_no_load_runs_twice(self):
        fleet = await self.fleet(3, "", tenants=TENANTS + RECOVERY)
        await self.wait_for_service(fleet, 1)
        assert (await post_query(fleet.processes[0].http, "load", 7)) == 200
        assert [await post_query(process.http, "load", 7) for process in fleet.processes] == [502] * 3
        recovery_figures = await fleet.processes[1].figures("show-recovery")
        assert recovery_figures["agreed"]
        for process in fleet.processes:
            await process.end(signal.SIGKILL)
        for process in fleet.processes:
            await process.start()
        await self.wait_for_service(fleet, 2)
        for process in fleet.processes:
            lines = [line for line in process.events("recovery_stage_changed") if line["life"] == 2]
            assert [line["stage"] for line in lines][:6] == STAGES
            assert [line["verdict"] for line in process.events("recovery_store_opened")][-1] == "good"
            assert [line for line in process.events("recovery_engines_marked_restarted") if line["life"] == 2]
        assert [await post_query(process.http, "load", 7) for process in fleet.processes] == [502] * 3
        assert (await post_query(fleet.processes[2].http, "lookup", 8)) == 200
        assert sum(engine.posts for engine in fleet.engines) == 2
        self.codes = await fleet.close()
        assert self.codes == [0] * 3
        assert [
            line
            for process in fleet.processes
            for line in process.lines
            if line["event"] in ("exception_caught", "text")
        ] == []

    async def test_single_coordinator_without_a_usable_store_serves_queries_but_no_loads(self):
        fleet = await self.fleet(1, "", tenants=TENANTS + RECOVERY.replace("FOLDER/store", "FOLDER/config.json"))
        [process] = fleet.processes
        await self.wait_for_service(fleet, 1)  # on a slow machine, earlier requests may be rejected
        assert (await post_query(process.http, "lookup", 1)) == 200
        assert (await post_query(process.http, "load", 2)) == 503
        assert fleet.engines[0].posts + fleet.engines[1].posts == 1
        assert process.events("recovery_stage_changed", left="store", weak=True)
