"""Five processes of the log under faults: kill -9, SIGSTOP, partitions, torn and corrupt journals, a lost majority."""

import asyncio
import signal
import unittest
from contextlib import suppress

from frostspindle.lab.faults.logs import ReplicaMembers
from frostspindle.lab.faults.script import parse
from frostspindle.replica.disk import MAGIC
from frostspindle.replica.handshake import HELLO_MAGIC


class ProcessesCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.logs = await ReplicaMembers(5, 3, parse("", 5), 1).start()
        self.addAsyncCleanup(self.logs.close)
        self.rounds, self.outcomes = 0, {}

    async def propose(self, members, count=6, within_s=10.0):
        """Propose entries at these members; the outcomes are kept for `assert_consistent`."""

        async def propose_one(member, text):
            self.outcomes[text] = await member.call("propose", text, within_s)
            return self.outcomes[text]

        self.rounds += 1
        return await asyncio.gather(
            *(propose_one(members[n % len(members)], f"{self.rounds}-{n}") for n in range(count))
        )

    async def propose_until_applied(self, members, count=6, within_s=10.0):
        """Propose until each member applied one of its proposals: a busy machine may lose a leader meanwhile."""
        async with asyncio.timeout(90.0):
            while members:
                outcomes = await self.propose(members, max(count, len(members)), within_s)
                members = [
                    m
                    for n, m in enumerate(members)
                    if all("index" not in outcome for outcome in outcomes[n :: len(members)])
                ]

    async def assert_consistent(self):
        """Wait until all members have the same entries, and check each outcome against the log."""
        alive = [m for m in self.logs.members if m.child is not None]
        async with asyncio.timeout(90.0):
            while True:
                barriers = await asyncio.gather(*(m.call("barrier") for m in alive))
                logs = await asyncio.gather(*(m.call("entries") for m in alive))
                if all("index" in barrier for barrier in barriers) and len({log["sum"] for log in logs}) == 1:
                    break
        entries = max((log["entries"] for log in logs), key=len)
        indexes = {}
        for index, text in entries:
            indexes.setdefault(text, []).append(index)
        for text, outcome in self.outcomes.items():
            error = outcome.get("error")
            if error is None:
                self.assertEqual(indexes.get(text), [outcome["index"]])
            elif error == "LogUnavailableError":
                self.assertNotIn(text, indexes)
            else:
                self.assertLess(len(indexes.get(text, [])), 2)

    async def test_killed_suspended_and_partitioned_leader(self):
        logs = self.logs
        await self.propose_until_applied(logs.members, 10)

        # kill -9 with open proposals; the last write of its journal is torn.
        leader = await logs.leader()
        others = [m for m in logs.members if m is not leader]
        open_proposals = asyncio.create_task(self.propose(logs.members, 30, 1.0))
        await asyncio.sleep(0)
        await leader.end(signal.SIGKILL)
        await open_proposals
        await self.propose_until_applied(others, 8)
        with leader.journal.open("ab") as file:
            file.write(b"FSLJ\xff\x00\x00\x00half a frame")
        await leader.start()
        line = await leader.until(lambda: leader.events("replica_journal_opened", life=2))
        self.assertEqual((line[0]["found"], line[0]["votes"]), ("torn", True))
        await self.assert_consistent()

        # SIGSTOP: the others continue; when it resumes, it is no longer the leader and catches up.
        leader = await logs.leader()
        others = [m for m in logs.members if m is not leader]
        late = asyncio.create_task(leader.call("propose", "late", 1.0))
        await asyncio.sleep(0)
        leader.send_signal(signal.SIGSTOP)
        await logs.leader(excluding=leader.number)
        await self.propose_until_applied(others, 8)
        leader.send_signal(signal.SIGCONT)
        self.outcomes["late"] = await late
        await self.assert_consistent()

        # Partitioned: it steps down, its proposals fail with LogUnavailableError in time, and the others continue.
        leader = await logs.leader()
        logs.streams.cut = {leader.number}
        outcomes = await self.propose([leader], 3, 1.0)
        await leader.until(lambda: leader.events("replica_leader_changed", leader=None))
        async with asyncio.timeout(60.0):
            while [outcome.get("error") for outcome in outcomes[-3:]] != ["LogUnavailableError"] * 3:
                outcomes += await self.propose([leader], 3, 1.0)
        self.assertNotIn(None, [outcome.get("error") for outcome in outcomes])
        self.assertLess(max(outcome["took_s"] for outcome in outcomes), 3.0)
        await self.propose_until_applied([m for m in logs.members if m is not leader], 4)
        logs.streams.cut = set()
        await self.assert_consistent()

        # Broken connections lose no entries.
        for member in logs.members[:3]:
            logs.streams.reset(member.number)
            await self.propose(logs.members, 5, 0.5)
        await self.assert_consistent()

    async def test_corrupt_journal_unauthenticated_peer_and_lost_majority(self):
        logs = self.logs
        await self.propose(logs.members, 10)
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
        await self.propose_until_applied(logs.members, 5)

        # Peers without the secret are rejected, and neither the secret nor their data is logged.
        host, port = logs.streams.inside[0]
        valid_hello = HELLO_MAGIC + b"\0c1\0c0\0" + b"00" * 16
        valid_hello = len(valid_hello).to_bytes(2, "big") + valid_hello  # from a peer without the secret
        for hello in (b"\x00\x03abc", b"\xff\xff", valid_hello, b"\x80\x04\x95cos\nsystem\n."):
            before = len(logs.members[0].events("replica_link_refused"))
            async with asyncio.timeout(60.0):  # on a busy machine the handshake may time out; then retry
                while len(logs.members[0].events("replica_link_refused")) == before:
                    reader, writer = await asyncio.open_connection(host, port)
                    writer.write(hello + b"\0" * 600)
                    with suppress(ConnectionError):
                        await reader.read()
                    writer.close()
                    await asyncio.sleep(0.05)
        self.assertNotIn("secret of the lab", str([m.lines for m in logs.members]))

        # Without two of three voters proposals fail in bounded time. Then one voter restarts.
        await self.assert_consistent()
        killed = [m for m in logs.members[:3] if m is not logs.members[0]]
        await asyncio.gather(*(m.end(signal.SIGKILL) for m in killed))
        running = [logs.members[0], *logs.members[3:]]
        outcomes = await self.propose(running, 6, 0.5)
        self.assertNotIn(None, [outcome.get("error") for outcome in outcomes])
        await asyncio.gather(
            *(m.until(lambda m=m: m.events("replica_leader_changed")[-1]["leader"] is None) for m in running)
        )
        async with asyncio.timeout(60.0):  # none succeeds, and finally all fail with a certain outcome
            while {outcome.get("error") for outcome in outcomes} != {"LogUnavailableError"}:
                outcomes = await self.propose(running, 6, 0.5)
                self.assertNotIn(None, [outcome.get("error") for outcome in outcomes])
        self.assertLess(max(outcome["took_s"] for outcome in outcomes), 2.0)
        await killed[0].start()
        await self.propose_until_applied(running, 6, 20.0)
        await self.assert_consistent()
        self.assertEqual(await logs.members[0].end(signal.SIGTERM), 0)
