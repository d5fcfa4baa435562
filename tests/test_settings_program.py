"""Agreed settings in the program: configuration, applied rules, the service, operators' calls and the emulator."""

import asyncio
import base64
import json
import random
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from click.testing import CliRunner

from frostspindle import config as configuration
from frostspindle.cli import cli
from frostspindle.config import ConfigError
from frostspindle.core import Attempt, ClientRequest
from frostspindle.lab import settings as emulator
from frostspindle.lab.engines import coordinator_config, host_entry
from frostspindle.lab.faults.script import parse
from frostspindle.net.operator import MAX_CALL_BYTES, MAX_STREAM_CALL_BYTES, OperatorError
from frostspindle.program import Program
from frostspindle.replica.local import LocalLog
from frostspindle.settings import log_commands
from frostspindle.settings.active_rules import ActiveRules, RestoredVersions, RulesMode
from frostspindle.settings.agreement_settings import AgreementSettings
from frostspindle.settings.canary import HEADER_FIGURES, LATENCY_BUCKETS
from frostspindle.settings.log_commands import PublishVersion
from frostspindle.settings.operator_calls import OperatorCalls
from frostspindle.settings.schema import Ban, Class, Coordinator, Engine, Limit, ListScope, Login, Tenant
from frostspindle.settings.service import SettingsService
from frostspindle.settings.state_machine import SettingsStateMachine
from frostspindle.settings.task_ownership import LocalOwnership
from frostspindle.settings.version_encoding import pack_changes, split_into_pieces
from frostspindle.settings.version_store import VersionStore
from frostspindle.settings.versions import EMPTY_VERSION
from frostspindle.store.base import StoreBrokenError
from frostspindle.store.memory import MemoryStore
from frostspindle.telemetry import Telemetry

ROOT = Path(__file__).parent.parent
TDS = (
    '[tds]\nlisten = "127.0.0.1:0"\n[[tds.login]]\nclass = "report"\n[[tds.engine]]\nname = "t1"\n'
    'dial = "127.0.0.1:9"\n'
)
TENANT = '[[tenant]]\nname = "blue"\nshare_per_s = 50\n[[tenant.rule]]\nheader = "X-Team=blue"\n'


def read(text: str, hosts=(), **environ: str) -> configuration.Config:
    with tempfile.TemporaryDirectory() as folder:
        config, operator = Path(folder, "config.json"), Path(folder, "operator.toml")
        config.write_text(json.dumps(coordinator_config(list(hosts))))
        operator.write_text(text.replace("FOLDER", folder))
        return configuration.read(
            {"LB_CONFIG": str(config), "FROSTSPINDLE_OPERATOR": str(operator), "LB_LISTEN": "127.0.0.1:0", **environ}
        )


