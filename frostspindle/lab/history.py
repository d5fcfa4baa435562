"""History checker: checks in the logs of a run that each task had one owner at a time and no stale action was accepted.

It reads the structured lines of owners and receivers. Whether an action was accepted is taken from the receiver's
lines, never from the holder's. A history with gaps does not pass: dropped lines or too few accepted actions are faults.

The checks on lines (dicts) as written by `frostspindle/ownership/service.py` and `lab/fenced.py`:

1. At each receiver the accepted tokens of a task never decrease, in the receiver's order (`seq`).
2. No token of a task has two holders.
3. No actions of two holders were accepted under overlapping leases: an action accepted after the first action under a
   later grant is a fault, even if its token was the highest that this receiver knew.
4. No action is accepted under a token that was not granted.

Times (`at`) are ms of a clock that all processes of the run share (one machine's CLOCK_BOOTTIME, or the emulator's).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

ACTION_EVENT, ACQUIRED_EVENT, END_EVENTS = "sink_acted", "owner_took", ("owner_lost", "owner_released")


@dataclass(slots=True)
class Grant:
    """One grant, with the periods (ms) in which its holder held it; renewals keep the token."""

    task: str
    token: int
    holder: str
    periods: list[tuple[float, float]] = field(default_factory=list)


@dataclass(slots=True)
class Checked:
    """The result of a check."""

    faults: list[str] = field(default_factory=list)
    accepted: int = 0  # actions
    refused: int = 0  # stale actions
    stale_accepted: int = 0  # stale actions that were accepted; `faults` lists them too
    grants: int = 0
    tasks: int = 0

    @property
    def good(self) -> bool:
        """Whether no fault was found."""
        return not self.faults

    def fault(self, text: str) -> None:
        """Record a fault; faults after the first 100 are discarded."""
        if len(self.faults) < 100:
            self.faults.append(text)


def grants_in(
    lines: Iterable[dict[str, Any]], killed_at: dict[str, list[float]] | None = None
) -> dict[tuple[str, int], Grant]:
    """Return the grants by task and token, with the periods in which they were held.

    `killed_at`: times at which the processes of a holder were killed, which ends its leases. A lease without an end
    ends at infinity.
    """
    grants: dict[tuple[str, int], Grant] = {}
    acquired_at: dict[tuple[str, int], float] = {}
    for line in lines:
        event = line.get("event")
        if event != ACQUIRED_EVENT and event not in END_EVENTS:
            continue
        entries = line.get("many") or [[line["task"], line["token"], line["at"]]]
        for task, token, at in entries:
            grant = grants.setdefault((task, token), Grant(task, token, line["holder"]))
            if grant.holder != line["holder"]:
                grant.holder += f" and {line['holder']}"
            if event == ACQUIRED_EVENT:
                acquired_at[task, token] = at
            elif (start := acquired_at.pop((task, token), None)) is not None:
                grant.periods.append((start, max(start, at)))
    for key, start in acquired_at.items():
        # Logged times are rounded, hence the tolerance.
        ends = [max(start, at) for at in (killed_at or {}).get(grants[key].holder, []) if at >= start - 0.001]
        grants[key].periods.append((start, min(ends, default=float("inf"))))
    return grants


def check(
    lines: Iterable[dict[str, Any]],
    killed_at: dict[str, list[float]] | None = None,
    slack_ms: float = 0.0,
    expect: int = 0,
) -> Checked:
    """Check the lines of all processes and receivers of a run, each in its own order.

    `slack_ms`: how much later than the send the receiver's time (`at`) of an accepted action may be. `expect`: minimum
    number of accepted actions; fewer are a fault, because then the run proves nothing. Missing lines are faults too.
    """
    lines = list(lines)
    result = Checked()
    for line in lines:
        if line.get("event") == "log_lines_dropped" or any(
            row.get("what") == "log_failed" and row.get("count") for row in line.get("counters", ())
        ):
            result.fault(f"lines are missing: {line}")
    grants = grants_in(lines, killed_at)
    result.grants, result.tasks = len(grants), len({task for task, _ in grants})
    for (task, token), grant in grants.items():
        if " and " in grant.holder:
            result.fault(f"{task}: token {token} has two holders, {grant.holder}")
    grants_by_task: dict[str, list[Grant]] = {}
    for (task, _), grant in sorted(grants.items(), key=lambda item: item[0][1]):
        grants_by_task.setdefault(task, []).append(grant)
    highest: dict[tuple[str, str], int] = {}
    action_times: dict[tuple[str, int], list[float]] = {}
    for line in sorted(
        (action for action in lines if action.get("event") == ACTION_EVENT),
        key=lambda action: (action["receiver"], action["seq"]),
    ):
        task, token, receiver, holder = line["task"], line["token"], line["receiver"], line["holder"]
        if not line["accepted"]:
            result.refused += 1
            continue
        result.accepted += 1
        if token < highest.get((receiver, task), 0):
            result.stale_accepted += 1
            result.fault(f"{receiver}: {task}: token {token} of {holder} was accepted after {highest[receiver, task]}")
        highest[receiver, task] = max(token, highest.get((receiver, task), 0))
        action_times.setdefault((task, token), []).append(line["at"])
        if (grant := grants.get((task, token))) is None:
            result.fault(f"{receiver}: {task}: token {token} of {holder} was granted to nobody")
        elif grant.holder != holder:
            result.fault(f"{receiver}: {task}: token {token} is {grant.holder}'s and was used by {holder}")
    for task, task_grants in grants_by_task.items():
        for index, grant in enumerate(task_grants):
            for later in task_grants[index + 1 :]:
                overlap(result, task, grant, later, action_times, slack_ms)
    if result.accepted < expect:
        result.fault(f"{result.accepted} actions were accepted, {expect} were expected: nothing is shown")
    return result


def overlap(
    result: Checked,
    task: str,
    grant: Grant,
    later: Grant,
    action_times: dict[tuple[str, int], list[float]],
    slack_ms: float,
) -> None:
    """Add the faults of two grants of a task, `later` being the one with the higher token.

    Faults are overlapping leases, and actions under the lower token accepted after the first under the higher.
    """
    for start, end in grant.periods:
        for later_start, later_end in later.periods:
            if start < later_end and later_start < end:
                result.fault(
                    f"{task}: the leases of {grant.holder} ({grant.token}) and {later.holder} ({later.token}) "
                    f"overlap from {max(start, later_start):.1f} to {min(end, later_end):.1f}"
                )
    first = min(action_times.get((task, later.token), []), default=None)
    late_actions = (
        [] if first is None else [at for at in action_times.get((task, grant.token), []) if at > first + slack_ms]
    )
    if late_actions:
        result.stale_accepted += len(late_actions)
        result.fault(
            f"{task}: {len(late_actions)} actions of {grant.holder} ({grant.token}) were accepted after the first of "
            f"{later.holder} ({later.token}), the last {late_actions[-1] - (first or 0.0):.1f} ms later"
        )
