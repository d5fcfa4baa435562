"""What the decision module does with an attempt whose end is not proven yet, or never will be."""

import pytest
from helpers import KEYED, LOAD, READ, ControllerHarness, settings

from frostspindle import policy
from frostspindle.policy import AttemptOutcome

WAIT_MS = 2100.0  # for the query's expiry
READ_CLASS, LOAD_CLASS, KEYED_CLASS = 0, 1, 2


def sent(cls, left_ms):
    """Return a harness whose first request has an attempt at an engine."""
    harness = ControllerHarness(settings(READ, LOAD, KEYED), engines=3)
    harness.request(1, cls, cost=100.0, left=left_ms)
    assert len(harness.sent) == 1
    return harness


def lose(harness):
    harness.feed(policy.AttemptLost(1, 0, harness.open[1, 0], harness.now + WAIT_MS))


# Guards against: a client waited until its deadline for a refusal that was certain from the loss of its attempt on.
@pytest.mark.parametrize(
    "cls, left_ms, answer",
    [
        (READ_CLASS, 1500.0, "RejectRequest"),
        (READ_CLASS, 5000.0, None),  # there is time for another attempt after the wait
        (LOAD_CLASS, 20000.0, "FailRequest"),  # it runs once only
        (KEYED_CLASS, 1500.0, "RejectRequest"),
        (KEYED_CLASS, 20000.0, None),
    ],
)
def test_request_whose_attempt_is_lost_is_answered_at_once_if_it_gets_no_other(cls, left_ms, answer):
    harness = sent(cls, left_ms)
    lose(harness)
    assert harness.answers.get(1) == answer


def test_request_whose_attempt_is_lost_is_sent_again_only_after_the_attempt_has_ended():
    harness = sent(READ_CLASS, 5000.0)
    lose(harness)
    assert len(harness.sent) == 1
    harness.end(1, AttemptOutcome.RESET)
    assert len(harness.sent) == 2


def test_lost_attempt_of_an_answered_request_is_ignored():
    harness = sent(READ_CLASS, 5000.0)
    harness.end(1)
    harness.feed(policy.AttemptLost(1, 0, 1, harness.now + WAIT_MS))
    assert harness.answers == {1: "Served"}


# Guards against: a request was sent again although nothing proved that its earlier attempt did not run any more.
@pytest.mark.parametrize(
    "cls, answer", [(READ_CLASS, "RejectRequest"), (LOAD_CLASS, "FailRequest"), (KEYED_CLASS, "RejectRequest")]
)
def test_request_whose_attempt_may_still_run_gets_no_other(cls, answer):
    harness = sent(cls, 20000.0)
    engine = harness.open.pop((1, 0))
    harness.attempts[1][0]["verdict"] = AttemptOutcome.RESET
    ended = policy.AttemptEnded(1, 0, engine, AttemptOutcome.RESET, 100.0, False, 0.0, 0.0, (), may_still_run=True)
    harness.feed(ended)
    assert harness.answers == {1: answer}
    assert len(harness.sent) == 1
