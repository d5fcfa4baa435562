"""Five processes of the program, the relay between them, engines with real rows, and an oracle that scans them all."""

import asyncio
import signal
import time
import unittest

from frostspindle.lab.faults.spread import AGENT, LEASE_S, SITES, ScatterRun, unexpected_log_lines


class ScatterCase(unittest.IsolatedAsyncioTestCase):
    async def test_no_answered_row_is_missed_by_who_was_killed_stopped_or_hears_badly(self):
        asyncio.get_running_loop().set_debug(False)  # the relay and engines of five processes run here
        run = self.scattered = ScatterRun("0- loss 0.05; 0- dup 0.1; 0- reorder 0.1; 0- delay 0-5")
        fleet, self.codes = run.fleet, None

        async def end() -> None:
            if self.codes is None:
                self.codes = await fleet.close()

        self.addAsyncCleanup(end)
        await fleet.start()
        fleet.begin()
        await run.wait_for_leases()
        before = (await run.figures(0))["left_out"]
        self.assertEqual(await run.count(0, "n = 1007"), 1)
        self.assertEqual(await run.count(0, "n BETWEEN 1500 AND 1510"), 0)
        self.assertGreaterEqual((await run.figures(0))["left_out"] - before, 3)
        how, rows, _ = await run.call(0, "SELECT s, COUNT(*), MAX(n) FROM calls_17.notes GROUP BY s ORDER BY 3")
        self.assertEqual(rows, [[AGENT[site], "20", f"{1_000 * at + 19}"] for at, site in enumerate(SITES)])

        # Kill -9 between a load's row and its answer: its summary was widened before it was sent.
        homes = {key: n for n in range(5) for key in (await run.figures(n))["keeps"]}
        home = homes["west/17"]
        killed, other, silent = [n for n in range(5) if n != home][:3]
        west = run.sites["west"]
        west.hold = asyncio.Event()
        lost = asyncio.create_task(run.load(killed, 777, "west"))
        async with asyncio.timeout(20.0):
            await west.landed.wait()
        await fleet.processes[killed].end(signal.SIGKILL)
        await lost
        for process in set(range(5)) - {killed}:
            self.assertEqual(await run.count(process, "n = 777"), 1)
        west.hold.set()
        west.hold = None
        await again(fleet.processes[killed])

        # A holder that is stopped past its lease: a load waits for that, and what wakes up trusts nothing old.
        await run.wait_for_leases([silent])
        fleet.processes[silent].send_signal(signal.SIGSTOP)
        began = time.monotonic()
        self.assertEqual((await run.load(other, 778, "west"))[0], "served")
        self.assertGreater(time.monotonic() - began, 0.3 * LEASE_S)
        late = asyncio.create_task(run.count(silent, "n = 778"))
        fleet.processes[silent].send_signal(signal.SIGCONT)
        self.assertEqual(await late, 1)

        # A home that is stopped past its lease: nobody leaves its site out any more, and no load is sent.
        await run.wait_for_leases([other])
        loads = len(west.loads)
        fleet.processes[home].send_signal(signal.SIGSTOP)
        self.assertEqual((await run.load(other, 779, "west", timeout_ms=2_500.0))[0], "refused")
        self.assertEqual((len(west.loads), await run.count(other, "n = 779")), (loads, 0))
        self.assertNotIn("west/17", (await run.figures(other))["leases"])
        fleet.processes[home].send_signal(signal.SIGCONT)
        self.assertEqual((await run.load(other, 780, "west"))[0], "served")
        for process in range(5):
            self.assertEqual(await run.count(process, "n = 780"), 1)

        # A home that starts anew knows nothing, and learns it.
        await fleet.processes[home].end(signal.SIGKILL)
        await again(fleet.processes[home])
        await fleet.processes[home].until(lambda: len(fleet.processes[home].events("scatter_summary_learned")) > 1)
        await run.wait_for_leases([other])
        self.assertEqual(await run.count(other, "n = 780"), 1)

        # Loads and queries at all, two stopped past their leases and continued meanwhile.
        async def stops() -> None:
            for process in (4, 1):
                await asyncio.sleep(0.4)
                fleet.processes[process].send_signal(signal.SIGSTOP)
                await asyncio.sleep(1.5 * LEASE_S)
                fleet.processes[process].send_signal(signal.SIGCONT)

        until = time.monotonic() + 4.0
        await asyncio.gather(stops(), *(run.client(process, until) for process in range(5)))
        self.assertEqual((run.wrong, run.count_duplicate_rows()), ([], 0))
        self.assertGreater(len(run.answered), 10)
        self.codes = await fleet.close()
        self.assertEqual(self.codes, [0] * 5)
        self.assertEqual(unexpected_log_lines(fleet), [])


async def again(process) -> None:
    await process.start()
    await process.until(lambda: process.events("coordinator_started", life=process.lives))
