"""What the module keeps of requests: the books that control.py reads and writes.

Owns the shape of a request, of its attempts and of a learned ratio. It decides nothing: every choice, bound and
threshold stands in control.py.
"""

from __future__ import annotations

import math
from typing import Any

from pinstage import interface as api
from pinstage.interface import Verdict

NEVER_RAN = (Verdict.CONNECT_FAILED, Verdict.FULL, Verdict.MOOT)


class Learned:
    """A robust running mean of the log of a ratio, leaning to 0 while samples are few, and its spread."""

    def __init__(self) -> None:
        self.mid, self.spread, self.count = 0.0, 0.2, 0

    def add(self, ratio: float) -> None:
        x = math.log(max(1e-3, min(1e3, ratio)))
        self.count += 1
        self.spread += 0.05 * (abs(x - self.mid) - self.spread)
        self.mid += max(-0.8, min(0.8, x - self.mid)) / min(2 + self.count, 40)


class Spares:
    """When each of our idle connections to an engine was last in use, as far as the attempts there tell."""

    def __init__(self, settings: api.Settings) -> None:
        self.lasts_ms, self.many = 0.85 * settings.conn_idle_ms, settings.streams_per_conn > 1
        self.idle = list[float]()

    def take(self) -> None:
        del self.idle[-1:]

    def free(self, now: float) -> None:
        self.idle = [*(at for at in self.idle if now - at < self.lasts_ms), now]

    def any(self, now: float, out: int) -> bool:
        return (self.many and out > 0) or (len(self.idle) > 0 and now - self.idle[-1] < self.lasts_ms)


class Attempt:
    def __init__(self, job: Job, number: int, engine: Any, now: float, grant: float, trial: bool) -> None:
        self.job, self.number, self.engine, self.sent = job, number, engine, now
        self.cost, self.grant, self.trial = job.cost, grant, trial
        self.waited, self.seen, self.charge = 0.0, now, 0.0  # stood still, by its notes; last note; blame
        self.in_line = False  # for memory, by its last note
        self.verdict: int | None = None


class Job:
    def __init__(self, event: api.Request, cs: api.ClassSettings, now: float) -> None:
        self.request, self.cls, self.cs, self.tenant = event.request, event.cls, cs, event.tenant
        self.key, self.group, self.turn = event.key, int(event.group), event.turn
        self.hint, self.memory_hint = max(0.0, event.cost_ms), max(0.0, event.memory_mb)
        self.arrived, self.deadline = now, now + max(0.0, event.left_ms)
        self.cost = self.memory = self.done = self.grant = self.aim_at = 0.0
        self.over = self.moved = self.finished = self.held = self.streaming = False
        self.band, self.slot = -1, (0, 0.0, 0)
        self.attempts, self.avoid = list[Attempt](), set[int]()

    @property
    def out(self) -> list[Attempt]:
        return [a for a in self.attempts if a.verdict is None]

    def may_have_run(self) -> list[Attempt]:
        return [a for a in self.attempts if a.verdict not in NEVER_RAN]
