"""Cold engines: all processes together keep the budget over any window, whoever hears late or starts anew."""

from __future__ import annotations

import argparse

import pytest
from helpers import READ, Keeper, entry, settings

from bench import cold_ramp
from frostspindle import policy
from frostspindle.policy import Controller, EndpointListKind


def measured(count: int, **changes: object) -> dict:
    base = {"mean": 250.0, "no_hints": False, "restarts": 0.34, "engines": 1, "each": 8.0}
    return cold_ramp.measure("turns", count, 2, argparse.Namespace(**{**base, **changes}))


@pytest.mark.parametrize("count", [1, 3, 30, 200])
def test_no_window_of_a_ramp_goes_over_the_allowance_though_all_have_enough_work_and_a_third_starts_anew(count):
    """Turns were drawn anew whenever an estimate or the budget moved: 200 sent 1.2 times the allowance."""
    row = measured(count)
    assert row["over"] == 0.0 and row["used"] > 0.2


def holders(budget_at: float, cost: float) -> set[int]:
    """Who of 200 has a turn at that time; the usual cost is each one's own estimate."""
    out = set()
    for number in range(200):
        c = Controller(settings(READ, coordinators=200, number=number), 1)
        c.handle(90_000.0, policy.EndpointListUpdated(EndpointListKind.FULL, 1, (entry(7, since=99_000.0),)))
        c.estimates.mean_costs_ms = [cost]
        out |= {number} if c.slow_start.remaining_ms(c.engines[7], budget_at) > 0.0 else set()
    return out


def test_other_estimates_and_a_grown_budget_move_only_the_last_of_the_few():
    first = holders(105_000.0, 200.0)
    assert len(first) > 5
    assert first < holders(105_900.0, 200.0), "within one turn nobody's place is another's"
    assert holders(105_000.0, 230.0) < first


@pytest.mark.parametrize("coordinators", [1, 3])
def test_a_process_killed_and_started_anew_sends_no_second_share_in_the_window(coordinators):
    """It knows nothing of what the one before it sent."""

    def sent(began: float, since: float) -> int:
        k = Keeper(settings(READ, coordinators=coordinators), engines=0, now=began)
        k.list(entry(1, since=since), how=EndpointListKind.FULL)
        for i in range(40):
            k.request(i, 0, cost=200.0)
        before = len(k.sent)
        k.wait(1100)
        assert len(k.sent) > 0, "after the window it sends"
        return before

    assert sent(100_000.0, 99_500.0) == 0, "an engine that it may have sent to before"
    assert sent(100_000.0, 100_000.0) > 0, "nobody had sent to one that is younger than ourselves"
