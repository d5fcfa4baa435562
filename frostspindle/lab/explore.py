"""Exhaustive explorer of the state space of cores that do no I/O, up to a bound on states.

The search is breadth first and visits each state once, so that the first fault found ends a shortest path. `exhausted`
tells whether the search was complete; `holds` is true only of a complete search. States are opaque.

    explore(start, steps, check, limit) -> Explored(states, exhausted, trace, ...)

- `start`: the initial state. States are hashable values that `steps` never changes: tuples, frozen dataclasses,
  pyrsistent or immutables maps. For a mutable core: copy it in `steps`, and pass `key`, which returns a hashable value
  of all relevant state. `key` also expresses symmetries: states with equal keys count as one.
- `steps(state)` yields `(label, next state)` for every possible next step: actions of the core, messages delivered,
  duplicated or lost, ticks, crashes. It must bound the number of crashes, messages in flight and ticks, and use
  relative time, or the search does not end. It must be deterministic.
- `check(state)` returns None, or a message that describes the fault of the state; it is called once per state.
- `limit`: maximum number of distinct states; each takes 0.3 kB in addition to its own size.
- `goal(state)`, optional: from every state some path must lead to a state where it is true; otherwise the first state
  without such a path is the fault (a fleet that is stuck). It is checked only if the search was exhausted. That a path
  exists does not guarantee that it is taken.

A test of a model asserts `holds`, and with `labels` that the relevant steps did occur:

    found = explore(start, steps, check, 200_000)
    assert found.holds, str(found)
    assert found.labels["crash"] and found.labels["widen"]  # by the first word of each label
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

State = TypeVar("State")


@dataclass(slots=True)
class Explored(Generic[State]):
    """The result of a search; `str()` gives a summary with the complete path to the fault."""

    states: int  # number of distinct states visited
    exhausted: bool  # all reachable states were visited, and all their steps were taken
    trace: list[tuple[str, State]] | None = None  # shortest path to the fault: labels and resulting states
    fault: str | None = None  # message of `check` for the last state of the trace
    depth: int = 0  # steps from the start to the farthest visited state
    unfollowed: int = 0  # states of which not all steps were taken
    labels: Counter[str] = field(default_factory=Counter)  # steps taken, by the first word of the label

    @property
    def holds(self) -> bool:
        """Whether all reachable states were visited and none has a fault."""
        return self.exhausted and self.fault is None

    def __str__(self) -> str:
        if self.trace is not None:
            path = "\n".join(f"  {n}. {label}\n     {state}" for n, (label, state) in enumerate(self.trace))
            return f"fault after {len(self.trace) - 1} steps ({self.states} states visited): {self.fault}\n{path}"
        if not self.exhausted:
            return (
                f"NOT EXHAUSTED: no fault in the {self.states} states visited, up to {self.depth} steps from the "
                f"start; {self.unfollowed} of them were not followed"
            )
        return f"no fault in all {self.states} states, the farthest {self.depth} steps from the start"


def explore(
    start: State,
    steps: Callable[[State], Iterable[tuple[str, State]]],
    check: Callable[[State], str | None],
    limit: int,
    *,
    key: Callable[[State], Hashable] | None = None,
    goal: Callable[[State], bool] | None = None,
) -> Explored[State]:
    """Search breadth first, as described in the module's docstring.

    Raise ValueError for a limit below 1. An exception of `steps` or `check` is passed on with the path as a note.
    """
    if limit < 1:
        raise ValueError("the limit of states is below 1")
    key_of: Callable[[Any], Any] = key or (lambda state: state)
    found: list[State] = [start]  # in the order of discovery, which is that of depth
    origins: list[tuple[int, str]] = [(-1, "start")]
    depths = [0]
    indices = {key_of(start): 0}
    predecessors: list[list[int]] = [[]]  # by state, recorded only for `goal`
    labels: Counter[str] = Counter()

    def path_to(index: int) -> list[tuple[str, State]]:
        path = []
        while index >= 0:
            parent, label = origins[index]
            path.append((label, found[index]))
            index = parent
        return path[::-1]

    def explored(followed: int, fault: str | None = None, fault_index: int = 0) -> Explored[State]:
        return Explored(
            len(found),
            followed == len(found),
            path_to(fault_index) if fault is not None else None,
            fault,
            depths[-1],
            len(found) - followed,
            labels,
        )

    index = 0
    try:
        if (fault := check(start)) is not None:
            return explored(0, fault)
        while index < len(found):
            for label, state in steps(found[index]):
                labels[label.partition(" ")[0]] += 1
                target = indices.setdefault(key_of(state), len(found))
                if target == len(found):
                    if len(found) == limit:
                        return explored(index)
                    found.append(state)
                    origins.append((index, label))
                    depths.append(depths[index] + 1)
                    if goal is not None:
                        predecessors.append([])
                    if (fault := check(state)) is not None:
                        return explored(index, fault, target)
                if goal is not None:
                    predecessors[target].append(index)
            index += 1
    except Exception as error:
        error.add_note("after " + ", ".join(label for label, _ in path_to(index)))
        raise
    if goal is not None:
        stuck = _first_stuck(predecessors, [index for index, state in enumerate(found) if goal(state)])
        if stuck is not None:
            return explored(len(found), "no path leads from this state to the goal", stuck)
    return explored(len(found))


def _first_stuck(predecessors: list[list[int]], goals: list[int]) -> int | None:
    """Return the index of the first state from which no goal can be reached, None without one."""
    reaching = set(goals)
    while goals:
        newly_reaching = {index for goal in goals for index in predecessors[goal]} - reaching
        reaching |= newly_reaching
        goals = list(newly_reaching)
    return next((index for index in range(len(predecessors)) if index not in reaching), None)
