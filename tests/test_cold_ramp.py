"""Slow start: all processes together keep the budget in any window, even with late notifications and restarts."""

from __future__ import annotations

import argparse

import pytest
from helpers import READ, ControllerHarness, entry, settings

from bench import cold_ramp
from frostspindle import policy
from frostspindle.policy import Controller, EndpointListKind


def measure_turns(count: int, **changes: object) -> dict:
    base = {"mean": 250.0, "no_hints": False, "restarts": 0.34, "engines": 1, "each": 8.0}
    return cold_ramp.measure("turns", count, 2, argparse.Namespace(**{**base, **changes}))


@pytest.mark.parametrize("count", [1, 3, 30, 200])
def test_slow_start_never_exceeds_the_budget_in_any_window_though_processes_restart(count):
    """Guards against turns that changed with every estimate or budget: 200 coordinators sent 1.2 times the budget."""
    result = measure_turns(count)
    assert result["over"] == 0.0 and result["used"] > 0.2


def coordinators_with_turn(time_ms: float, cost: float) -> set[int]:
    """Return which of 200 coordinators have a turn at a time, given their estimate of the mean cost."""
    numbers = set()
    for number in range(200):
        controller = Controller(settings(READ, coordinators=200, number=number), 1)
        controller.handle(90_000.0, policy.EndpointListUpdated(EndpointListKind.FULL, 1, (entry(7, since=99_000.0),)))
        controller.estimates.mean_costs_ms = [cost]
        numbers |= {number} if controller.slow_start.remaining_ms(controller.engines[7], time_ms) > 0.0 else set()
    return numbers


def test_changed_estimates_and_budget_change_only_the_last_turns():
    first = coordinators_with_turn(105_000.0, 200.0)
    assert len(first) > 5
    assert first < coordinators_with_turn(105_900.0, 200.0), "positions do not move within one turn"
    assert coordinators_with_turn(105_000.0, 230.0) < first


@pytest.mark.parametrize("coordinators", [1, 3])
def test_restarted_process_sends_no_second_share_in_the_same_window(coordinators):
    """A restarted process does not know what its predecessor has sent."""

    def sent_in_first_window(started_at_ms: float, engine_since_ms: float) -> int:
        k = ControllerHarness(settings(READ, coordinators=coordinators), engines=0, now=started_at_ms)
        k.list(entry(1, since=engine_since_ms), list_kind=EndpointListKind.FULL)
        for i in range(40):
            k.request(i, 0, cost=200.0)
        before = len(k.sent)
        k.wait(1100)
        assert len(k.sent) > 0, "it sends after the window"
        return before

    assert sent_in_first_window(100_000.0, 99_500.0) == 0, "its predecessor may have sent to this engine"
    assert sent_in_first_window(100_000.0, 100_000.0) > 0, (
        "no process had sent to an engine that started with this process"
    )
