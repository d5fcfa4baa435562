"""Five processes behind a fault-injecting relay, with fixed and moving subscribers, checked against the logs."""

import unittest

from faults import FLEET, TENANTS, UNITS

from frostspindle.lab.faults.spread import SubscriptionRun

SCRIPT = (
    "0- loss 0.05; 0- dup 0.1; 0- reorder 0.1; 1.5-4 cut 0-1|2-4; 2 kill 4; 4 start 4; 5 stop 1; 7.5 cont 1; "
    "6.5-8 oneway 3>0"
)


class ProcessesCase(unittest.IsolatedAsyncioTestCase):
    async def test_moving_subscriber_misses_no_event_without_a_gap_through_kills_a_stop_and_partitions(self):
        run = SubscriptionRun(SCRIPT, 7, FLEET.format(units=UNITS), TENANTS)
        self.codes = None

        async def close() -> None:
            if self.codes is None:
                self.codes = await run.close()

        self.addAsyncCleanup(close)
        found = await run.run(8.5)
        self.assertEqual(
            {key: found[key] for key in ("lost_silently", "repeated", "foreign", "disordered", "gaps_open", "faults")},
            dict.fromkeys(("lost_silently", "repeated", "foreign", "disordered", "gaps_open"), 0) | {"faults": []},
        )
        served, _, mover = run.subscribers
        self.assertGreater(len(served.events), 100)
        self.assertGreater(len(set(mover.visited)), 1)
        (killed,) = [line["epoch"] for line in run.fleet.processes[4].events("subscriptions_started", life=1)]
        self.assertTrue(any(first <= [killed, 10**9] <= last for maker, first, last in mover.gaps if maker == "c4"))
        self.codes = await run.close()
        # Each process's own counters agree with the events received of it, except for those in gaps.
        for process in run.fleet.processes[:4]:
            (end,) = process.events("counters_reported")
            answers = sum(row["count"] for row in end["counters"] if row["what"] == "served")
            received = sum(
                event["kind"] == "answer" and event["outcome"] == "served"
                for maker, _, _, event in mover.events
                if maker == process.name
            )
            lost = sum(last[1] - first[1] + 1 for maker, first, last in mover.gaps if maker == process.name)
            self.assertLessEqual(received, answers)
            self.assertGreaterEqual(received + max(0, lost), answers)
