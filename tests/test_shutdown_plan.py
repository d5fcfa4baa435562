"""The steps of a shutdown end before the earliest kill: min(longest deadline, 3 s) + 0.7 s after SIGTERM."""

import dataclasses

import pytest
from helpers import READ, settings

from frostspindle.shutdown_plan import SUPERVISOR_RESERVE_S, earliest_kill_s, longest_deadline_s, make_shutdown_plan

LAST_REQUEST_S = 0.6  # by the protocol, new requests may arrive until then after SIGTERM
DEADLINES_S = [0.1, 0.4, 0.7, 1.5, 2.9, 3.0, 3.1, 6.0, 12.0, 60.0]


def settings_with_deadline(deadline_s):
    longest = dataclasses.replace(READ, deadline_ms=1000.0 * deadline_s)
    return settings(dataclasses.replace(READ, deadline_ms=100.0), longest)


# Guards against: the exit was planned after the kill if the longest deadline was not 3 s.
@pytest.mark.parametrize("deadline_s", DEADLINES_S)
@pytest.mark.parametrize("has_supervisor", [False, True])
def test_all_steps_are_in_order_and_before_the_kill(deadline_s, has_supervisor):
    coordinator_settings = settings_with_deadline(deadline_s)
    kill_s = min(deadline_s, 3.0) + 0.7
    assert longest_deadline_s(coordinator_settings) == deadline_s
    assert earliest_kill_s(coordinator_settings) == pytest.approx(kill_s)
    plan = make_shutdown_plan(coordinator_settings, has_supervisor)
    assert LAST_REQUEST_S < plan.accept_until_s <= plan.answer_by_s
    assert plan.answer_by_s + 0.1 <= plan.exit_by_s + 1e-9
    reserve_s = SUPERVISOR_RESERVE_S if has_supervisor and deadline_s >= 0.4 else 0.0
    assert plan.exit_by_s + reserve_s < kill_s
