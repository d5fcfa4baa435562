"""The replicated log in the program: its configuration, its operator call and its shutdown."""

import json
import signal
import socket
import tempfile
import unittest
from pathlib import Path

from fleet import Coordinator, FleetCase

from frostspindle import config as configuration
from frostspindle.config import ConfigError
from frostspindle.lab.engines import coordinator_config
from frostspindle.lab.faults.runner import free_port

GOOD = (Path(__file__).parent.parent / "deploy" / "ownership.toml").read_text().partition("\n[ownership]")[0]


class ConfigCase(unittest.TestCase):
    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name)
        (self.folder / "key").write_text("0123456789abcdef\n")
        self.good = GOOD.replace("/etc/frostspindle/replica.key", str(self.folder / "key"))

    def read(self, text, name="c1"):
        config, operator = self.folder / "config.json", self.folder / "operator.toml"
        config.write_text(json.dumps(coordinator_config([])))
        operator.write_text(text)
        return configuration.read(
            {
                "LB_CONFIG": str(config),
                "FROSTSPINDLE_OPERATOR": str(operator),
                "LB_LISTEN": "127.0.0.1:0",
                "LB_NAME": name,
            }
        )

    def test_example_is_valid_and_errors_name_the_key(self):
        self.assertEqual(self.read(self.good).operator.replica.me, "c1")
        self.assertIsNone(self.read("").operator.replica)
        (self.folder / "short").write_text("0123456789")
        for old, new, key in (
            ('"c2=10', '"c1=10', r"replica.voters\[1\]"),
            ('"c2=10', '"~c2=10', r"replica.voters\[1\]"),
            ("10.0.0.2:7100", "host:1", r"replica.voters\[1\]"),
            ("10.0.0.2:7100", "10.0.0.2:0", r"voters\[1\]"),
            (', "c3=10.0.0.3:7100"', "", "replica.voters: 2"),
            ('folder = "/', 'folder = "', "replica.folder"),
            (str(self.folder / "key"), "/nowhere", "replica.secret"),
            ("most_open = 256", "most_open = 0", "most"),
            (str(self.folder / "key"), str(self.folder / "short"), "replica.secret"),
            ("election_ms = 500", "election_ms = 300", "replica.election_ms"),
            ('# listen = "0.0.0.0:7100"', 'listen = "here"', "replica.listen"),
            ("heartbeat_ms", "hartbeat_ms", "hartbeat_ms"),
        ):
            self.assertIn(old, self.good)
            with self.assertRaisesRegex(ConfigError, key) as caught:
                self.read(self.good.replace(old, new, 1))
            self.assertNotIn("0123456789", str(caught.exception))
        with self.assertRaisesRegex(ConfigError, "replica: needs cores.workers"):
            self.read(self.good + "\n[cores]\nworkers = 2\n")
        with self.assertRaisesRegex(ConfigError, "replica.me"):
            self.read(self.good, "a name")


class ProgramCase(FleetCase):
    async def test_three_coordinators_agree_on_a_leader_and_shut_down_cleanly(self):
        from frostspindle.operator_client import call_operator

        await self.start_engines(1)
        config = coordinator_config(self.bus.events[0]["topology"]["hosts"], self.bus.port)
        ports = [free_port(socket.SOCK_STREAM) for _ in range(3)]
        key = Path(tempfile.mkdtemp(dir=self.scratch), "key")
        key.write_text("only known to the three of them")
        coordinators = []
        for name in ("c0", "c1", "c2"):
            folder = tempfile.mkdtemp(dir=self.scratch)
            voters = ", ".join(f'"c{n}=127.0.0.1:{port}"' for n, port in enumerate(ports))
            operator_port = free_port(socket.SOCK_STREAM)
            coordinator = Coordinator(
                self,
                config,
                f'[replica]\nvoters = [{voters}]\nfolder = "{folder}/log"\nsecret = "{key}"\nfirst_start = true\n',
                LB_NAME=name,
                LB_OPERATOR=f"127.0.0.1:{operator_port}",
                LB_LISTEN="127.0.0.1:0",
            )
            coordinators.append((coordinator, operator_port))
        leaders = {
            (
                await coordinator.until(
                    lambda c=coordinator: [e for e in c.events if e["event"] == "replica_leader_changed"]
                )
            )[0]["leader"]
            for coordinator, _ in coordinators
        }
        self.assertEqual(len(leaders), 1)
        for coordinator, operator_port in coordinators:
            reply = await self.in_thread(call_operator, ("127.0.0.1", operator_port), "show-replica")
            figures = json.loads(reply.splitlines()[0])
            self.assertEqual((figures["votes"], figures["stopped"], len(figures["voters"])), (True, "", 3))
            coordinator.process.send_signal(signal.SIGTERM)
        for coordinator, _ in coordinators:
            self.assertEqual(await coordinator.exit(), 0)
            self.assertNotIn("only known", str(coordinator.events))