class ConfigCase(unittest.TestCase):
    def test_example_section_is_valid_and_each_fault_names_its_key(self):
        self.assertEqual(read((ROOT / "deploy" / "settings.toml").read_text()).operator.settings.lease_ms, 2_000)
        self.assertIsNone(read("").operator.settings)
        for text, key in (
            ('[settings]\nfolder = "here"', "settings.folder"),
            ('[settings]\nfile = "x"', "settings.file"),
            ('[settings]\nalone = "on"', "settings.alone"),
            ("[settings]\nlease_ms = 1", "lease_ms"),
            ("[settings]\nfoldr = ''", "foldr"),
            ("[settings]\n[cores]\nworkers = 2", "settings: needs cores.workers"),
        ):
            with self.assertRaisesRegex(ConfigError, key):
                read(text)
        with self.assertRaisesRegex(ConfigError, "settings: needs a name"):
            read("[settings]", LB_NAME="n" * 65)
        with (
            mock.patch("importlib.util.find_spec", return_value=None),
            self.assertRaisesRegex(ConfigError, r"settings: needs the extra"),
        ):
            read("[settings]")

    def test_invalid_settings_file_ends_the_start_naming_the_key(self):
        with tempfile.TemporaryDirectory() as folder:
            files = {name: Path(folder, name) for name in ("config.json", "operator.toml", "version.toml")}
            files["config.json"].write_text(json.dumps(coordinator_config([])))
            files["operator.toml"].write_text(f'[settings]\nfile = "{files["version.toml"]}"\n')
            files["version.toml"].write_text('[[class]]\nname = "lookup"\neffect = "once"\n')
            completed = subprocess.run(
                [sys.executable, "-m", "frostspindle"],
                capture_output=True,
                text=True,
                timeout=60,
                cwd=ROOT,
                env={"LB_CONFIG": str(files["config.json"]), "FROSTSPINDLE_OPERATOR": str(files["operator.toml"])},
            )
        self.assertEqual(completed.returncode, 2, completed.stderr)
        self.assertIn("settings.file: class/lookup.effect: needs a new start", completed.stderr.splitlines()[-1])

    def test_process_without_settings_loads_none_of_its_modules(self):
        loaded = subprocess.run(
            [sys.executable, "-c", "import sys, frostspindle.program, frostspindle.cli; print(*sys.modules)"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()
        self.assertEqual(
            [
                module
                for module in loaded
                if module.startswith(
                    ("frostspindle.settings", "frostspindle.ownership", "frostspindle.replica", "immutables")
                )
            ],
            [],
        )

    def test_schema_is_printed_and_invalid_file_names_the_key(self):
        printed = CliRunner().invoke(cli, ["settings", "schema"])
        self.assertIn("share_per_s", json.loads(printed.output)["$defs"]["Tenant"]["properties"])
        good = CliRunner().invoke(cli, ["settings", "push", "--check", str(ROOT / "deploy/settings/version.toml")])
        self.assertEqual((good.exit_code, "9 entries, good" in good.output), (0, True))
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write('[[login]]\nname = "a"\nclass = "r"\nsecret = "hunter2"\n')
            file.flush()
            bad = CliRunner().invoke(cli, ["settings", "push", file.name])
            self.assertEqual((bad.exit_code, "login/a.secret" in bad.output, "hunter2" in bad.output), (2, True, False))
        self.assertEqual(CliRunner().invoke(cli, ["settings", "status", "--at", "127.0.0.1:1"]).exit_code, 5)


class EmulatorCase(unittest.TestCase):
    def test_lab_settings_prints_one_object_the_same_for_the_same_seed(self):
        arguments = ["lab", "settings", "--nodes", "5", "--seed", "5", "--seconds", "12", "--json", "--faults", "drawn"]
        first, second = (CliRunner().invoke(cli, arguments) for _ in range(2))
        self.assertEqual(first.output, second.output)
        self.assertEqual(json.loads(first.output)["contradiction_ms"], 0.0)
        self.assertEqual(CliRunner().invoke(cli, ["lab", "settings", "--faults", "1 rain"]).exit_code, 2)

    def test_no_contradiction_lasts_longer_than_a_lease_under_random_faults(self):
        versions = contradicting = leaders = 0
        for seed in range(10):
            world = emulator.play(5 + 2 * (seed % 2), seed, "drawn", 18.0)
            figures = emulator.measure(world)
            self.assertLessEqual(figures["contradiction_ms"], figures["lease_ms"], seed)
            self.assertEqual(len(figures["lives_at_the_end"]), 1, (seed, figures))
            versions += figures["versions"]
            contradicting += figures["contradicting_versions"]
            leaders += figures["leaders"]
        self.assertGreater(min(versions, contradicting), 30)
        self.assertGreater(leaders, 11)

    def test_version_pushed_during_a_partition_reaches_the_majority_in_a_lease(self):
        world = emulator.Emulator(5, 3, parse("4-9 cut 0,1|2-4", 5), 14.0).run()
        activations = [
            activated_ms for number, activated_ms in world.live_at.items() if 4_500.0 < activated_ms < 9_000.0
        ]
        self.assertTrue(activations)
        overstaying = [span for span in world.spans if span.node in ("c0", "c1") and span.begins < 6_100.0 < span.ends]
        self.assertEqual(
            overstaying, [], "an isolated coordinator acts on no single version after its lease has expired"
        )
        self.assertEqual(len(emulator.measure(world)["lives_at_the_end"]), 1)

    def test_process_stopped_over_three_versions_acts_on_none_of_them_when_it_resumes(self):
        world = emulator.Emulator(5, 9, parse("4 stop 3; 11 cont 3", 5), 16.0, push_s=(0.5, 0.9)).run()
        version_before_resume = max(number for number, activated_ms in world.live_at.items() if activated_ms < 11_000.0)
        version_before_stop = max(number for number, activated_ms in world.live_at.items() if activated_ms < 4_000.0)
        self.assertGreaterEqual(version_before_resume - version_before_stop, 3)
        after_resume = [span for span in world.spans if span.node == "c3" and span.begins >= 11_000.0]
        self.assertGreaterEqual(after_resume[0].version, version_before_resume)
        self.assertEqual([span for span in world.spans if span.node == "c3" and 4_000.0 < span.ends < 11_000.0], [])

    def test_strict_mode_bounds_the_time_in_which_an_unknown_ban_is_ignored(self):
        for strict in (True, False):
            settings = AgreementSettings(2_000.0, 0.01, 4_000.0, RulesMode.REJECT if strict else RulesMode.INTERSECTION)
            blind_ms = [
                emulator.measure(emulator.play(5, seed, "5-13 cut 4|0-3", 18.0, settings=settings))["blind_ms"]
                for seed in range(2)
            ]
            self.assertEqual(max(blind_ms) > 2_000.0, not strict, blind_ms)


class AppliedCase(unittest.IsolatedAsyncioTestCase):
    """Rules applied to a program that has not been started."""

    async def asyncSetUp(self):
        hosts = [host_entry(f"toy-{n}", 9_000 + n) for n in range(3)]
        self.program = Program(read("[settings]\n" + TDS + TENANT, hosts, LB_OPERATOR="127.0.0.1:0"))
        self.addAsyncCleanup(self.close)
        self.core, self.applied = self.program.core, self.program.settings.applied
        self.changed_keys, self.applied.changed_keys = (
            self.applied.changed_keys,
            lambda old, new: None,
        )  # the versions here are in no state machine
        self.program.bus.start()
        self.task = asyncio.create_task(self.core.run())
        self.bans = self.applied.wrap_ban_listener(self.core.ban)
        await self.settle()

    async def close(self):
        self.task.cancel()
        await self.program.settings.close()
        await self.program.driver.close()

    async def settle(self):
        for _ in range(400):
            await asyncio.sleep(0)
            if not self.core.has_pending_changes and self.applied.engine_list.task is None:
                return

    async def apply(self, mode=RulesMode.VERSION, **rules):
        table = EMPTY_VERSION.rules
        for key, entry in rules.items():
            table = table.set(key.replace("__", "/", 2).replace("_dash_", "-"), entry)
        self.applied.apply(ActiveRules(mode, (1,), table))
        await self.settle()
        return {state.name: int(state.entry.health) for state in self.core.engines.values()}

    async def test_bans_and_drains_add_to_manual_bans_and_end_with_their_version(self):
        self.bans(frozenset({"toy-0"}))
        health = await self.apply(ban__x=Ban("toy-1"), drain__y=Ban("toy-2"))
        self.assertEqual((self.core.banned, set(health.values())), ({"toy-0", "toy-1", "toy-2"}, {2}))
        self.bans(frozenset())
        self.assertEqual(self.core.banned, {"toy-1", "toy-2"})
        self.assertEqual(await self.apply(), {"toy-0": 1, "toy-1": 1, "toy-2": 1})

    async def test_engine_list_of_a_version_replaces_that_of_the_file_and_is_undone(self):
        rules = {"scope__http": ListScope(), "e0": None}
        del rules["e0"]
        table = EMPTY_VERSION.rules.set("scope/http", ListScope()).set(
            "engine/http/toy-0", Engine("toy-0", "127.0.0.1:9000")
        )
        table = table.set("engine/http/new", Engine("new", "127.0.0.1:9009"))
        for n in range(250):
            table = table.set(f"engine/http/x{n}", Engine(f"x{n}", "127.0.0.1:9", state="leaving"))
        self.applied.apply(ActiveRules(RulesMode.VERSION, (1,), table))
        self.assertTrue({"toy-1", "toy-2"} <= self.core.banned, "unlisted engines must be banned at once")
        for _ in range(3_000):
            await asyncio.sleep(0)
        health = {state.name: int(state.entry.health) for state in self.core.engines.values()}
        self.assertEqual([health[name] for name in ("toy-0", "toy-1", "new", "x7", "x249")], [1, 0, 1, 2, 2])
        with mock.patch.object(self.core, "ban", wraps=self.core.ban) as ban:
            self.applied._set_bans = ban
            self.applied.apply(ActiveRules(RulesMode.VERSION, (2,), table))
            self.assertEqual(
                (ban.call_count, "x7" in self.applied.excluded),
                (0, False),
                "an engine that was never active needs no ban",
            )
        self.applied.apply(
            ActiveRules(
                RulesMode.VERSION, (3,), table.set("engine/http/new", Engine("new", "127.0.0.1:9009", state="leaving"))
            )
        )
        self.assertIn("new", self.core.banned)
        self.applied.apply(ActiveRules(RulesMode.VERSION, (4,), EMPTY_VERSION.rules))
        await self.settle()
        health = {state.name: int(state.entry.health) for state in self.core.engines.values()}
        self.assertEqual([health[name] for name in ("toy-0", "toy-1", "new", "x7")], [1, 1, 0, 0])

    async def test_quotas_and_objectives_reach_the_policy_and_are_undone(self):
        before = self.core.controller.settings
        await self.apply(tenant__blue=Tenant("blue", 7.0), class__lookup=Class("lookup", 900.0, worth=9.0))
        after = self.core.controller.settings
        self.assertEqual(
            (after.tenant_quotas_per_s[1], after.classes[0].latency_objective_ms, after.classes[0].priority_weight),
            (7.0, 900.0, 9.0),
        )
        self.assertEqual(after.classes[0].deadline_ms, before.classes[0].deadline_ms)
        await self.apply(tenant__blue=Tenant("blue", 0.0), class__report=Class("report", 800.0))
        after = self.core.controller.settings
        self.assertLess(0.0, after.tenant_quotas_per_s[1])
        self.assertLess(
            after.tenant_quotas_per_s[1], 0.001, "a quota of 0 must not become the policy's 0, which is unlimited"
        )
        self.assertEqual(
            [after.classes[n].latency_objective_ms for n in (0, 1, 3)],
            [before.classes[0].latency_objective_ms, 800.0, 800.0],
        )
        await self.apply()
        self.assertEqual(self.core.controller.settings, before)

    async def test_limits_and_tds_section_are_applied(self):
        program = self.program
        program.shared = SimpleNamespace(is_sharing=False)
        with mock.patch.object(self.core, "set_open_limit") as set_limit:
            await self.apply(
                limit__open_requests=Limit(40.0),
                limit__tds_sessions=Limit(3.0),
                scope__login=ListScope(),
                login__a=Login("a", "report", "app"),
                scope__tds=ListScope(),
            )
        set_limit.assert_called_with(40)
        self.assertEqual((program.tds.tds.max_sessions, program.tds.tds.login[0].application), (3, "app"))
        self.assertEqual(program.tds_driver.tds.engine, [])
        fresh = read("[settings]\n" + TDS.replace("t1", "t2")).operator.tds
        self.applied.reapply(fresh)  # SIGHUP: the file has another engine, but the version has the list
        self.assertEqual((program.tds.tds.max_sessions, program.tds.tds.engine), (3, []))
        await self.apply(mode=RulesMode.REJECT)
        self.assertEqual((self.core.max_open_requests, [engine.name for engine in program.tds.tds.engine]), (0, ["t2"]))
        await self.apply()
        self.assertGreater(self.core.max_open_requests, 100)

    async def test_each_coordinator_sends_within_its_share_of_limits_after_checking_the_lease(self):
        self.applied.name = "c1"
        table = EMPTY_VERSION.rules
        for key, entry in (
            ("scope/http", ListScope()),
            ("scope/coordinator", ListScope()),
            ("limit/out", Limit(7.0)),
            ("coordinator/c1", Coordinator("c1", 0.5)),
            *((f"engine/http/toy-{n}", Engine(f"toy-{n}", f"127.0.0.1:{9_000 + n}", most=5)) for n in range(2)),
        ):
            table = table.set(key, entry)
        self.applied.apply(ActiveRules(RulesMode.VERSION, (1,), table))
        await self.settle()
        states = {state.name: state for state in self.core.engines.values()}
        refreshes = []
        self.applied.refresh = lambda: refreshes.append(1)

        def attempt(name):
            request = ClientRequest("http", 0, "t", "s", 0.0, 1.0, lambda response: None)
            return Attempt(request, 0, states[name].entry.engine, 0.0, 1.0, "lookup", 0.0, 1)

        sent = [attempt("toy-0") for _ in range(3)] + [attempt("toy-1") for _ in range(2)]
        admitted = [
            self.applied.may_send(states["toy-0" if n < 3 else "toy-1"], attempted) for n, attempted in enumerate(sent)
        ]
        self.assertEqual(
            (admitted, len(refreshes)), ([True, True, False, True, False], 5)
        )  # its half is 2 of 5 for each engine and 3 of 7 in total
        self.assertTrue(self.applied.may_send(states["toy-0"], sent[0]), "an admitted attempt is admitted again")
        sent[0].is_finished = True
        self.assertTrue(self.applied.may_send(states["toy-1"], sent[4]))
        self.assertFalse(self.applied.may_send(states["toy-2"], attempt("toy-2")), "not on the list")
        self.applied.name = "c9"
        self.applied.apply(ActiveRules(RulesMode.VERSION, (2,), table.set("limit/open_requests", Limit(50.0))))
        sent[1].is_finished = sent[3].is_finished = sent[4].is_finished = True
        self.assertFalse(
            self.applied.may_send(states["toy-0"], attempt("toy-0")), "a coordinator without a share admits nothing"
        )

    async def test_change_is_applied_only_to_the_consumers_that_it_affects(self):
        machine, calls = self.program.settings.service.machine, []
        self.applied.changed_keys = self.changed_keys
        first = EMPTY_VERSION.child(1, {"ban/toy-1": Ban("toy-1")})
        second = first.child(2, {"limit/open_requests": Limit(50.0)})
        for version in (first, second):
            machine.versions.add(version)
        self.program.update_open_limit = lambda: calls.append("bounds")
        self.program.shared = SimpleNamespace(is_sharing=False)
        with mock.patch.object(self.core, "ban", side_effect=lambda names: calls.append(sorted(names))) as ban:
            self.applied._set_bans = ban
            for rules in (
                ActiveRules(RulesMode.VERSION, (1,), first.rules),
                ActiveRules(RulesMode.INTERSECTION, (1, 2), second.rules),
                ActiveRules(RulesMode.VERSION, (2,), second.rules),
                ActiveRules(RulesMode.VERSION, (1,), first.rules),
            ):
                self.applied.apply(rules)
        self.assertEqual(calls, [["toy-1"], "bounds", "bounds", "bounds"])

    async def test_ban_among_many_entries_does_not_walk_the_others(self):
        class UnwalkableDict(dict):
            def items(self):
                raise AssertionError("all entries are visited")

        first = {f"ban/b{n}": Ban(f"b{n}") for n in range(50)} | {"scope/http": ListScope()}
        await self.apply(**{key.replace("/", "__"): entry for key, entry in first.items()})
        self.assertEqual((len(self.applied.excluded), "toy-1" in self.applied.excluded), (53, True))
        second = {
            **first,
            "drain/b0": Ban("b0"),
            "ban/new": Ban("new"),
            "class/lookup": Class("lookup", 900.0),
            "engine/http/toy-1": Engine("toy-1", "127.0.0.1:9001"),
            "tenant/blue": Tenant("blue", 7.0),
        }
        del second["ban/b0"], second["ban/b1"]
        self.applied.changed_keys = lambda old, new: {"engine/http/toy-1", "class/lookup", "tenant/blue"}
        self.applied.apply(ActiveRules(RulesMode.VERSION, (2,), UnwalkableDict(second)))
        await self.settle()
        states = {state.name: int(state.entry.health) for state in self.core.engines.values()}
        self.assertEqual(
            (self.core.controller.settings.classes[0].latency_objective_ms, states["toy-1"], states["toy-2"]),
            (900.0, 1, 0),
        )
        del second["class/lookup"], second["engine/http/toy-1"]
        self.applied.apply(ActiveRules(RulesMode.VERSION, (2,), UnwalkableDict(second)))
        await self.settle()
        states = {state.name: int(state.entry.health) for state in self.core.engines.values()}
        self.assertEqual(
            (
                self.core.controller.settings.classes[0].latency_objective_ms,
                self.core.controller.settings.tenant_quotas_per_s[1],
                states["toy-1"],
            ),
            (self.program.config.settings.classes[0].latency_objective_ms, 7.0, 0),
        )
        self.applied.changed_keys = lambda old, new: {"ban/b0", "ban/b1", "drain/b0", "ban/new"}
        with mock.patch.object(self.applied, "_find_unlisted", side_effect=AssertionError("all engines are visited")):
            self.applied.apply(ActiveRules(RulesMode.VERSION, (2,), UnwalkableDict(second)))
        self.assertEqual(self.events_of("faults"), 0)
        self.assertEqual(
            (len(self.applied.excluded), "b0" in self.core.banned, "b1" in self.core.banned, "new" in self.core.banned),
            (53, True, False, True),
        )

    def events_of(self, event):
        return self.program.telemetry.counts[event, "", ""]

    async def test_operators_calls_are_checked(self):
        handlers = self.program.operator_server.handlers
        for call, arguments in (
            ("settings-push", ("a", "0/0", "")),
            ("settings-push", ("a", "x", "")),
            ("settings-push", ("a", "1/2", "")),
            ("settings-push", ("a", "0/1", "!!")),
            ("settings-push", ("a", "0/99", "")),
            ("settings-outcome", ("none",)),
            ("settings-diff", ("1", "x")),
            ("settings-diff", ("1", "2")),
            ("settings-rollback", ("a", "0")),
            ("settings-rollback", ("a", "7")),
        ):
            with self.assertRaises(OperatorError, msg=(call, arguments)):
                handlers[call](*arguments)
        self.assertEqual(handlers["show-settings"]()["mode"], "file")
        server = self.program.operator_server
        self.assertIn(b"NAK settings-diff takes two versions", server.answer(b"settings-diff 1"))
        self.assertIn(b"NAK version", server.answer(b"settings-diff 1 2"))
        self.assertEqual(server.max_bytes(b"settings-push a 0/1 eA=="), MAX_STREAM_CALL_BYTES)
        self.assertEqual(server.max_bytes(b"ready"), MAX_CALL_BYTES)


class ServiceCase(unittest.IsolatedAsyncioTestCase):
    def service(self, log, name="c1", store=None, ownership=None, log_lines=None):
        telemetry = Telemetry(name, sink=mock.MagicMock())
        telemetry.log = lambda event, **fields: (log_lines if log_lines is not None else []).append((event, fields))
        service = SettingsService(
            log,
            name,
            AgreementSettings(600.0, 0.01, 300.0),
            telemetry,
            lambda rules: None,
            lambda version: "",
            lambda: (0,) * (HEADER_FIGURES + LATENCY_BUCKETS),
            ownership or LocalOwnership(),
            store,
            RestoredVersions(),
            None,
        )
        self.addAsyncCleanup(service.close)
        return service

    async def until(self, condition, within_s=20.0):
        async with asyncio.timeout(within_s):
            while not condition():
                await asyncio.sleep(0.01)

    def push(self, service, name, rules, damage=lambda data: data):
        pieces = split_into_pieces(damage(pack_changes(rules)), 20_000)
        for index, data in enumerate(pieces):
            report = service.pushes.receive_piece(name, f"{index}/{len(pieces)}", base64.b64encode(data).decode())
        return report

    async def test_many_valid_corrupt_and_truncated_pushes_end_with_the_last_valid_one(self):
        log, log_lines, rng = LocalLog("c1"), [], random.Random(5)
        other_log = log.join("c2")
        first = self.service(log, store=VersionStore(MemoryStore()), log_lines=log_lines)
        second = self.service(other_log, "c2", VersionStore(MemoryStore()), mock.Mock(lease=lambda task: None))
        first.start()
        second.start()
        await self.until(lambda: first.member.has_renewed and second.member.has_renewed)
        outcomes, last = [], {}
        for number in range(60):
            service = rng.choice((first, second))
            kind = rng.choice(("valid", "valid", "corrupt", "truncated", "invalid"))
            rules = {
                f"ban/e{number % 5}": Ban(f"e{number % 5}", "x" * rng.randrange(1, 150)),
                **({f"ban/w{n}": Ban(f"w{n}", rng.randbytes(80).hex()) for n in range(300)} if number % 9 == 0 else {}),
            }
            if kind == "invalid":
                rules["limit/out"] = Limit(5.0)
            damage = {"corrupt": lambda d: d[:-1] + b"?", "truncated": lambda d: d[:-9]}.get(kind, lambda d: d)
            self.push(service, f"p{number}", rules, damage)
            await self.until(
                lambda s=service, n=number: (
                    s.pushes.outcome(f"p{n}")["state"] in ("live", "turned down", "proven", "uncertain")
                )
            )
            outcomes.append((kind, service.pushes.outcome(f"p{number}")["state"]))
            last = rules if kind == "valid" else last
        self.assertEqual({state for kind, state in outcomes if kind == "valid"} - {"proven"}, {"live"})
        self.assertEqual({state for kind, state in outcomes if kind != "valid"}, {"turned down"})
        await self.until(
            lambda: (
                second.machine.active_version == first.machine.active_version and second.active_rules.mode == "version"
            )
        )
        self.assertEqual((dict(first.active_rules.rules), dict(second.active_rules.rules)), (last, last))
        self.assertNotIn("hunter2", str(log_lines))

    async def test_log_and_store_failures_are_reported_and_survived(self):
        class Failing(MemoryStore):
            def apply(self, changes):
                raise StoreBrokenError("the disk")

        log, log_lines = LocalLog("c1"), []
        service = self.service(log, store=VersionStore(Failing()), log_lines=log_lines)
        service.start()
        await self.until(lambda: service.member.has_renewed)
        self.push(service, "p", {"ban/e1": Ban("e1")})
        await self.until(lambda: service.active_rules.mode == "version")
        self.assertTrue(OperatorCalls(service).status()["counts"]["keep_failed"])
        self.assertEqual(
            (OperatorCalls(service).status()["members"]["c1"]["acked"], OperatorCalls(service).status()["keeps"]),
            (0, False),
        )
        self.assertIn("settings_version_store_failed", [event for event, _ in log_lines])
        log.set_leader(False)
        await self.until(lambda: service.active_rules.reason == "alone")
        self.assertTrue(OperatorCalls(service).status()["counts"]["unavailable"])
        expired = [
            fields for event, fields in log_lines if event == "settings_rules_activated" and fields["why"] == "alone"
        ]
        self.assertLessEqual(expired[0]["until_ms"], expired[0]["mono_ms"])
        with mock.patch("frostspindle.settings.pushes.PUSH_TIMEOUT_S", 0.5):
            self.push(service, "q", {"ban/e2": Ban("e2")})
            await self.until(lambda: service.pushes.outcome("q")["state"] == "uncertain")
        self.push(service, "r", {"ban/e3": Ban("e3")})
        await asyncio.sleep(0.3)
        log.set_leader(True)
        await self.until(lambda: service.active_rules.mode == "version" and "ban/e3" in service.active_rules.rules)

    async def test_each_version_of_a_run_is_one_batch_and_removals_come_later(self):
        store, batches = MemoryStore(), []
        service = self.service(LocalLog("c1"), store=VersionStore(store))
        with (
            mock.patch.object(
                store, "apply", side_effect=lambda changes, apply=store.apply: (batches.append(1), apply(changes))
            ),
            mock.patch("frostspindle.settings.service.REMOVAL_DELAY_S", 1e9),
        ):
            service.start()
            await self.until(lambda: service.member.has_renewed)
            for number in range(6):
                self.push(service, f"p{number}", {"ban/e": Ban("e", str(number))})
                await self.until(lambda n=number: service.pushes.outcome(f"p{n}")["state"] in ("live", "proven"))
            self.assertEqual(len(batches), 6)
        await self.until(
            lambda: (
                tuple(sorted(service.member.durable_digests))
                == tuple(n for n in service.machine.candidate_versions if n)
            )
        )

    async def test_large_version_is_built_in_slices_before_it_is_published(self):
        service, slices, published = self.service(LocalLog("c1"), store=VersionStore(MemoryStore())), [], []
        machine = service.machine
        original_build, original_apply = SettingsStateMachine.build_slice, SettingsStateMachine.apply

        def recording_apply(self, index, command):
            if isinstance(log_commands.decode_command(command), PublishVersion):
                published.append(self.has_unbuilt_draft)
            return original_apply(self, index, command)

        with (
            mock.patch.object(
                SettingsStateMachine, "build_slice", lambda self: (slices.append(1), original_build(self))
            ),
            mock.patch.object(SettingsStateMachine, "apply", recording_apply),
        ):
            service.start()
            await self.until(lambda: service.member.has_renewed)
            self.push(service, "p", {f"ban/e{n}": Ban(f"e{n}") for n in range(3_000)})
            self.push(service, "q", {"ban/e": Ban("e")})  # same base version: one of the two must be drafted again
            await self.until(lambda: machine.active_version == 2, 8.0)
        self.assertEqual(({*published}, len(slices) > 60), ({False}, True))

    async def test_pushes_are_bounded_and_a_gap_is_reported(self):
        service = self.service(LocalLog("c1"))
        for number in range(9):
            service.pushes.receive_piece(f"p{number}", "0/3", "")
        self.assertLessEqual(len(service.pushes.pushes), 5)
        with self.assertRaisesRegex(ValueError, "gap: piece 1 of 3 is next"):
            service.pushes.receive_piece("p8", "2/3", "")
        for push in service.pushes.pushes.values():
            push.state = "drafted"
        with self.assertRaisesRegex(ValueError, "full: 4 pushes"):
            service.pushes.receive_piece("more", "0/1", "")
