"""The stages of a recovery: what each waits for, for how long at most, and what follows.

No I/O and no clock. Stages never go back, and none lasts longer than its timeout: what is missing after a timeout is
said in the stage's `timeout_reason` and in the log.
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

    store_verdict: str = ""  # how the store was found, or that there is none; "": not yet known
    store_usable: bool = False  # it was opened, and is written to
    epoch: int = 0  # of this process in the fleet; 0: no address yet
    in_fleet: bool = True  # False: nobody is asked
    seeds_alive: int = 0  # this coordinator included if it is one
    quorum: int = 1  # more than half of the seeds
    seed_count: int = 1
    reported: bool = False  # a quorum of the seeds has reported all that it holds
    cooldown_over: bool = False  # of rights
    engines_marked: bool = False  # the core was told which engines have restarted
    waiting: int = 0  # requests that wait at the gate
    warm_ratio: float = 0.0  # part of the engines' capacity that they can bear now


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
        """Longest time that a whole recovery may take, in ms: the sum of all timeouts."""
        return sum(rule.timeout(self) for rule in RULES.values())


@dataclass(slots=True, frozen=True)
class StageRule:
    """One stage: the guard that lets it end, its timeout in ms, and the texts for its end by either."""

    guard: Callable[[StageInputs], bool]
    timeout: Callable[[StageTimeouts], float]
    done_reason: str
    timeout_reason: str
    min_ms: float = 0.0
    cannot_complete: Callable[[StageInputs], bool] = lambda inputs: (
        False
    )  # the guard will never hold: no use in waiting


@dataclass(slots=True, frozen=True)
class StageTransition:
    """The change from one stage to the next; `timed_out`: the previous one ended without its guard."""

    previous: Stage
    stage: Stage
    reason: str
    timed_out: bool
    duration_ms: float


RULES: Mapping[Stage, StageRule] = {
    Stage.STORE: StageRule(
        lambda inputs: bool(inputs.store_verdict) and inputs.store_usable,
        lambda timeouts: timeouts.store_ms,
        "the store is open",
        "without a store: nothing is remembered, and no load's ticket is granted here",
        cannot_complete=lambda inputs: bool(inputs.store_verdict) and not inputs.store_usable,
    ),
    Stage.ADDRESS: StageRule(
        lambda inputs: inputs.epoch > 0 or not inputs.in_fleet,
        lambda timeouts: timeouts.address_ms,
        "the address is ours",
        "without the fleet's port: serves alone",
    ),
    Stage.FIND: StageRule(
        lambda inputs: inputs.seeds_alive >= inputs.quorum,
        lambda timeouts: timeouts.find_ms,
        "more than half of the seeds are there",
        "with whom it has found",
    ),
    Stage.AGREE: StageRule(
        lambda inputs: inputs.reported,
        lambda timeouts: timeouts.agree_ms,
        "lists and bans are agreed",
        "the safest of what is known: all bans, engines in all lists and draining in none",
    ),
    Stage.RIGHTS: StageRule(
        lambda inputs: inputs.cooldown_over,
        lambda timeouts: timeouts.rights_ms,
        "rights have rested",
        "without rights until they have rested: what needs one goes last",
    ),
    Stage.ENGINES: StageRule(
        lambda inputs: inputs.engines_marked,
        lambda timeouts: timeouts.engines_ms,
        "engines are cold or known to have run on",
        "the list's word on engines' starts",
    ),
    Stage.SERVICE: StageRule(
        lambda inputs: inputs.waiting == 0 and inputs.warm_ratio >= 0.9,
        lambda timeouts: timeouts.service_ms,
        "engines are warm and nobody waits",
        "opened to all; the module goes on deciding",
        min_ms=1_000.0,
    ),
}


class RecoveryStages:
    """The progress of one recovery through its stages."""

    def __init__(self, timeouts: StageTimeouts, now: float) -> None:
        self.timeouts: StageTimeouts = timeouts
        self.stage: Stage = Stage.STORE
        self.entered_at: float = now
        self.transitions: list[StageTransition] = []  # one for each stage at most
        self.timed_out: set[Stage] = set()

    @property
    def finished(self) -> bool:
        """Whether the last stage is reached, and nothing is waited for any more."""
        return self.stage is Stage.OPEN

    @property
    def without_quorum(self) -> bool:
        """Whether the agreement with a quorum of the seeds was given up at its timeout."""
        return Stage.AGREE in self.timed_out

    def next_due(self) -> float:
        """Return when the stage times out, in ms of the caller's clock; inf after the last."""
        if self.finished:
            return math.inf
        return self.entered_at + RULES[self.stage].timeout(self.timeouts)

    def advance(self, now: float, inputs: StageInputs) -> list[StageTransition]:
        """Leave every stage whose guard holds, which has timed out or which is hopeless; return the transitions."""
        transitions: list[StageTransition] = []
        while not self.finished:
            rule = RULES[self.stage]
            done = rule.guard(inputs) and now - self.entered_at >= rule.min_ms
            if not done and now < self.next_due() and not rule.cannot_complete(inputs):
                break
            # A stage ends at its timeout at the latest, however late it is looked at.
            ended_at = min(now, self.next_due())
            transitions.append(self._leave(rule, done, ended_at))
        self.transitions += transitions
        return transitions

    def _leave(self, rule: StageRule, done: bool, ended_at: float) -> StageTransition:
        transition = StageTransition(
            previous=self.stage,
            stage=Stage(self.stage + 1),
            reason=rule.done_reason if done else rule.timeout_reason,
            timed_out=not done,
            duration_ms=ended_at - self.entered_at,
        )
        if not done:
            self.timed_out.add(self.stage)
        self.stage = transition.stage
        self.entered_at = ended_at
        return transition
