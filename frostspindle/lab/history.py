"""The history checker: whether the logs of a run show one owner at a time and no stale action accepted.

Owns the reading of the structured lines of owners and receivers and the judgement on them. It must never trust a
holder's word on what a receiver accepted where the receiver has lines of its own, and never call a history good that
has gaps: dropped lines, or no lines of a kind that it was told to expect, are faults too.

What is proven of a run, from lines (dicts) as `frostspindle/ownership/service.py` and `lab/fenced.py` write them:

1. at each receiver the accepted tokens of a task never go down, in the receiver's own order (`seq`);
2. no token of a task has two holders;
3. no two holders' actions were accepted under overlapping leases: an action that is accepted while a later grant's
   lease has begun (and was acted under) is told, even if its token was the highest that this receiver knew;
4. no action is accepted under a token that was granted to nobody.

Times (`at`) are ms of a clock that all processes of the run share (one machine's CLOCK_BOOTTIME, or the emulator's).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

ACTED, TOOK, ENDED = "sink_acted", "owner_took", ("owner_lost", "owner_released")


@dataclass(slots=True)
class Span:
    """One grant as its holder had it; over renewals, and over the times without between them."""

    task: str
    token: int
    holder: str
    held: list[tuple[float, float]] = field(default_factory=list)


@dataclass(slots=True)
class Checked:
    """What a history shows."""

    faults: list[str] = field(default_factory=list)
    accepted: int = 0  # actions
    refused: int = 0  # stale ones
    stale_accepted: int = 0  # actions that were accepted although they must not be: in `faults` too
    grants: int = 0
    tasks: int = 0

    @property
    def good(self) -> bool:
        """Whether no fault was found."""
        return not self.faults

    def fault(self, text: str) -> None:
        """Record a fault; after the first 100 further ones are not kept."""
        if len(self.faults) < 100:
            self.faults.append(text)


def spans(lines: Iterable[dict[str, Any]], died: dict[str, list[float]] | None = None) -> dict[tuple[str, int], Span]:
    """Return each grant by task and token, with the times (ms) during which its holder had it. `died`: when the
    processes of a holder were killed; what they held ends then. A lease that never ended ends at infinity."""
    out: dict[tuple[str, int], Span] = {}
    open_: dict[tuple[str, int], float] = {}
    for line in lines:
        event = line.get("event")
        if event != TOOK and event not in ENDED:
            continue
        many = line.get("many") or [[line["task"], line["token"], line["at"]]]
        for task, token, at in many:
            span = out.setdefault((task, token), Span(task, token, line["holder"]))
            if span.holder != line["holder"]:
                span.holder += f" and {line['holder']}"
            if event == TOOK:
                open_[task, token] = at
            elif (since := open_.pop((task, token), None)) is not None:
                span.held.append((since, max(since, at)))
    for key, since in open_.items():
        ends = [max(since, at) for at in (died or {}).get(out[key].holder, []) if at >= since - 0.001]  # lines round
        out[key].held.append((since, min(ends, default=float("inf"))))
    return out


def check(
    lines: Iterable[dict[str, Any]], died: dict[str, list[float]] | None = None, slack_ms: float = 0.0, expect: int = 0
) -> Checked:
    """Judge a run's lines, those of all its processes and receivers, each in its own order.

    `slack_ms`: how much later than the sender's send an accepted action's `at`, the receiver's time, may be.
    `expect`: the least number of accepted actions; with fewer the run shows nothing, which is a fault. Missing lines
    are faults too.
    """
    lines = list(lines)
    found = Checked()
    for line in lines:
        if line.get("event") == "log_lines_dropped" or any(
            row.get("what") == "log_failed" and row.get("count") for row in line.get("counters", ())
        ):
            found.fault(f"lines are missing: {line}")
    grants = spans(lines, died)
    found.grants, found.tasks = len(grants), len({task for task, _ in grants})
    for (task, token), span in grants.items():
        if " and " in span.holder:
            found.fault(f"{task}: token {token} has two holders, {span.holder}")
    begun: dict[str, list[Span]] = {}
    for (task, _), span in sorted(grants.items(), key=lambda item: item[0][1]):
        begun.setdefault(task, []).append(span)
    highest: dict[tuple[str, str], int] = {}
    acts: dict[tuple[str, int], list[float]] = {}
    for line in sorted(
        (one for one in lines if one.get("event") == ACTED), key=lambda one: (one["receiver"], one["seq"])
    ):
        task, token, receiver, holder = line["task"], line["token"], line["receiver"], line["holder"]
        if not line["accepted"]:
            found.refused += 1
            continue
        found.accepted += 1
        if token < highest.get((receiver, task), 0):
            found.stale_accepted += 1
            found.fault(f"{receiver}: {task}: token {token} of {holder} was accepted after {highest[receiver, task]}")
        highest[receiver, task] = max(token, highest.get((receiver, task), 0))
        acts.setdefault((task, token), []).append(line["at"])
        if (span := grants.get((task, token))) is None:
            found.fault(f"{receiver}: {task}: token {token} of {holder} was granted to nobody")
        elif span.holder != holder:
            found.fault(f"{receiver}: {task}: token {token} is {span.holder}'s and was used by {holder}")
    for task, all_of in begun.items():
        for place, span in enumerate(all_of):
            for later in all_of[place + 1 :]:
                overlap(found, task, span, later, acts, slack_ms)
    if found.accepted < expect:
        found.fault(f"{found.accepted} actions were accepted, {expect} were expected: nothing is shown")
    return found


def overlap(
    found: Checked, task: str, span: Span, later: Span, acts: dict[tuple[str, int], list[float]], slack_ms: float
) -> None:
    """Add faults for two grants of a task, `later` with the higher token: leases that overlap, and actions of the
    lower token that were accepted after the first one of the higher."""
    for since, until in span.held:
        for other_since, other_until in later.held:
            if since < other_until and other_since < until:
                found.fault(
                    f"{task}: the leases of {span.holder} ({span.token}) and {later.holder} ({later.token}) "
                    f"overlap from {max(since, other_since):.1f} to {min(until, other_until):.1f}"
                )
    first = min(acts.get((task, later.token), []), default=None)
    late = [] if first is None else [at for at in acts.get((task, span.token), []) if at > first + slack_ms]
    if late:
        found.stale_accepted += len(late)
        found.fault(
            f"{task}: {len(late)} actions of {span.holder} ({span.token}) were accepted after the first of "
            f"{later.holder} ({later.token}), the last {late[-1] - (first or 0.0):.1f} ms later"
        )
