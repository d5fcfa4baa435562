"""Five processes of the log under faults: kill -9, SIGSTOP, cuts, a torn and a spoilt journal, a majority lost."""

import asyncio
import signal
import unittest
from contextlib import suppress

from frostspindle.lab.faults.logs import Logs
from frostspindle.lab.faults.script import parse
from frostspindle.replica.disk import MAGIC
from frostspindle.replica.handshake import HELLO_MAGIC


class ProcessesCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.logs = await Logs(5, 3, parse("", 5), 1).start()
        self.addAsyncCleanup(self.logs.close)
        self.said, self.answers = 0, {}

    async def say(self, members, many=6, within_s=10.0):
        """Proposals at these members; what was answered is kept for the end."""

        async def one(member, text):
            self.answers[text] = await member.call("propose", text, within_s)
            return self.answers[text]

        self.said += 1
        return await asyncio.gather(*(one(members[n % len(members)], f"{self.said}-{n}") for n in range(many)))

    async def go_on(self, members, many=6, within_s=10.0):
        """Each takes proposals: a busy machine may lose a leader, of which it tells, and then it is asked again."""
        async with asyncio.timeout(90.0):
            while members:
                told = await self.say(members, max(many, len(members)), within_s)
                members = [
                    m for n, m in enumerate(members) if all("index" not in one for one in told[n :: len(members)])
                ]

    async def same(self):
        """All members hold the same entries; each answer is what the log says."""
        alive = [m for m in self.logs.members if m.child is not None]
        async with asyncio.timeout(90.0):
            while True:
                reached = await asyncio.gather(*(m.call("barrier") for m in alive))
                told = await asyncio.gather(*(m.call("entries") for m in alive))
                if all("index" in one for one in reached) and len({one["sum"] for one in told}) == 1:
                    break
        held = max((one["entries"] for one in told), key=len)
        times = {}
        for index, text in held:
            times.setdefault(text, []).append(index)
        for text, answer in self.answers.items():
            error = answer.get("error")
            if error is None:
                self.assertEqual(times.get(text), [answer["index"]])
            elif error == "LogUnavailableError":
                self.assertNotIn(text, times)
            else:
                self.assertLess(len(times.get(text, [])), 2)

    async def test_a_killed_a_stopped_and_a_cut_off_leader(self):
        logs = self.logs
        await self.go_on(logs.members, 10)

        # kill -9 with proposals open; its journal's last write is torn.
        leader = await logs.leader()
        others = [m for m in logs.members if m is not leader]
        open_ = asyncio.create_task(self.say(logs.members, 30, 1.0))
        await asyncio.sleep(0)
        await leader.end(signal.SIGKILL)
        await open_
        await self.go_on(others, 8)
        with leader.journal.open("ab") as file:
            file.write(b"FSLJ\xff\x00\x00\x00half a frame")
        await leader.start()
        line = await leader.until(lambda: leader.events("replica_journal_opened", life=2))
        self.assertEqual((line[0]["found"], line[0]["votes"]), ("torn", True))
        await self.same()

        # SIGSTOP: others go on; once it goes on it is no leader any more, and has what they have.
        leader = await logs.leader()
        others = [m for m in logs.members if m is not leader]
        late = asyncio.create_task(leader.call("propose", "late", 1.0))
        await asyncio.sleep(0)
        leader.send_signal(signal.SIGSTOP)
        await logs.leader(but=leader.number)
        await self.go_on(others, 8)
        leader.send_signal(signal.SIGCONT)
        self.answers["late"] = await late
        await self.same()

        # Cut off: it steps down and answers LogUnavailableError within the time, the others go on.
        leader = await logs.leader()
        logs.streams.cut = {leader.number}
        told = await self.say([leader], 3, 1.0)
        await leader.until(lambda: leader.events("replica_leader_changed", leader=None))
        async with asyncio.timeout(60.0):
            while [answer.get("error") for answer in told[-3:]] != ["LogUnavailableError"] * 3:
                told += await self.say([leader], 3, 1.0)
        self.assertNotIn(None, [answer.get("error") for answer in told])
        self.assertLess(max(answer["took_s"] for answer in told), 3.0)
        await self.go_on([m for m in logs.members if m is not leader], 4)
        logs.streams.cut = set()
        await self.same()

        # Connections that break take nothing along.
        for member in logs.members[:3]:
            logs.streams.reset(member.number)
            await self.say(logs.members, 5, 0.5)
        await self.same()

    async def test_a_spoilt_journal_a_stranger_and_a_majority_that_is_lost(self):
        logs = self.logs
        await self.say(logs.members, 10)
        leader = await logs.leader()
        voter = next(m for m in logs.members[:3] if m is not leader)
        await voter.end(signal.SIGKILL)
        data = bytearray(voter.journal.read_bytes())
        data[data.rindex(MAGIC) - 1] ^= 0x40  # not in the last frame, in which it would look like a torn write
        voter.journal.write_bytes(data)
        await voter.start()
        line = (await voter.until(lambda: voter.events("replica_journal_opened", life=2)))[0]
        self.assertEqual((line["found"], line["votes"]), ("spoilt", False))
        await voter.until(lambda: voter.events("replica_voting_started", life=2))
        self.assertTrue(voter.journal.with_suffix(".spoilt").exists())
        await self.go_on(logs.members, 5)

        # Nobody who does not know the secret gets a word in, nor is it, or what they send, ever logged.
        host, port = logs.streams.inside[0]
        known = HELLO_MAGIC + b"\0c1\0c0\0" + b"00" * 16
        known = len(known).to_bytes(2, "big") + known  # but not the secret
        for hello in (b"\x00\x03abc", b"\xff\xff", known, b"\x80\x04\x95cos\nsystem\n."):
            before = len(logs.members[0].events("replica_link_refused"))
            async with asyncio.timeout(60.0):  # a starved member may count one as not proved in time; then again
                while len(logs.members[0].events("replica_link_refused")) == before:
                    reader, writer = await asyncio.open_connection(host, port)
                    writer.write(hello + b"\0" * 600)
                    with suppress(ConnectionError):
                        await reader.read()
                    writer.close()
                    await asyncio.sleep(0.05)
        self.assertNotIn("secret of the lab", str([m.lines for m in logs.members]))

        # Two of three voters are gone: nothing is taken, in bounded time. Then one is back.
        await self.same()
        gone = [m for m in logs.members[:3] if m is not logs.members[0]]
        await asyncio.gather(*(m.end(signal.SIGKILL) for m in gone))
        rest = [logs.members[0], *logs.members[3:]]
        told = await self.say(rest, 6, 0.5)
        self.assertNotIn(None, [answer.get("error") for answer in told])
        await asyncio.gather(
            *(m.until(lambda m=m: m.events("replica_leader_changed")[-1]["leader"] is None) for m in rest)
        )
        async with asyncio.timeout(60.0):  # none is taken, and in the end all are told so for certain
            while {answer.get("error") for answer in told} != {"LogUnavailableError"}:
                told = await self.say(rest, 6, 0.5)
                self.assertNotIn(None, [answer.get("error") for answer in told])
        self.assertLess(max(answer["took_s"] for answer in told), 2.0)
        await gone[0].start()
        await self.go_on(rest, 6, 20.0)
        await self.same()
        self.assertEqual(await logs.members[0].end(signal.SIGTERM), 0)
