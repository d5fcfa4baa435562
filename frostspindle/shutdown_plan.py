"""When the steps of a shutdown are due, by the earliest time at which the platform may kill the process.

No I/O and no clock: times are seconds after SIGTERM.
"""

from __future__ import annotations

from dataclasses import dataclass

from frostspindle.policy import Settings

KILL_GRACE_S = 0.7  # the platform kills so long after the longest deadline
MAX_COUNTED_DEADLINE_S = 3.0  # of which no more than this counts
ACCEPT_S = 0.75  # connections still come for a while
LAST_REQUEST_S = 0.62  # requests are owed their answers if they come earlier than this
EXIT_RESERVE_S = 0.3  # before the kill, for the responses to leave, clients to fall silent and the process to end
EXIT_MARGIN_S = 0.1  # of that, for the end of the interpreter and a busy machine
MIN_FLUSH_S = 0.1  # between the last answers and the end, however soon the kill comes
SUPERVISOR_RESERVE_S = 0.1  # for a supervisor to notice the end of its workers, and to end itself


def longest_deadline_s(settings: Settings) -> float:
    """Return the longest time in s that a request may take."""
    return max(request_class.deadline_ms for request_class in settings.classes) / 1000.0


def earliest_kill_s(settings: Settings) -> float:
    """Return how long after SIGTERM the platform may kill the processes of this deployment."""
    return min(longest_deadline_s(settings), MAX_COUNTED_DEADLINE_S) + KILL_GRACE_S


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """The steps of one process's shutdown, in their order."""

    accept_until_s: float  # new connections are accepted
    answer_by_s: float  # what is still open is answered
    exit_by_s: float  # clients are no longer waited for


def make_shutdown_plan(settings: Settings, has_supervisor: bool) -> ShutdownPlan:
    """Return the plan of a process, which ends before the kill; a worker leaves time for its supervisor's end."""
    end_s = earliest_kill_s(settings)
    if has_supervisor:
        end_s -= SUPERVISOR_RESERVE_S
    answer_by_s = max(LAST_REQUEST_S, end_s - EXIT_RESERVE_S)
    exit_by_s = max(answer_by_s + MIN_FLUSH_S, end_s - EXIT_MARGIN_S)
    return ShutdownPlan(min(ACCEPT_S, answer_by_s), answer_by_s, exit_by_s)
