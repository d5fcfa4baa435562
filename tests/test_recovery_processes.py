"""Five coordinator processes lose power together: budgets, loads and responses must be correct as they recover."""

import asyncio
import unittest

from frostspindle.lab.faults.power import PowerLoss

STAGES = ["address", "find", "agree", "rights", "engines", "service", "open"]


class PowerCase(unittest.IsolatedAsyncioTestCase):
    async def run_power_loss(
        self, script: str, lost: tuple[int, ...], outdated: tuple[int, ...], seed: int
    ) -> PowerLoss:
        asyncio.get_running_loop().set_debug(False)  # as in other load tests: debug mode doubles the cost of each call
        power = PowerLoss(script, lost, outdated, seed)
        self.codes = None

        async def close_fleet() -> None:
            if self.codes is None:
                self.codes = await power.fleet.close()

        self.addAsyncCleanup(close_fleet)
        await power.run()
        return power

    async def assert_invariants(self, power: PowerLoss) -> None:
        """Check what must hold after every power loss."""
        self.codes = await power.fleet.close()
        figures = power.figures()
        self.assertEqual(
            [figures[key] for key in ("overspend", "cold_overruns", "loads_doubled", "untrue", "stuck")],
            [0, 0, 0, [], 0],
            figures,
        )
        self.assertEqual((self.codes, figures["faults"]), ([0] * 5, []))
        self.assertEqual((power.first_statuses, figures["served"]), ([200] * 8, 70))
        self.assertGreater(figures["cold_use"], 0.1, "no cold engine was used, so the test shows nothing about them")
        for index in range(5):
            self.assertEqual([line["stage"] for line in power.left_stages(index)], STAGES)

    async def test_five_killed_two_lose_their_stores_and_one_has_an_outdated_store(self):
        power = await self.run_power_loss("", (0, 3), (1,), 11)
        processes = power.fleet.processes
        trusted = [
            [line["trusted"] for line in process.events("recovery_store_opened", life=2)] for process in processes
        ]
        self.assertEqual([trusted[index] for index in (0, 2, 3, 4)], [[False], [True], [False], [True]])
        self.assertTrue(
            processes[1].events("recovery_store_outdated") or trusted[1] == [False], "the outdated store was trusted"
        )
        # Three of the load's five replicas may lack its record, so no majority can tell that it did not run.
        self.assertEqual(await power.client.load(processes[2].http, 50), 503)
        await self.assert_invariants(power)

    async def test_five_killed_and_two_with_stores_are_partitioned_from_the_rest(self):
        power = await self.run_power_loss("0.001- cut 0-1|2-4; 0- loss 0.05", (2, 3), (4,), 12)
        processes = power.fleet.processes
        for index in (0, 1):
            self.assertTrue(any(line["weak"] and line["left"] == "find" for line in power.left_stages(index)), index)
        self.assertFalse(
            [index for index in (0, 1) if processes[index].events("recovery_state_agreed", enough=True, life=2)]
        )
        # Two replicas of five are no majority, and the other three may lack records.
        self.assertEqual([await power.client.load(processes[index].http, 20 + index) for index in (0, 3)], [503, 503])
        await self.assert_invariants(power)
