"""Admission control while service returns: which requests pass to the module, which wait, which are refused at once.

Owns the requests that wait, their order and the rate at which they go on. The module goes on deciding on each that is
let through. It must never do I/O or read a clock, never let a request of a key pass an earlier one of it, never keep
one that can't be done in its time even if it is next (it is refused at once, so that its client need not wait for
nothing), and never grow past `most`: then what is worth least for its work is refused.

What engines can bear now is told by the curve of cold engines; the gate lets through as much work as fits in HORIZON_MS
of it, and more as answers come. Those that wait go by worth a unit of work, of equal worth the smallest first.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_left
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

HORIZON_MS = 12_000.0  # work that may be with the module, in time at the present rate
MARGIN_MS = 60.0  # before the client's time is over
SPREAD = 0.5  # a wait that is told is drawn from 1 - SPREAD to 1 + SPREAD times what is expected
STEP_MS, STEPS = 250.0, 160  # the curve is looked ahead so finely and so far
KEPT_MS = 10_000.0  # of what was looked ahead so much may pass
LEAST_MS = 50.0  # the shortest wait that is told
RETOLD_MS = 50.0  # those who wait are looked over so often


class RequestClass(NamedTuple):
    """What the gate needs to know of a class of requests."""

    worth: float
    harmless: bool  # a repeat does no harm
    late_share: float
    aim_ms: float
    mean_cost_ms: float


class ReadyEngine(NamedTuple):
    """A ready engine as the slow-start curve needs it; `born_ms` 0: warm."""

    cores: float
    born_ms: float


@dataclass(slots=True, frozen=True)
class SlowStartCurve:
    """What a cold engine bears (slow start): a part of its cores at the start, all after `warm_ms`, growing with the
    square.
    """

    capacity: float = 1.0
    warm_ms: float = 0.0

    def part(self, age_ms: float) -> float:
        """Return the part of its full capacity, up to 1.0, that an engine bears `age_ms` after its start (slow start).

        A negative age counts as 0.
        """
        if self.warm_ms <= 0 or age_ms >= self.warm_ms:
            return 1.0
        return self.capacity + (1.0 - self.capacity) * (max(0.0, age_ms) / self.warm_ms) ** 2


def bears(engines: Iterable[ReadyEngine], curve: SlowStartCurve, at: float) -> float:
    """Return the work in ms that all engines together do in a ms at the time `at` (Unix ms)."""
    return sum(e.cores * (curve.part(at - e.born_ms) if e.born_ms > 0 else 1.0) for e in engines)


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits at the gate."""

    number: int
    cls: int
    key: int
    cost: float
    arrived: float
    ends: float  # the last moment at which an answer is of use
    rank: tuple[float, int]
    cleared: bool = True  # its ticket is granted, or it needs none
    gone: bool = False


class AdmissionDecision(NamedTuple):
    """Decision on a request: let it through, or refuse it with a wait in ms."""

    number: int
    passes: bool
    retry_ms: float = 0.0


@dataclass(slots=True)
class _AdmittedRequest:
    cost: float
    cls: int


