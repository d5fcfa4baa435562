"""The fleet in the program: configuration, commands, port, and verdicts passed to and from the decision module."""

import json
import subprocess
import sys
import tempfile
import unittest
from io import BytesIO
from pathlib import Path
from types import SimpleNamespace

import pytest
from click.testing import CliRunner
from faults import FaultsCase
from helpers import entry, settings

from frostspindle import config as configuration
from frostspindle import policy
from frostspindle.cli import cli
from frostspindle.config import ConfigError
from frostspindle.fleet import engine_verdicts, wire
from frostspindle.fleet.node import FleetNode, FleetSettings
from frostspindle.fleet.service import FleetService, monotonic
from frostspindle.lab.engines import coordinator_config
from frostspindle.policy import Controller
from frostspindle.telemetry import Telemetry

EXAMPLE = Path(__file__).parent.parent / "deploy" / "fleet.toml"


class ConfigCase(unittest.TestCase):
    def read(self, text: str, balancers: int = 1, **environ: str) -> configuration.Config:
        with tempfile.TemporaryDirectory() as folder:
            config, operator = Path(folder, "config.json"), Path(folder, "operator.toml")
            config.write_text(json.dumps(coordinator_config([], balancers=balancers)))
            operator.write_text(text)
            return configuration.read(
                {
                    "LB_CONFIG": str(config),
                    "FROSTSPINDLE_OPERATOR": str(operator),
                    "LB_LISTEN": "127.0.0.1:0",
                    **environ,
                }
            )

    def test_example_is_valid_and_the_fleet_is_disabled_by_default(self):
        fleet = self.read(EXAMPLE.read_text()).operator.fleet
        assert [seed.name for seed in fleet.seed] == ["c1", "c2", "c3"]
        assert self.read("").operator.fleet is None

    def test_each_configuration_error_names_its_key(self):
        example = EXAMPLE.read_text()
        for old, new, key in (
            ('listen = "127.0.0.1:7946"       #', 'listen = "[::1]:1"  #', "fleet.listen"),
            ('address = "127.0.0.1:7947"', 'address = "c2"', r"fleet.seed\[1\].address"),
            ('name = "c2"', 'name = "c1"', r"fleet.seed\[1\].name"),
            ('tenant = "blue"', 'tenant = "red"', r"fleet.budget\[0\].tenant"),
            ("[[tenant.rule]]", "share_per_s = 5.0\n[[tenant.rule]]", r"fleet.budget\[0\].tenant"),
            ("judges = 3", "judges = 1", "judges"),
            ("units = 60 ", "units = 0 ", "units"),
        ):
            assert old in example
            with pytest.raises(ConfigError, match=key):
                self.read(example.replace(old, new, 1))
        with pytest.raises(ConfigError, match="fleet: needs cores.workers"):
            self.read(example + "\n[cores]\nworkers = 2\n")
        with pytest.raises(ConfigError, match="fleet.cold: 1 balancers"):
            self.read(example.replace("[fleet]\n", "[fleet]\ncold = true\n", 1))
        # To the decision module each coordinator is one of several workers and uses no budget before its share is set.
        shared = self.read(example.replace("[fleet]\n", "[fleet]\ncold = true\n", 1), balancers=3).settings
        assert (shared.coordinators, shared.workers) == (3, 3)


