"""Subscriptions in a running coordinator: what a subscriber reads, and that they cost nothing while disabled."""

import json
import subprocess
import sys
import unittest

import test_fleet_program
from peers import LOAD, EdgeCase

from frostspindle.config import ConfigError
from frostspindle.config.operator_calls import check_subscriptions
from frostspindle.lab.faults.spread import Reader
from frostspindle.net import operator
from frostspindle.subscriptions import cursor

ON = "[subscriptions]\n"


class ProgramCase(EdgeCase):
    async def subscriber(self, call: str) -> Reader:
        one = await Reader.call(self.program.operator_server.port, call)
        self.addCleanup(one.writer.close)
        return one

    async def test_subscriber_reads_matching_events_and_resumes_from_its_cursor(self):
        await self.start(operator=ON)
        one = await self.subscriber("subscribe kind = 'answer' AND class = 'load'")
        other = await self.subscriber("subscribe change IN ('ban', 'unban')")
        number = (await one.until("ack"))["id"]
        await other.until("ack")
        await self.ask(number=1)
        await self.ask(LOAD, number=2)
        event = await one.until("event")
        self.assertEqual(
            [event[k] for k in ("kind", "class", "outcome", "engine", "maker")],
            ["answer", "load", "served", "s-00000000", "t0"],
        )
        self.assertFalse({"SELECT", "calls_17"} & set(json.dumps(event).split()))
        await one.until("cursor")
        await self.operate("disable-server s-00000000")
        self.assertEqual((await other.until("event"))["change"], "ban")
        await self.operate("enable-server s-00000000")
        self.assertEqual(await self.operate(f"unsubscribe {number}"), ["ACK"])
        self.assertEqual(await one.reader.read(), b"")
        await self.ask(LOAD, number=3)
        await self.ask(LOAD, number=4)
        again = await self.subscriber(f"resume {one.cursor}")
        await again.until("ack")
        self.assertEqual([(await again.until("event"))["class"] for _ in range(2)], ["load"] * 2)
        figures = json.loads((await self.operate("show-subscriptions"))[0])
        self.assertEqual((figures["subscriptions"], figures["replays"]), (2, 0))

    async def test_invalid_subscriptions_are_rejected_with_a_reason(self):
        await self.start(operator=ON + "most = 2\n")
        for call, reason in (
            ("subscribe", "column 1"),
            ("subscribe cost = 5", "no event has a column 'cost'"),
            ("subscribe ms = 'x'", "ms is a number, not a text"),
            ("subscribe kind = ", "ends too early"),
            ("subscribe kind IN (" + "'a'," * 600 + "'a')", "up to 2048"),
            ("resume x", "no cursor"),
            (f"resume {cursor.encode('nosuch = 1', {})}", "nosuch"),
            ("subscribe " + "x" * (operator.MAX_STREAM_CALL_BYTES + 9), "too long"),
            ("unsubscribe 7", "no such"),
            ("unsubscribe", "takes one number"),
            ("subscribing", "no such call"),
        ):
            self.assertIn(reason, (await (await self.subscriber(call)).line())["nak"], call[:60])
        subscribers = [await self.subscriber("subscribe TRUE") for _ in range(2)]
        for one in subscribers:
            await one.until("ack")
        self.assertIn("2 subscriptions already", (await (await self.subscriber("subscribe TRUE")).line())["nak"])
        self.assertFalse(self.program.operator_server.callers)  # an open subscription takes no slot of single calls
        subscribers[0].writer.close()
        await self.until(lambda: len(self.program.operator_server.streams) == 1)
        await (await self.subscriber("subscribe TRUE")).until("ack")

    async def test_subscriber_that_does_not_read_gets_a_gap_and_delays_no_other(self):
        await self.start(operator=ON + "backlog = 16\n")
        slow, quick = await self.subscriber("subscribe TRUE"), await self.subscriber("subscribe TRUE")
        await slow.until("ack")
        await quick.until("ack")
        service = self.program.subscriptions
        number = min(service.callers)
        service.callers[number].paused(True)  # as the transport does above its write buffer's limit
        first = service.hub.publisher.head + 1
        for n in range(100):
            service.loaded("site", n, ["agent"])
            if n % 10 == 9:
                await self.until(lambda n=n: service.hub.subscribers.live["t0"].position == first + n)
        got = [await quick.until("event") for _ in range(100)]
        self.assertEqual([event["group"] for event in got], list(range(100)))
        self.assertLessEqual(len(service.hub.subscribers.fanout.backlogs[number]), 17)
        service.callers[number].paused(False)
        reported = []
        while len(reported) < 100:
            line = await slow.line()
            if "gap" in line:
                reported += range(line["gap"]["from"][1], line["gap"]["to"][1] + 1)
            elif "event" in line:
                reported.append(line["of"][2])
        self.assertEqual(reported, list(range(first, first + 100)))


class OthersCase(ProgramCase):
    async def test_recovery_stages_and_loads_on_scattered_tables_are_events(self):
        await self.coordinator(
            operator=f"""
{ON}
[recovery]
find_ms = 300.0
[fleet]
listen = "127.0.0.1:0"
[[fleet.seed]]
name = "t0"
address = "127.0.0.1:1"
[scatter]
[[scatter.site]]
name = "floor-1"
zones = ["floor-1"]
[[scatter.group]]
schema = "calls_17"
tables = ["notes"]
[[scatter.group.column]]
name = "agent"
type = "text"
"""
        )
        self.assertEqual(self.program.scatter.loaded, self.program.subscriptions.loaded)
        one = await self.subscriber("subscribe kind = 'recovery' AND state = 'begun'")
        while (await one.until("event"))["stage"] != "service":
            pass


class OffCase(unittest.TestCase):
    def test_process_without_subscriptions_does_not_import_them(self):
        loaded = subprocess.run(
            [sys.executable, "-c", "import sys, frostspindle.program; print(*sys.modules)"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()
        self.assertEqual(
            [
                name
                for name in loaded
                if name.startswith(("frostspindle.subscriptions", "lark", "frostspindle.predicates"))
            ],
            [],
        )

    def test_subscriptions_need_one_worker_and_an_operator_port(self):
        for text, key in ((ON + "[cores]\nworkers = 2\n", "workers = 1"), (ON + "most = 0", "most")):
            with self.assertRaisesRegex(ConfigError, key):
                test_fleet_program.ConfigCase.read(self, text)
        with self.assertRaisesRegex(ConfigError, "LB_OPERATOR"):
            check_subscriptions(workers=1, has_operator_port=False)


if __name__ == "__main__":
    unittest.main()