class RecoveryAdmission:
    """One coordinator's gate during recovery. Times are the core's, Unix ms."""

    def __init__(
        self,
        classes: tuple[RequestClass, ...],
        curve: SlowStartCurve,
        share: float,
        most: int,
        seed: int,
        max_retry_ms: float = 0.0,
    ) -> None:
        self.classes, self.curve, self.share, self.most = classes, curve, share, most
        self.max_retry_ms = max_retry_ms  # 0: no wait is told
        self.engines: tuple[ReadyEngine, ...] = ()
        self.open = False  # True: nothing waits but loads for their tickets
        self.begun = False  # service has: until then nothing goes on, whatever was expected
        self.expected = math.inf  # before that: when it is expected to begin
        self.loads = False  # requests that must not be repeated go on too
        self.waiting: dict[int, WaitingRequest] = {}
        self.lines: dict[int, deque[WaitingRequest]] = {}  # by key, in the order taken
        self.let: dict[int, _AdmittedRequest] = {}  # with the module, unanswered
        self.work = 0.0  # of these
        self.refused = self.passed = self.deferred = 0
        self.random = random.Random(seed)
        self._looked = -math.inf
        self._dirty = False
        self._ahead: list[float] = []  # work that will have been done by the end of each step from `_from` on
        self._ahead_of: tuple[tuple[ReadyEngine, ...], float] | None = None  # by these engines and this share
        self._from = -math.inf

    # What comes in.

    def enter(
        self, now: float, number: int, cls: int, key: int, left_ms: float, cost_ms: float, cleared: bool
    ) -> list[AdmissionDecision]:
        """Queue a request; return what is to be done at once, also with others.

        With more than `most` waiting, the one worth least for its work is refused.
        """
        kind = self.classes[cls]
        cost = max(1.0, cost_ms or kind.mean_cost_ms)
        ends = now + (left_ms if kind.late_share > 0 else min(left_ms, kind.aim_ms)) - MARGIN_MS
        waiting = WaitingRequest(number, cls, key, cost, now, ends, (-kind.worth / cost, number), cleared)
        if key:
            self.lines.setdefault(key, deque()).append(waiting)
        self.waiting[number] = waiting
        self.deferred += 1
        self._dirty = True
        out: list[AdmissionDecision] = []
        if len(self.waiting) > self.most:
            worst = max((w for w in self.waiting.values()), key=lambda w: w.rank)
            out += self._refuse(now, worst, self.wait_ms(now, self._until(now, self._queued())))
        return out + self.look(now, number if self.open else 0)

    def clear(self, number: int) -> None:
        """Note that the request's ticket is granted, so that it may be let through."""
        if (waiting := self.waiting.get(number)) is not None:
            waiting.cleared = True
            self._dirty = True

    def drop(self, number: int) -> None:
        """Forget a request that was answered or whose client left; its work counts no more."""
        if (waiting := self.waiting.pop(number, None)) is not None:
            self._unline(waiting)
        if (let := self.let.pop(number, None)) is not None:
            self.work = max(0.0, self.work - let.cost) if self.let else 0.0
        self._dirty = True

    def _unline(self, waiting: WaitingRequest) -> None:
        waiting.gone = True
        line = self.lines.get(waiting.key)
        while line and line[0].gone:
            line.popleft()
        if line is not None and not line:
            del self.lines[waiting.key]

    # What goes out.

    def look(self, now: float, only: int = 0) -> list[AdmissionDecision]:
        """Let through the requests that fit, refuse those that can't be served in time. `only`: the one request that
        has changed, used with the gate open.
        """
        out: list[AdmissionDecision] = []
        if self.open:
            waiting = [self.waiting[only]] if only in self.waiting else list(self.waiting.values()) if not only else []
            for one in waiting:
                out += self._pass_line(one)
            return out
        most = self.rate(now) * HORIZON_MS
        if self._dirty and self.begun and (self.work < most or not self.let):
            self._dirty = False
            heapq.heapify(order := [(w.rank, w) for w in self.waiting.values() if self._head(w)])
            while order and (self.work < most or not self.let):
                _, one = heapq.heappop(order)
                if not self._may(one):
                    continue
                out += self._pass(one)
                if one.key and (line := self.lines.get(one.key)):
                    heapq.heappush(order, (line[0].rank, line[0]))
        if now - self._looked >= RETOLD_MS:
            self._looked, self._dirty = now, True  # engines bear more by now
            out += self._hopeless(now)
        return out

    def _may(self, one: WaitingRequest) -> bool:
        return one.cleared and (self.loads or self.classes[one.cls].harmless)

    def _head(self, one: WaitingRequest) -> bool:
        return not one.key or self.lines[one.key][0] is one

    def _pass(self, one: WaitingRequest) -> list[AdmissionDecision]:
        del self.waiting[one.number]
        self._unline(one)
        self.let[one.number] = _AdmittedRequest(one.cost, one.cls)
        self.work += one.cost
        self.passed += 1
        return [AdmissionDecision(one.number, True)]

    def _pass_line(self, one: WaitingRequest) -> list[AdmissionDecision]:
        """With the gate open: this one, and those of its key that waited for it."""
        out: list[AdmissionDecision] = []
        while one.number in self.waiting and one.cleared and self._head(one):
            out += self._pass(one)
            if not one.key or not (line := self.lines.get(one.key)):
                break
            one = line[0]
        return out

    def _refuse(self, now: float, one: WaitingRequest, wait: float) -> list[AdmissionDecision]:
        self.waiting.pop(one.number, None)
        self._unline(one)
        self.refused += 1
        return [AdmissionDecision(one.number, False, wait)]

    def _hopeless(self, now: float) -> list[AdmissionDecision]:
        """Of those that wait, whoever would come too late even if it were next.

        What is ahead of it is not held against it: the module takes the smallest first, and others leave. By the order
        here more than twice as many were refused, and fewer served.
        """
        out: list[AdmissionDecision] = []
        ahead = self.work
        for one in sorted(self.waiting.values(), key=lambda w: w.rank):
            if self._until(now, one.cost) > one.ends:
                out += self._refuse(now, one, self.wait_ms(now, self._until(now, ahead + one.cost)))
            else:
                ahead += one.cost
        return out

    # The curve.

    def rate(self, at: float) -> float:
        """Return this coordinator's share of the work in ms that the engines do in a ms."""
        return self.share * bears(self.engines, self.curve, at)

    def _queued(self) -> float:
        return self.work + sum(w.cost for w in self.waiting.values())

    def _until(self, now: float, work: float) -> float:
        """When so much work will be done, from the beginning of service on."""
        begins = now if self.begun or not math.isfinite(self.expected) else max(now, self.expected)
        of, ahead = (self.engines, self.share), self._ahead
        if of != self._ahead_of or not 0.0 <= begins - self._from < KEPT_MS:  # else as it was: it is long to tell
            self._ahead_of, self._from, total, ahead = of, math.floor(begins / STEP_MS) * STEP_MS, 0.0, []
            for step in range(STEPS):
                total += STEP_MS * self.rate(self._from + (step + 0.5) * STEP_MS)
                ahead.append(total)
            self._ahead = ahead
        past, part = divmod(begins - self._from, STEP_MS)
        before = ahead[int(past) - 1] if past else 0.0
        work += before + part / STEP_MS * (ahead[int(past)] - before)
        place = bisect_left(ahead, work)
        if place >= STEPS:
            return math.inf if ahead[-1] <= 0 else self._from + STEPS * STEP_MS * work / ahead[-1]
        before = ahead[place - 1] if place else 0.0
        return self._from + (place + (work - before) / max(1e-9, ahead[place] - before)) * STEP_MS

    def wait_ms(self, now: float, done: float) -> float:
        """Return a Retry-After wait in ms until `done`, with jitter, so that clients refused together do not come back
        together; 0 if none is told.
        """
        expected = min(self.max_retry_ms / (1.0 + SPREAD), max(LEAST_MS, done - now))
        return min(self.max_retry_ms, expected * self.random.uniform(1.0 - SPREAD, 1.0 + SPREAD))

    def warm(self, at: float) -> float:
        """Return the part of the engines' full capacity that they can bear at the time `at`; 0 without engines."""
        whole = sum(e.cores for e in self.engines)
        return bears(self.engines, self.curve, at) / whole if whole else 0.0

    def due(self, now: float) -> float:
        """Return when to look again although nothing has changed; inf if the gate is open or nothing waits."""
        return math.inf if self.open or not self.waiting else now + RETOLD_MS

    def release(self) -> list[AdmissionDecision]:
        """Open the gate; return the decisions on all that wait and need no ticket any more."""
        self.open = self.begun = self.loads = True
        return self.look(self._looked)
