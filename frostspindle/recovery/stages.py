"""The stages of a recovery, which replace a start order: what each waits for, how long, and what follows.

Owns which stage stands. It must never do I/O or read a clock, never go back, and never stay in a stage past its bound:
what a stage goes on without is said in its `weak` text and in the log.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum


class Stage(IntEnum):
    """The stages, in the order in which they follow."""

    STORE = 0
    ADDRESS = 1
    FIND = 2
    AGREE = 3
    RIGHTS = 4
    ENGINES = 5
    SERVICE = 6
    OPEN = 7


@dataclass(slots=True)
class StageInputs:
    """What is known now; the stages decide by nothing else."""

    store: str = ""  # the verdict on the store, or that there is none; "": not yet
    usable: bool = False  # it was opened, and is written to
    epoch: int = 0  # of this process in the fleet; 0: no address yet
    fleet: bool = True  # False: this coordinator is in no fleet, and nobody is asked
    met: int = 0  # seeds that are alive, this one included
    need: int = 1  # more than half of the seeds
    all: int = 1  # all seeds
    agreed: bool = False  # enough of the seeds have told all that they hold
    rested: bool = False  # what must rest has
    chilled: bool = False  # the core has taken engines for cold that are
    backlog: int = 0  # requests that wait at the gate
    warm: float = 0.0  # part of the engines' capacity that they can bear now


@dataclass(slots=True, frozen=True)
class StageTimeouts:
    """How long each stage may take, in ms."""

    store_ms: float = 5_000.0
    address_ms: float = 10_000.0
    find_ms: float = 1_000.0
    agree_ms: float = 500.0
    rights_ms: float = 100.0
    engines_ms: float = 1_000.0
    service_ms: float = 60_000.0

    @property
    def total_ms(self) -> float:
        """Longest time that a whole recovery may take, in ms: the sum of all bounds."""
        return sum(getattr(self, step.bound) for step in STEPS.values())


@dataclass(slots=True, frozen=True)
class StageRule:
    """One stage: the guard that lets it end, its bound, and what holds if the bound ends it."""

    guard: Callable[[StageInputs], bool]
    bound: str
    done: str
    weak: str
    least_ms: float = 0.0  # it stays so long at least
    hopeless: Callable[[StageInputs], bool] = lambda f: False  # the guard will never hold: no use in waiting


@dataclass(slots=True, frozen=True)
class StageTransition:
    """The change from one stage to the next: why, whether by its bound (`weak`), and how long it took in ms."""

    left: Stage
    stage: Stage
    why: str
    weak: bool
    took_ms: float


STEPS: Mapping[Stage, StageRule] = {
    Stage.STORE: StageRule(
        lambda f: bool(f.store) and f.usable,
        "store_ms",
        "the store is open",
        "without a store: nothing is remembered, and no load's ticket is granted here",
        hopeless=lambda f: bool(f.store) and not f.usable,
    ),
    Stage.ADDRESS: StageRule(
        lambda f: f.epoch > 0 or not f.fleet,
        "address_ms",
        "the address is ours",
        "without the fleet's port: serves alone",
    ),
    Stage.FIND: StageRule(
        lambda f: f.met >= f.need, "find_ms", "more than half of the seeds are there", "with whom it has found"
    ),
    Stage.AGREE: StageRule(
        lambda f: f.agreed,
        "agree_ms",
        "lists and bans are agreed",
        "the safest of what is known: all bans, engines in all lists and draining in none",
    ),
    Stage.RIGHTS: StageRule(
        lambda f: f.rested,
        "rights_ms",
        "rights have rested",
        "without rights until they have rested: what needs one goes last",
    ),
    Stage.ENGINES: StageRule(
        lambda f: f.chilled,
        "engines_ms",
        "engines are cold or known to have run on",
        "the list's word on engines' starts",
    ),
    Stage.SERVICE: StageRule(
        lambda f: f.backlog == 0 and f.warm >= 0.9,
        "service_ms",
        "engines are warm and nobody waits",
        "opened to all; the module goes on deciding",
        least_ms=1_000.0,
    ),
}


class RecoveryStages:
    """The progress of one recovery through its stages."""

    def __init__(self, bounds: StageTimeouts, now: float) -> None:
        self.bounds, self.began, self.since = bounds, now, now
        self.stage = Stage.STORE
        self.moves: list[StageTransition] = []  # one for each stage at most
        self.weak: set[Stage] = set()

    @property
    def over(self) -> bool:
        """Whether the last stage is reached, and nothing is waited for any more."""
        return self.stage is Stage.OPEN

    def due(self) -> float:
        """Return when the stage's bound ends it, in ms of the caller's clock; inf after the last."""
        return math.inf if self.over else self.since + getattr(self.bounds, STEPS[self.stage].bound)

    def look(self, now: float, facts: StageInputs) -> list[StageTransition]:
        """Leave every stage whose guard holds, whose bound has passed or which is hopeless; return the moves."""
        out: list[StageTransition] = []
        while not self.over:
            step = STEPS[self.stage]
            done = step.guard(facts) and now - self.since >= step.least_ms
            if not done and now < self.due() and not step.hopeless(facts):
                break
            at = min(now, self.due())  # a stage that its bound ended did so then, however late it is looked at
            move = StageTransition(
                self.stage, Stage(self.stage + 1), step.done if done else step.weak, not done, at - self.since
            )
            if not done:
                self.weak.add(self.stage)
            self.stage, self.since = move.stage, at
            out.append(move)
        self.moves += out
        return out

    @property
    def alone(self) -> bool:
        """Whether the agreement with enough of the seeds was given up at its bound."""
        return Stage.AGREE in self.weak
