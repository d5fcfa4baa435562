"""Five processes of the program lose power together: what they spend, run and answer as they come back."""

import asyncio
import unittest

from frostspindle.lab.faults.power import PowerLoss

STAGES = ["address", "find", "agree", "rights", "engines", "service", "open"]


class PowerCase(unittest.IsolatedAsyncioTestCase):
    async def lose(self, script: str, lost: tuple[int, ...], older: tuple[int, ...], seed: int) -> PowerLoss:
        asyncio.get_running_loop().set_debug(False)  # as in other tests of load: it doubles what each call costs
        power = PowerLoss(script, lost, older, seed)
        self.codes = None

        async def end() -> None:
            if self.codes is None:
                self.codes = await power.fleet.close()

        self.addAsyncCleanup(end)
        await power.run()
        return power

    async def judge(self, power: PowerLoss) -> None:
        """What holds whatever was lost."""
        self.codes = await power.fleet.close()
        figures = power.figures()
        self.assertEqual(
            [figures[key] for key in ("overspend", "cold_overruns", "loads_doubled", "untrue", "stuck")],
            [0, 0, 0, [], 0],
            figures,
        )
        self.assertEqual((self.codes, figures["faults"]), ([0] * 5, []))
        self.assertEqual((power.before, figures["served"]), ([200] * 8, 70))
        self.assertGreater(figures["cold_use"], 0.1, "engines were not cold, and nothing was proven of it")
        for n in range(5):
            self.assertEqual([line["stage"] for line in power.moves(n)], STAGES)

    async def test_five_killed_two_lose_their_stores_and_one_has_an_older_one(self):
        power = await self.lose("", (0, 3), (1,), 11)
        process = power.fleet.processes
        trusted = [[line["trusted"] for line in p.events("recovery_store_opened", life=2)] for p in process]
        self.assertEqual([trusted[n] for n in (0, 2, 3, 4)], [[False], [True], [False], [True]])
        self.assertTrue(
            process[1].events("recovery_store_outdated") or trusted[1] == [False], "last week's was believed"
        )
        # Three of a load's five homes may have forgotten it: nobody can say that it did not run.
        self.assertEqual(await power.client.load(process[2].http, 50), 503)
        await self.judge(power)

    async def test_five_killed_and_two_with_stores_are_partitioned_from_three_without(self):
        power = await self.lose("0.001- cut 0-1|2-4; 0- loss 0.05", (2, 3), (4,), 12)
        process = power.fleet.processes
        for n in (0, 1):
            self.assertTrue(any(line["weak"] and line["left"] == "find" for line in power.moves(n)), n)
        self.assertFalse([n for n in (0, 1) if process[n].events("recovery_state_agreed", enough=True, life=2)])
        # Two homes of five are too few, and three may have forgotten.
        self.assertEqual([await power.client.load(process[n].http, 20 + n) for n in (0, 3)], [503, 503])
        await self.judge(power)
