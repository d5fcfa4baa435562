"""Five processes of the program, a relay and a fenced sink: lease holders that are suspended, partitioned or killed."""

import asyncio
import json
import random
import signal
import time
import unittest

from click.testing import CliRunner

from frostspindle.cli import cli
from frostspindle.lab.engines import host_entry
from frostspindle.lab.faults.owners import OwnershipFleet


class OwnersCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, voters):
        fleet = OwnershipFleet(voters=voters)
        self.addAsyncCleanup(fleet.close)
        return await fleet.start()

    async def command(self, process, *words):
        def call():
            return CliRunner().invoke(cli, ["owners", "--at", f"127.0.0.1:{process.operator_port}", *words])

        return await asyncio.to_thread(call)

    async def test_holder_suspended_partitioned_with_the_leader_killed_and_released(self):
        fleet = await self.start(5)
        first = await fleet.next_action()
        holder = fleet.process(first["holder"])

        # SIGSTOP for twice the lease, until another process holds it: actions under the old token are rejected.
        holder.send_signal(signal.SIGSTOP)
        mark = len(fleet.sink.lines)
        second = await fleet.next_action(mark, holder.name)
        await asyncio.sleep(2.0)
        holder.send_signal(signal.SIGCONT)
        await holder.until(lambda: holder.events("owner_lost"))
        self.assertGreater(second["token"], first["token"])

        # The holder and the leader of the log are partitioned from the others (the sink still receives from both).
        holder = fleet.process((await fleet.next_action(len(fleet.sink.lines)))["holder"])
        async with asyncio.timeout(20.0):  # the resumed process may have caused an election
            while (leader := (await holder.figures("show-owners"))["leader"]) is None:
                await asyncio.sleep(0.02)
        fleet.streams.cut = {holder.number, int(leader[1:])}
        mark = len(fleet.sink.lines)
        third = await fleet.next_action(mark, holder.name)
        self.assertEqual((await holder.figures("show-owners"))["waits"], "no known leader")
        fleet.streams.cut = set()

        # kill -9 after the sink accepted an action, before the holder received the response and logged the action.
        holder = fleet.process(third["holder"])
        fleet.server.silent = True
        accepted = await fleet.next_action(len(fleet.sink.lines))
        self.assertEqual(accepted["holder"], holder.name)
        await fleet.kill(holder)
        fleet.server.silent = False
        self.assertEqual(
            len(holder.events("owner_acted", token=accepted["token"])),
            sum(line["token"] == accepted["token"] for line in fleet.accepted()) - 1,
        )
        mark = len(fleet.sink.lines)
        fourth = await fleet.next_action(mark, holder.name)
        await holder.start()

        # An operator releases the lease; SIGTERM releases it at once.
        command_result = await self.command(fleet.process(fourth["holder"]), "release", "x")
        self.assertEqual(command_result.exit_code, 0, command_result.output)
        self.assertIn("is released", command_result.output)
        fifth = await fleet.next_action(len(fleet.sink.lines), fourth["holder"])
        command_result = await self.command(fleet.process(fourth["holder"]), "--json")
        self.assertEqual(json.loads(command_result.output)["holders"], {fifth["holder"]: 1})
        self.assertIn(fifth["holder"], (await self.command(fleet.process(fourth["holder"]))).output)
        self.assertEqual((await self.command(fleet.process(fourth["holder"]), "release", "nothing")).exit_code, 2)
        ending = fleet.process(fifth["holder"])
        self.assertEqual(await ending.end(), 0)
        self.assertTrue(ending.events("owner_released"))
        await fleet.next_action(len(fleet.sink.lines), ending.name)

        result = fleet.checked(expect=20)
        self.assertTrue(result.good, result.faults)
        self.assertGreaterEqual(result.grants, 6)

    async def test_no_lease_is_held_without_a_majority_and_the_reason_is_shown(self):
        fleet = await self.start(3)
        await fleet.next_action()
        killed = fleet.processes[1:3]
        await asyncio.gather(*(fleet.kill(process) for process in killed))
        running = [fleet.processes[0], *fleet.processes[3:]]
        for process in running:
            await process.until(lambda p=process: p.events("lease_candidacy_delayed"))
            async with asyncio.timeout(20.0):
                while any(row["here"] and row["left_ms"] for row in (await process.figures("show-owners"))["owners"]):
                    await asyncio.sleep(0.05)
        mark = len(fleet.sink.lines)
        await asyncio.sleep(0.3)
        self.assertEqual(fleet.sink.lines[mark:], [])
        journal = killed[0].folder / "log" / "journal"
        with journal.open("ab") as file:
            file.write(b"FSLJ\xff\x00\x00\x00half a frame")
        await killed[0].start()
        await fleet.next_action(mark)
        self.assertEqual(killed[0].events("replica_journal_opened", life=2)[0]["found"], "torn")
        result = fleet.checked()
        self.assertTrue(result.good, result.faults)

    async def test_warm_up_of_a_new_engine_continues_after_suspended_or_killed_holders_and_lost_engines(self):
        rng, statements = random.Random(7), tuple(f"SELECT {n}" for n in range(1, 9))
        fleet = self.fleet = OwnershipFleet(voters=5, tasks=(), every_ms=20, statements=statements)
        self.addAsyncCleanup(fleet.close)
        await fleet.start()
        first, second = fleet.engines

        async def wait_for_statements(engine, count, after):
            async with asyncio.timeout(60.0):
                while len({text for _, _, text in engine.received_statements[after:]}) < count:
                    await asyncio.sleep(0.002)
            return engine.received_statements[after:]

        def assert_in_order(received, min_count=0):
            """Check that statements arrived in order, with at most one repeated per change of the lease holder."""
            texts = [text for _, _, text in received]
            repeated = sum(text == following for text, following in zip(texts, texts[1:], strict=False))
            self.assertEqual(
                [text for n, text in enumerate(texts) if n == 0 or texts[n - 1] != text],
                list(statements[: max(len(set(texts)), min_count)]),
            )
            self.assertLessEqual(repeated, len({token for _, token, _ in received}) - 1)

        # Warm engines get no statements; a restarted engine is warmed up by one holder, one statement at a time.
        self.assertEqual((first.received_statements, second.received_statements), ([], []))
        fleet.announce_restart(0)
        received = await wait_for_statements(first, 8, 0)
        assert_in_order(received, 8)
        self.assertEqual(len({token for _, token, _ in received}), 1)

        # SIGSTOP of the holder for two leases during a warm-up: another continues; the first sends at most one more.
        fleet.announce_restart(0)
        token = (await wait_for_statements(first, rng.randint(2, 4), 8))[-1][1]
        holder = self.process_with_token(token)
        holder.send_signal(signal.SIGSTOP)
        await wait_for_statements(first, 8, 8)
        await asyncio.sleep(1.0)
        holder.send_signal(signal.SIGCONT)
        await holder.until(lambda: holder.events("owner_lost", task="warm", token=token))
        received = first.received_statements[8:]
        assert_in_order(received, 8)
        later = [n for n, statement in enumerate(received) if statement[1] != token]
        self.assertLessEqual(sum(statement[1] == token for statement in received[later[0] :]), 1)
        self.assertGreater(min(received[n][1] for n in later), token)

        # kill -9 of the holder during the warm-up of another engine.
        fleet.announce_restart(1)
        token = (await wait_for_statements(second, rng.randint(2, 4), 0))[-1][1]
        holder = self.process_with_token(token)
        await fleet.kill(holder)
        await wait_for_statements(second, 8, 0)
        self.assertGreater(second.received_statements[-1][1], token)
        assert_in_order(second.received_statements, 8)
        await holder.start()

        # An engine that is lost during its warm-up gets no more statements and does not delay other engines.
        mark, second_mark = len(first.received_statements), len(second.received_statements)
        fleet.announce_restart(0)
        await wait_for_statements(first, 2, mark)
        first.server.close()
        for line in list(first.lines):
            line.transport.abort()
        fleet.bus.say(host_entry(second.name, second.port, born_ms=time.time() * 1_000.0), whole=True)
        assert_in_order(await wait_for_statements(second, 8, second_mark), 8)
        self.assertLess(len(first.received_statements) - mark, 8)
        self.assertEqual((first.peak_running, second.peak_running), (1, 1), "one at a time")
        self.assertFalse([line for process in fleet.processes for line in process.events("lease_job_failed")])
        checked = fleet.checked(expect=24)
        self.assertTrue(checked.good, checked.faults)
        self.assertGreaterEqual(checked.grants, 3)

    def process_with_token(self, token):
        (name,) = {
            line["holder"]
            for process in self.fleet.processes
            for line in process.events("owner_took", task="warm", token=token)
        }
        return self.fleet.process(name)
