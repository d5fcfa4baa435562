"""Five processes of the program, a relay between them and a fenced sink: holders that are stopped, cut off, killed."""

import asyncio
import json
import signal
import unittest

from click.testing import CliRunner

from frostspindle.cli import cli
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
        leads = (await holder.figures("show-owners"))["leader"]
        fleet.streams.cut = {holder.number, int(leads[1:])}
        mark = len(fleet.sink.lines)
        third = await fleet.acts(mark, holder.name)
        self.assertEqual((await holder.figures("show-owners"))["waits"], "no leader is heard of")
        fleet.streams.cut = set()

        # kill -9 between an action and its record here.
        holder = fleet.process(third["holder"])
        await fleet.kill(holder)
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
            await process.until(lambda p=process: p.events("owner_waits"))
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
        self.assertEqual(gone[0].events("replica_journal", life=2)[0]["found"], "torn")
        found = fleet.checked()
        self.assertTrue(found.good, found.faults)
