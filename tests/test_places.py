"""Decisions of net/http/connection_limits.py on closing connections, without sockets."""

import math

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as some

from frostspindle.net.http.connection_limits import (
    BUSY,
    CLOSING,
    IDLE,
    NEW,
    RECEIVING,
    SHARED_CLIENT_DESCRIPTOR_SHARE,
    ConnectionStep,
    max_connections,
    next_step,
    reclaim_score,
)

NO = -math.inf  # no drain, nothing unread
STATES = some.sampled_from((NEW, RECEIVING, IDLE, BUSY, CLOSING))
TIMES = some.floats(0.0, 100.0)
SINCE = TIMES | some.just(NO) | some.just(math.inf)


@pytest.mark.parametrize(
    "state, waited, stuck, drained, awaited, step",
    [
        (NEW, 2.3, NO, NO, False, ConnectionStep.KEEP),
        (NEW, 2.5, NO, NO, False, ConnectionStep.CLOSE_SILENT),
        (RECEIVING, 2.3, NO, NO, False, ConnectionStep.KEEP),
        (RECEIVING, 2.5, NO, NO, False, ConnectionStep.REQUEST_TOO_SLOW),
        (IDLE, 4.5, NO, NO, False, ConnectionStep.KEEP),
        (IDLE, 4.7, NO, NO, False, ConnectionStep.CLOSE_SILENT),
        (CLOSING, 0.9, NO, NO, False, ConnectionStep.KEEP),
        (CLOSING, 1.1, NO, NO, False, ConnectionStep.ABORT),
        (BUSY, 0.0, 4.9, NO, False, ConnectionStep.KEEP),
        (BUSY, 0.0, 5.1, NO, False, ConnectionStep.ABORT),
        (IDLE, 0.1, NO, 0.3, False, ConnectionStep.KEEP),
        (IDLE, 0.1, NO, 0.5, False, ConnectionStep.CLOSE_IN_DRAIN),
        (IDLE, 0.9, NO, 0.5, True, ConnectionStep.KEEP),
        (IDLE, 1.1, NO, 0.5, True, ConnectionStep.CLOSE_IN_DRAIN),
        (NEW, 0.2, NO, 0.5, False, ConnectionStep.KEEP),
        (NEW, 0.4, NO, 0.5, False, ConnectionStep.CLOSE_IN_DRAIN),
        (RECEIVING, 0.4, NO, 1.7, False, ConnectionStep.KEEP),
        (RECEIVING, 0.4, NO, 1.9, False, ConnectionStep.REJECT_IN_DRAIN),
        (RECEIVING, 0.2, NO, math.inf, False, ConnectionStep.KEEP),
        (RECEIVING, 2.5, NO, math.inf, False, ConnectionStep.REQUEST_TOO_SLOW),
    ],
)
def test_each_timeout_ends_a_connection_just_after_it(state, waited, stuck, drained, awaited, step):
    assert next_step(state, waited, stuck, drained, awaited) is step


@settings(derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(STATES, TIMES, SINCE, SINCE, some.booleans())
def test_busy_connections_end_only_with_unread_responses_and_silent_ones_always(state, waited, stuck, drained, awaited):
    step = next_step(state, waited, stuck, drained, awaited)
    if state == BUSY:
        assert step is (ConnectionStep.ABORT if stuck > 5.0 else ConnectionStep.KEEP)
    else:
        assert step is not ConnectionStep.KEEP or waited <= 4.6
    if drained < 0.0:
        assert step not in (ConnectionStep.REJECT_IN_DRAIN, ConnectionStep.CLOSE_IN_DRAIN), (
            "connections are closed for a drain only while draining"
        )


def test_reclaim_scores_order_connections_and_spare_busy_ones():
    order = [(CLOSING, 0.0), (NEW, 0.2), (IDLE, 1.1), (RECEIVING, 0.15), (IDLE, 0.5), (NEW, 0.05), (RECEIVING, 0.05)]
    ranks = [reclaim_score(state, waited) for state, waited in order]
    assert ranks == sorted(ranks, reverse=True) and ranks[-1] > 0.0 == reclaim_score(BUSY, 100.0)
    assert reclaim_score(IDLE, 8.0) > reclaim_score(IDLE, 2.0), "the one idle for longer comes first"
    assert (
        max_connections(1000, True) == 1000 * SHARED_CLIENT_DESCRIPTOR_SHARE < max_connections(1000, False)
        and max_connections(1, True) == 16
    )
