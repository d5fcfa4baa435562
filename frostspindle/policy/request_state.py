"""What the module keeps of requests: the books that control.py reads and writes.

Owns the shape of a request, of its attempts and of an engine, whose fields are fixed: those of one of a thousand lie
together. It decides nothing: every choice, bound and threshold stands in control.py.
"""

from __future__ import annotations

from typing import Any

from frostspindle.policy.events import AttemptOutcome, RequestArrived
from frostspindle.policy.settings import ClassSettings

ENGINE_FIELDS = (
    "entry",
    "id",
    "settings",
    "standing",
    "cores",
    "memory",
    "share",
    "ready",
    "told_at",
    "cold_sends",
    "attempts",
    "threads",
    "granted",
    "peers",
    "peers_memory",
    "part",
    "hearsay",
    "denied",
    "bound",
    "slow",
    "fails",
    "cut_at",
    "suspect",
    "retest_at",
    "backoff",
    "keeps",
    "cleared_at",
    "sign_at",
    "gap",
    "probed_at",
    "look_at",
    "warm",
    "spares",
    "report_at",
    "others",
    "others_memory",
)
NEVER_RAN = (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.OVERLOADED, AttemptOutcome.NOT_SENT)


class Attempt:
    def __init__(self, job: Job, number: int, engine: Any, now: float, grant: float, trial: bool) -> None:
        self.job, self.number, self.engine, self.sent = job, number, engine, now
        self.cost, self.grant, self.trial = job.cost, grant, trial
        self.waited, self.seen, self.charge = 0.0, now, 0.0  # stood still, by its notes; last note; blame
        self.in_line = False  # for memory, by its last note
        self.outcome: int | None = None


class Job:
    def __init__(self, event: RequestArrived, cs: ClassSettings, now: float) -> None:
        self.request, self.cls, self.cs, self.tenant = event.request, event.cls, cs, event.tenant
        self.key, self.group, self.turn = event.key, int(event.group), event.turn
        self.hint, self.memory_hint = max(0.0, event.cost_ms), max(0.0, event.memory_mb)
        self.arrived, self.deadline = now, now + max(0.0, event.left_ms)
        self.cost = self.memory = self.done = self.grant = self.objective_at_ms = 0.0
        self.over = self.moved = self.finished = self.held = self.streaming = False
        self.lane = self.group if cs.is_load and cs.in_order and self.group >= 0 else -1
        self.band, self.slot, self.attempts, self.avoid = -1, (0, 0.0, 0), list[Attempt](), set[int]()

    @property
    def out(self) -> list[Attempt]:
        return [a for a in self.attempts if a.outcome is None]

    def may_have_run(self) -> list[Attempt]:
        return [a for a in self.attempts if a.outcome not in NEVER_RAN]
