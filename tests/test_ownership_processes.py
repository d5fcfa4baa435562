"""Five processes of the program, a relay between them and a fenced sink: holders that are stopped, cut off, killed."""

import asyncio
import json
import random
import signal
import time
import unittest

from click.testing import CliRunner

from frostspindle.cli import cli
from frostspindle.lab.engines import host
from frostspindle.lab.faults.owners import Owned


class OwnersCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, voters):
        fleet = Owned(voters=voters)
        self.addAsyncCleanup(fleet.close)
        return await fleet.start()

    async def command(self, process, *words):
        def call():
            return CliRunner().invoke(cli, ["owners", "--at", f"127.0.0.1:{process.desk}", *words])

        return await asyncio.to_thread(call)

    async def test_stopped_for_twice_its_lease_cut_off_with_the_leader_killed_and_released(self):
        fleet = await self.start(5)
        first = await fleet.acts()
        holder = fleet.process(first["holder"])

        # SIGSTOP for twice the lease, on while another holds: nothing of it is accepted under the old token.
        holder.send_signal(signal.SIGSTOP)
        mark = len(fleet.sink.lines)
        second = await fleet.acts(mark, holder.name)
        await asyncio.sleep(2.0)
        holder.send_signal(signal.SIGCONT)
        await holder.until(lambda: holder.events("owner_lost"))
        self.assertGreater(second["token"], first["token"])

        # Its holder, and the leader of the log, cut off from the others (the sink hears both).
        holder = fleet.process((await fleet.acts(len(fleet.sink.lines)))["holder"])
        async with asyncio.timeout(20.0):  # one that comes back may have had a vote called
            while (leads := (await holder.figures("show-owners"))["leader"]) is None:
                await asyncio.sleep(0.02)
        fleet.streams.cut = {holder.number, int(leads[1:])}
        mark = len(fleet.sink.lines)
        third = await fleet.acts(mark, holder.name)
        self.assertEqual((await holder.figures("show-owners"))["waits"], "no known leader")
        fleet.streams.cut = set()

        # kill -9 between an action and its record here: the sink has taken it, and its answer is not there yet.
        holder = fleet.process(third["holder"])
        fleet.server.silent = True
        taken = await fleet.acts(len(fleet.sink.lines))
        self.assertEqual(taken["holder"], holder.name)
        await fleet.kill(holder)
        fleet.server.silent = False
        self.assertEqual(
            len(holder.events("owner_acted", token=taken["token"])),
            sum(line["token"] == taken["token"] for line in fleet.accepted()) - 1,
        )
        mark = len(fleet.sink.lines)
        fourth = await fleet.acts(mark, holder.name)
        await holder.start()

        # An operator takes it away; SIGTERM gives it back at once.
        told = await self.command(fleet.process(fourth["holder"]), "release", "x")
        self.assertEqual(told.exit_code, 0, told.output)
        self.assertIn("is released", told.output)
        fifth = await fleet.acts(len(fleet.sink.lines), fourth["holder"])
        told = await self.command(fleet.process(fourth["holder"]), "--json")
        self.assertEqual(json.loads(told.output)["holders"], {fifth["holder"]: 1})
        self.assertIn(fifth["holder"], (await self.command(fleet.process(fourth["holder"]))).output)
        self.assertEqual((await self.command(fleet.process(fourth["holder"]), "release", "nothing")).exit_code, 2)
        ending = fleet.process(fifth["holder"])
        self.assertEqual(await ending.end(), 0)
        self.assertTrue(ending.events("owner_released"))
        await fleet.acts(len(fleet.sink.lines), ending.name)

        found = fleet.checked(expect=20)
        self.assertTrue(found.good, found.faults)
        self.assertGreaterEqual(found.grants, 6)

    async def test_without_a_majority_nobody_holds_and_it_says_so(self):
        fleet = await self.start(3)
        await fleet.acts()
        gone = fleet.processes[1:3]
        await asyncio.gather(*(fleet.kill(process) for process in gone))
        rest = [fleet.processes[0], *fleet.processes[3:]]
        for process in rest:
            await process.until(lambda p=process: p.events("lease_candidacy_delayed"))
            async with asyncio.timeout(20.0):
                while any(row["here"] and row["left_ms"] for row in (await process.figures("show-owners"))["owners"]):
                    await asyncio.sleep(0.05)
        mark = len(fleet.sink.lines)
        await asyncio.sleep(0.3)
        self.assertEqual(fleet.sink.lines[mark:], [])
        journal = gone[0].folder / "log" / "journal"
        with journal.open("ab") as file:
            file.write(b"FSLJ\xff\x00\x00\x00half a frame")
        await gone[0].start()
        await fleet.acts(mark)
        self.assertEqual(gone[0].events("replica_journal_opened", life=2)[0]["found"], "torn")
        found = fleet.checked()
        self.assertTrue(found.good, found.faults)

    async def test_one_warms_a_new_engine_and_another_goes_on_when_it_is_stopped_or_killed_or_the_engine_goes(self):
        rng, statements = random.Random(7), tuple(f"SELECT {n}" for n in range(1, 9))
        fleet = self.fleet = Owned(voters=5, tasks=(), every_ms=20, statements=statements)
        self.addAsyncCleanup(fleet.close)
        await fleet.start()
        first, second = fleet.engines

        async def said(engine, most, after):
            async with asyncio.timeout(60.0):
                while len({text for _, _, text in engine.said[after:]}) < most:
                    await asyncio.sleep(0.002)
            return engine.said[after:]

        def once(found, least=0):
            """In order, each at the engine, and no more than one of them again for each change of the owner."""
            texts = [text for _, _, text in found]
            again = sum(one == other for one, other in zip(texts, texts[1:], strict=False))
            self.assertEqual(
                [text for n, text in enumerate(texts) if n == 0 or texts[n - 1] != text],
                list(statements[: max(len(set(texts)), least)]),
            )
            self.assertLessEqual(again, len({token for _, token, _ in found}) - 1)

        # What has long been warm is sent nothing; a new start is warmed by one, one statement at a time.
        self.assertEqual((first.said, second.said), ([], []))
        fleet.begins(0)
        found = await said(first, 8, 0)
        once(found, 8)
        self.assertEqual(len({token for _, token, _ in found}), 1)

        # SIGSTOP of the owner mid-way, for two leases: another goes on from there, and the late one sends one at most.
        fleet.begins(0)
        token = (await said(first, rng.randint(2, 4), 8))[-1][1]
        holder = self.holding(token)
        holder.send_signal(signal.SIGSTOP)
        await said(first, 8, 8)
        await asyncio.sleep(1.0)
        holder.send_signal(signal.SIGCONT)
        await holder.until(lambda: holder.events("owner_lost", task="warm", token=token))
        found = first.said[8:]
        once(found, 8)
        new = [n for n, one in enumerate(found) if one[1] != token]
        self.assertLessEqual(sum(one[1] == token for one in found[new[0] :]), 1)
        self.assertGreater(min(found[n][1] for n in new), token)

        # kill -9 of the owner mid-way, at another engine.
        fleet.begins(1)
        token = (await said(second, rng.randint(2, 4), 0))[-1][1]
        holder = self.holding(token)
        await fleet.kill(holder)
        await said(second, 8, 0)
        self.assertGreater(second.said[-1][1], token)
        once(second.said, 8)
        await holder.start()

        # An engine that is gone before it is warm gets nothing more, and holds the others up for nothing.
        mark, other = len(first.said), len(second.said)
        fleet.begins(0)
        await said(first, 2, mark)
        first.server.close()
        for line in list(first.lines):
            line.transport.abort()
        fleet.bus.say(host(second.name, second.port, born_ms=time.time() * 1_000.0), whole=True)
        once(await said(second, 8, other), 8)
        self.assertLess(len(first.said) - mark, 8)
        self.assertEqual((first.most, second.most), (1, 1), "one at a time")
        self.assertFalse([line for process in fleet.processes for line in process.events("lease_job_failed")])
        checked = fleet.checked(expect=24)
        self.assertTrue(checked.good, checked.faults)
        self.assertGreaterEqual(checked.grants, 3)

    def holding(self, token):
        (name,) = {
            line["holder"]
            for process in self.fleet.processes
            for line in process.events("owner_took", task="warm", token=token)
        }
        return self.fleet.process(name)