class DisabledCase(unittest.TestCase):
    def test_process_without_a_fleet_imports_none_of_its_modules(self):
        loaded = subprocess.run(
            [sys.executable, "-c", "import sys, frostspindle.program; print(*sys.modules)"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()
        assert "frostspindle.program" in loaded
        assert [name for name in loaded if name.startswith(("frostspindle.fleet", "frostspindle.lab"))] == []


class CommandCase(unittest.TestCase):
    def test_lab_fleet_prints_one_object_equal_for_equal_seeds(self):
        arguments = [
            "lab",
            "fleet",
            "--nodes",
            "4",
            "--seed",
            "5",
            "--seconds",
            "20",
            "--json",
            "--faults",
            "9-12 cut 0|1-3",
        ]
        first, second = (CliRunner().invoke(cli, arguments) for _ in range(2))
        figures = json.loads(first.output)
        assert first.output == second.output
        assert figures["overspend"] == 0
        assert {"utilisation", "converge_s", "false_suspicions", "bytes_per_node_s"} <= figures.keys()
        invalid = CliRunner().invoke(cli, ["lab", "fleet", "--faults", "1 rain 2"])
        assert invalid.exit_code == 2
        assert "1 rain 2" in invalid.output

    def test_fleet_fails_if_the_coordinator_is_unreachable(self):
        assert CliRunner().invoke(cli, ["fleet", "--at", "127.0.0.1:1"]).exit_code == 5


class ModuleCase(unittest.TestCase):
    def test_request_over_the_fleet_budget_is_sent_after_one_within_it(self):
        module = Controller(settings(), 1)
        for number, over_budget in ((1, True), (2, False)):  # no engine yet: both are queued
            module.handle(1_000.0, policy.RequestArrived(number, 0, 0, 0, 5_000.0, 100.0, 10.0, 0.0, over_budget))
        assert [request.number for *_, request in module.waiting_queue] == [2, 1]
        actions = module.handle(1_001.0, policy.EndpointListUpdated(policy.EndpointListKind.FULL, 1, (entry(1),)))
        assert [a.request for a in actions if isinstance(a, policy.StartAttempt)][:1] == [2]


class VerdictCase(unittest.TestCase):
    """Verdicts of others that are passed to the decision module, and its own that are published."""

    def setUp(self):
        addresses = {name: ("127.0.0.1", port) for port, name in enumerate("abcd", 1)}
        self.module = Controller(settings(), 1)
        self.module.handle(
            1_000.0, policy.EndpointListUpdated(policy.EndpointListKind.FULL, 1, tuple(entry(n) for n in (1, 2, 3)))
        )
        self.loads: list[policy.WorkerLoad] = []

        def update_worker_loads(entries):
            self.loads += entries
            self.module.handle(2_000.0, policy.WorkerLoadReported(entries))

        core = SimpleNamespace(
            controller=self.module,
            banned=frozenset({"e-2"}),
            update_worker_loads=update_worker_loads,
            engines={n: SimpleNamespace(name=f"e-{n}", entry=entry(n)) for n in (1, 2, 3)},
        )
        self.service = FleetService(
            "a",
            addresses["a"],
            None,
            FleetSettings(addresses, quorum=3, chain_length=64),
            {},
            core,
            Telemetry(sink=BytesIO()),
        )
        self.service.node = FleetNode("a", addresses["a"], 1, b"s" * 16, self.service.settings, 0.0)

    def report(self, *names: str, sick: bool = True) -> None:
        for name in names:
            self.service.node.verdicts.on_digest(
                monotonic(), name, [wire.Verdict("e-1", engine_verdicts.SICK, 0.0, [0.9])] if sick else []
            )
        self.service._update()

    def test_quorum_of_three_ejects_an_engine_and_a_withdrawal_ends_it(self):
        self.report("b", "c")
        assert (self.loads, self.module.engines[1].ejected) == ([], False)
        self.report("d")
        assert [(peer.engine, peer.ejected, peer.slow_start_share) for peer in self.loads] == [(1, True, 1.0)]
        assert self.module.engines[1].ejected
        self.service._update()
        assert len(self.loads) == 1  # repeated verdicts must not override a local health check
        self.report("b", sick=False)
        assert not self.module.engines[1].ejected

    def test_verdicts_of_others_are_not_published_as_own(self):
        self.report("b", "c", "d")
        self.service._update()
        assert set(self.service.node.verdicts.own) == {("e-2", engine_verdicts.BANNED)}
        self.module.engines[3].ejected = True  # ejected by the module itself
        self.service._update()
        assert ("e-3", engine_verdicts.SICK) in self.service.node.verdicts.own


class PortCase(FaultsCase):
    async def test_second_process_of_a_name_has_no_quota_until_the_first_releases_its_port(self):
        fleet = await self.fleet(2, "")
        first = fleet.processes[0]
        predecessor = first.child, first.reader
        assert (await first.figures())["budgets"]["blue"]["own"] == 50
        operator_port, client_port = first.operator_port, first.http
        # Its successor has other ports for clients and operators, but the same UDP port.
        first.operator_port = first.http = 0
        await first.start()
        await first.until(lambda: first.events("fleet_bind_delayed"))
        assert len(first.events("fleet_joined")) == 1
        predecessor[0].terminate()
        assert await predecessor[0].wait() == 0
        await predecessor[1]
        await first.until(lambda: len(first.events("fleet_joined")) == 2)
        first.operator_port, first.http = operator_port, client_port
        await fleet.processes[1].until(
            lambda: len(fleet.processes[1].events("fleet_member", member="c0", state="alive")) >= 2
        )
