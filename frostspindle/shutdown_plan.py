"""The times of the steps of a shutdown, from the earliest time at which the platform may kill the process.

No I/O and no clock: times are seconds after SIGTERM.
"""

from __future__ import annotations

from dataclasses import dataclass

from frostspindle.policy import Settings

KILL_GRACE_S = 0.7  # the platform kills the process this long after the longest deadline
MAX_COUNTED_DEADLINE_S = 3.0  # limit on the longest deadline that the platform waits for
ACCEPT_S = 0.75  # how long new connections are still accepted
LAST_REQUEST_S = 0.62  # requests that arrive earlier than this must be answered
EXIT_RESERVE_S = 0.3  # before the kill, to send the responses, wait for clients and end the process
EXIT_MARGIN_S = 0.1  # part of the reserve, for interpreter exit on a busy machine
MIN_FLUSH_S = 0.1  # between the last responses and the exit, even if the kill comes sooner
SUPERVISOR_RESERVE_S = 0.1  # for the supervisor to notice the end of its workers and exit


def longest_deadline_s(settings: Settings) -> float:
    """Return the longest time in s that a request may take."""
    return max(request_class.deadline_ms for request_class in settings.classes) / 1000.0


def earliest_kill_s(settings: Settings) -> float:
    """Return how long after SIGTERM the platform may kill the processes of this deployment."""
    return min(longest_deadline_s(settings), MAX_COUNTED_DEADLINE_S) + KILL_GRACE_S


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """The steps of one process's shutdown, in order; s after SIGTERM."""

    accept_until_s: float  # new connections are accepted until then
    answer_by_s: float  # requests that are still open are answered then
    exit_by_s: float  # the process stops waiting for clients then


def make_shutdown_plan(settings: Settings, has_supervisor: bool) -> ShutdownPlan:
    """Return the plan of a process, which ends before the kill; a worker also leaves time for its supervisor."""
    end_s = earliest_kill_s(settings)
    if has_supervisor:
        end_s -= SUPERVISOR_RESERVE_S
    answer_by_s = max(LAST_REQUEST_S, end_s - EXIT_RESERVE_S)
    exit_by_s = max(answer_by_s + MIN_FLUSH_S, end_s - EXIT_MARGIN_S)
    return ShutdownPlan(min(ACCEPT_S, answer_by_s), answer_by_s, exit_by_s)
