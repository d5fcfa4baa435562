"""Scatter/gather of five processes behind a faulty relay, checked against a scan of all rows at the engines."""

import asyncio
import signal
import time
import unittest

from frostspindle.lab.faults.spread import AGENT, LEASE_S, SITES, ScatterRun, unexpected_log_lines


class ScatterCase(unittest.IsolatedAsyncioTestCase):
    async def test_no_answered_row_is_missed_under_kills_stops_and_packet_loss(self):
        asyncio.get_running_loop().set_debug(False)  # the relay and engines of five processes run here
        cluster = self.scattered = ScatterRun("0- loss 0.05; 0- dup 0.1; 0- reorder 0.1; 0- delay 0-5")
        fleet, self.codes = cluster.fleet, None

        async def close_fleet() -> None:
            if self.codes is None:
                self.codes = await fleet.close()

        self.addAsyncCleanup(close_fleet)
        await fleet.start()
        fleet.begin()
        await cluster.wait_for_leases()
        before = (await cluster.figures(0))["left_out"]
        self.assertEqual(await cluster.count(0, "n = 1007"), 1)
        self.assertEqual(await cluster.count(0, "n BETWEEN 1500 AND 1510"), 0)
        self.assertGreaterEqual((await cluster.figures(0))["left_out"] - before, 3)
        status, rows, _ = await cluster.call(0, "SELECT s, COUNT(*), MAX(n) FROM calls_17.notes GROUP BY s ORDER BY 3")
        self.assertEqual(rows, [[AGENT[site], "20", f"{1_000 * at + 19}"] for at, site in enumerate(SITES)])

        # SIGKILL between a load's row and its response: the summary was widened before the load was sent.
        homes = {key: n for n in range(5) for key in (await cluster.figures(n))["keeps"]}
        home = homes["west/17"]
        killed, other, silent = [n for n in range(5) if n != home][:3]
        west = cluster.sites["west"]
        west.hold = asyncio.Event()
        lost = asyncio.create_task(cluster.load(killed, 777, "west"))
        async with asyncio.timeout(20.0):
            await west.landed.wait()
        await fleet.processes[killed].end(signal.SIGKILL)
        await lost
        for process in set(range(5)) - {killed}:
            self.assertEqual(await cluster.count(process, "n = 777"), 1)
        west.hold.set()
        west.hold = None
        await restart(fleet.processes[killed])

        # A holder is stopped past its lease: a load waits for the expiry, and the holder uses no old summary.
        await cluster.wait_for_leases([silent])
        fleet.processes[silent].send_signal(signal.SIGSTOP)
        began = time.monotonic()
        self.assertEqual((await cluster.load(other, 778, "west"))[0], "served")
        self.assertGreater(time.monotonic() - began, 0.3 * LEASE_S)
        late = asyncio.create_task(cluster.count(silent, "n = 778"))
        fleet.processes[silent].send_signal(signal.SIGCONT)
        self.assertEqual(await late, 1)

        # A home is stopped past its leases: no process skips its site any more, and no load is sent.
        await cluster.wait_for_leases([other])
        loads = len(west.loads)
        fleet.processes[home].send_signal(signal.SIGSTOP)
        self.assertEqual((await cluster.load(other, 779, "west", timeout_ms=2_500.0))[0], "refused")
        self.assertEqual((len(west.loads), await cluster.count(other, "n = 779")), (loads, 0))
        self.assertNotIn("west/17", (await cluster.figures(other))["leases"])
        fleet.processes[home].send_signal(signal.SIGCONT)
        self.assertEqual((await cluster.load(other, 780, "west"))[0], "served")
        for process in range(5):
            self.assertEqual(await cluster.count(process, "n = 780"), 1)

        # A home that restarts has no summary and learns it.
        await fleet.processes[home].end(signal.SIGKILL)
        await restart(fleet.processes[home])
        await fleet.processes[home].until(lambda: len(fleet.processes[home].events("scatter_summary_learned")) > 1)
        await cluster.wait_for_leases([other])
        self.assertEqual(await cluster.count(other, "n = 780"), 1)

        # Loads and queries at all processes, while two of them are stopped past their leases and continued.
        async def stops() -> None:
            for process in (4, 1):
                await asyncio.sleep(0.4)
                fleet.processes[process].send_signal(signal.SIGSTOP)
                await asyncio.sleep(1.5 * LEASE_S)
                fleet.processes[process].send_signal(signal.SIGCONT)

        until = time.monotonic() + 4.0
        await asyncio.gather(stops(), *(cluster.client(process, until) for process in range(5)))
        self.assertEqual((cluster.wrong, cluster.count_duplicate_rows()), ([], 0))
        self.assertGreater(len(cluster.answered), 10)
        self.codes = await fleet.close()
        self.assertEqual(self.codes, [0] * 5)
        self.assertEqual(unexpected_log_lines(fleet), [])


async def restart(process) -> None:
    await process.start()
    await process.until(lambda: process.events("coordinator_started", life=process.lives))
