"""Whose connection ends, and when: the decisions of net/http/places.py, without sockets."""

import math

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as some

from frostspindle.net.http.connection_limits import (
    BUSY,
    COMING,
    CROWDED_PART,
    FRESH,
    IDLE,
    LEAVING,
    Step,
    due,
    most,
    spare,
)

NO = -math.inf  # no drain, nothing unread
STATES = some.sampled_from((FRESH, COMING, IDLE, BUSY, LEAVING))
TIMES = some.floats(0.0, 100.0)
SINCE = TIMES | some.just(NO) | some.just(math.inf)


@pytest.mark.parametrize(
    "state, waited, stuck, drained, awaited, step",
    [
        (FRESH, 2.3, NO, NO, False, Step.KEEP),
        (FRESH, 2.5, NO, NO, False, Step.SILENT),
        (COMING, 2.3, NO, NO, False, Step.KEEP),
        (COMING, 2.5, NO, NO, False, Step.SLOW),
        (IDLE, 4.5, NO, NO, False, Step.KEEP),
        (IDLE, 4.7, NO, NO, False, Step.SILENT),
        (LEAVING, 0.9, NO, NO, False, Step.KEEP),
        (LEAVING, 1.1, NO, NO, False, Step.ABORT),
        (BUSY, 0.0, 4.9, NO, False, Step.KEEP),
        (BUSY, 0.0, 5.1, NO, False, Step.ABORT),
        (IDLE, 0.1, NO, 0.3, False, Step.KEEP),
        (IDLE, 0.1, NO, 0.5, False, Step.AWAY),
        (IDLE, 0.9, NO, 0.5, True, Step.KEEP),
        (IDLE, 1.1, NO, 0.5, True, Step.AWAY),
        (FRESH, 0.2, NO, 0.5, False, Step.KEEP),
        (FRESH, 0.4, NO, 0.5, False, Step.AWAY),
        (COMING, 0.4, NO, 1.7, False, Step.KEEP),
        (COMING, 0.4, NO, 1.9, False, Step.LATE),
        (COMING, 0.2, NO, math.inf, False, Step.KEEP),
        (COMING, 2.5, NO, math.inf, False, Step.SLOW),
    ],
)
def test_each_bound_ends_a_connection_just_past_it(state, waited, stuck, drained, awaited, step):
    assert due(state, waited, stuck, drained, awaited) is step


@settings(derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(STATES, TIMES, SINCE, SINCE, some.booleans())
def test_a_call_at_work_ends_only_for_unread_answers_and_silence_always_ends(state, waited, stuck, drained, awaited):
    step = due(state, waited, stuck, drained, awaited)
    if state == BUSY:
        assert step is (Step.ABORT if stuck > 5.0 else Step.KEEP)
    else:
        assert step is not Step.KEEP or waited <= 4.6
    if drained < 0.0:
        assert step not in (Step.LATE, Step.AWAY), "only a drain sends clients away"


def test_who_needs_a_place_least_gives_it_and_a_call_at_work_never():
    order = [(LEAVING, 0.0), (FRESH, 0.2), (IDLE, 1.1), (COMING, 0.6), (IDLE, 0.5), (FRESH, 0.05), (COMING, 0.3)]
    ranks = [spare(state, waited) for state, waited in order]
    assert ranks == sorted(ranks, reverse=True) and ranks[-1] > 0.0 == spare(BUSY, 100.0)
    assert spare(IDLE, 8.0) > spare(IDLE, 2.0), "of two the one that waited longer"
    assert most(1000, True) == 1000 * CROWDED_PART < most(1000, False) and most(1, True) == 16
