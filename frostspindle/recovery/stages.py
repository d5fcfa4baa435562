"""The state machine of a recovery: what each stage waits for, and for how long at most.

No I/O and no clock. Stages only advance, and none lasts longer than its timeout. The stage's `timeout_reason`, which is
also logged, states what is missing after a timeout.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum


class Stage(IntEnum):
    """The stages in their order."""

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
    """The current inputs of the stages' guards."""

    store_verdict: str = ""  # outcome of opening the store; "": not yet known
    store_usable: bool = False  # it is open and accepts writes
    epoch: int = 0  # of this process in the fleet; 0: the fleet port is not bound yet
    in_fleet: bool = True  # False: there are no other coordinators
    seeds_alive: int = 0  # including this coordinator if it is a seed
    quorum: int = 1  # more than half of the seeds
    seed_count: int = 1
    reported: bool = False  # a quorum of the seeds has sent complete reports
    cooldown_over: bool = False  # of rights to shared budgets and cold engines
    engines_marked: bool = False  # the core was notified which engines have restarted
    waiting: int = 0  # number of requests that wait at the gate
    warm_ratio: float = 0.0  # usable fraction of the engines' full capacity


@dataclass(slots=True, frozen=True)
class StageTimeouts:
    """The longest duration of each stage, in ms."""

    store_ms: float = 5_000.0
    address_ms: float = 10_000.0
    find_ms: float = 1_000.0
    agree_ms: float = 500.0
    rights_ms: float = 100.0
    engines_ms: float = 1_000.0
    service_ms: float = 60_000.0

    @property
    def total_ms(self) -> float:
        """The longest duration of a complete recovery, in ms: the sum of all timeouts."""
        return sum(rule.timeout(self) for rule in RULES.values())


@dataclass(slots=True, frozen=True)
class StageRule:
    """One stage: the guard that ends it, its timeout in ms, and the reasons logged for either end."""

    guard: Callable[[StageInputs], bool]
    timeout: Callable[[StageTimeouts], float]
    done_reason: str
    timeout_reason: str
    min_ms: float = 0.0
    cannot_complete: Callable[[StageInputs], bool] = lambda inputs: (
        False
    )  # the guard can no longer become true: don't wait for the timeout


@dataclass(slots=True, frozen=True)
class StageTransition:
    """The change from one stage to the next; `timed_out`: the guard of the previous one was not met."""

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
        "no usable store: state is not persisted and no load ticket is granted here",
        cannot_complete=lambda inputs: bool(inputs.store_verdict) and not inputs.store_usable,
    ),
    Stage.ADDRESS: StageRule(
        lambda inputs: inputs.epoch > 0 or not inputs.in_fleet,
        lambda timeouts: timeouts.address_ms,
        "the fleet port is bound, or there is no fleet",
        "the fleet port is not bound: serving without the fleet",
    ),
    Stage.FIND: StageRule(
        lambda inputs: inputs.seeds_alive >= inputs.quorum,
        lambda timeouts: timeouts.find_ms,
        "a majority of the seeds is alive",
        "no majority of the seeds is alive: continuing with the members found",
    ),
    Stage.AGREE: StageRule(
        lambda inputs: inputs.reported,
        lambda timeouts: timeouts.agree_ms,
        "a quorum agreed on engine lists and bans",
        "no quorum: all known bans apply, and only engines that are ready in all lists are used",
    ),
    Stage.RIGHTS: StageRule(
        lambda inputs: inputs.cooldown_over,
        lambda timeouts: timeouts.rights_ms,
        "the cooldown of rights is over",
        "rights are in cooldown: requests that need one go last until it is over",
    ),
    Stage.ENGINES: StageRule(
        lambda inputs: inputs.engines_marked,
        lambda timeouts: timeouts.engines_ms,
        "each engine is marked as restarted or known to have kept running",
        "engine starts are taken from the engine list",
    ),
    Stage.SERVICE: StageRule(
        lambda inputs: inputs.waiting == 0 and inputs.warm_ratio >= 0.9,
        lambda timeouts: timeouts.service_ms,
        "engines are warm and no request waits",
        "admission is no longer limited here; the controller still schedules requests",
        min_ms=1_000.0,
    ),
}


class RecoveryStages:
    """The current stage of one recovery, and the transitions so far."""

    def __init__(self, timeouts: StageTimeouts, now: float) -> None:
        self.timeouts: StageTimeouts = timeouts
        self.stage: Stage = Stage.STORE
        self.entered_at: float = now
        self.transitions: list[StageTransition] = []  # one for each stage at most
        self.timed_out: set[Stage] = set()

    @property
    def finished(self) -> bool:
        """Whether the last stage is reached."""
        return self.stage is Stage.OPEN

    @property
    def without_quorum(self) -> bool:
        """Whether the agreement stage timed out before a quorum of the seeds had reported."""
        return Stage.AGREE in self.timed_out

    def next_due(self) -> float:
        """Return when the stage times out, in ms of the caller's clock; inf after the last."""
        if self.finished:
            return math.inf
        return self.entered_at + RULES[self.stage].timeout(self.timeouts)

    def advance(self, now: float, inputs: StageInputs) -> list[StageTransition]:
        """Leave every stage that is done, has timed out or can't complete; return the transitions."""
        transitions: list[StageTransition] = []
        while not self.finished:
            rule = RULES[self.stage]
            done = rule.guard(inputs) and now - self.entered_at >= rule.min_ms
            if not done and now < self.next_due() and not rule.cannot_complete(inputs):
                break
            # A late call counts the stage as ended at its timeout.
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
