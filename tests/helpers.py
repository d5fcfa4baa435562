"""Test harness that feeds events to a controller and checks every action against the rules of admission."""

from __future__ import annotations

from frostspindle import policy
from frostspindle.policy import (
    AttemptOutcome,
    ClassSettings,
    Controller,
    EndpointListKind,
    EngineEntry,
    Idempotency,
    Settings,
)

NEVER_RAN = {AttemptOutcome.CONNECT_FAILED, AttemptOutcome.OVERLOADED, AttemptOutcome.NOT_SENT}

READ = ClassSettings(
    latency_objective_ms=1000, deadline_ms=5000, objective_stretch=1.5, idempotency=Idempotency.IDEMPOTENT
)
HEAVY = ClassSettings(
    latency_objective_ms=2000,
    deadline_ms=20000,
    objective_stretch=2.5,
    late_value_ratio=0.4,
    priority_weight=6,
    threads=2,
    idempotency=Idempotency.IDEMPOTENT,
)
LOAD = ClassSettings(
    latency_objective_ms=3000,
    deadline_ms=25000,
    late_value_ratio=0.5,
    priority_weight=3,
    threads=2,
    is_load=True,
    idempotency=Idempotency.NON_IDEMPOTENT,
    in_order=True,
)
KEYED = ClassSettings(
    latency_objective_ms=3000,
    deadline_ms=25000,
    threads=2,
    idempotency=Idempotency.WITH_KEY,
    idempotency_window_ms=5000,
)


def settings(*classes: ClassSettings, **changes: object) -> Settings:
    base = {
        "classes": classes or (READ, HEAVY, LOAD, KEYED),
        "kind_cores": (8.0, 8.0),
        "max_grant_ratio": 0.4,
        "kind_memory_mb": (16384.0, 16384.0),
        "grants": True,
        "priorities": True,
        "may_cancel": True,
        "max_attempts": 6,
        "drain_grace_ms": 1000.0,
        "slow_start_capacity": 0.33,
        "slow_start_duration_ms": 15000.0,
        "slow_start_overload_ratio": 3.0,
        "slow_start_window_ms": 1000.0,
        "key_order_pause_ms": 500.0,
    }
    return Settings(**{**base, **changes})


def entry(engine: int, health: int = 1, since: float = 0.0, kind: int = 0, zone: int = 0, cell: int = 0):
    return EngineEntry(engine, zone, kind, cell, health, 1.0, since)


class ControllerHarness:
    """Feeds events to a controller, tracks the open attempts and checks the returned actions."""

    def __init__(self, settings: Settings, engines: int = 4, seed: int = 1, now: float = 1000.0) -> None:
        self.settings = settings
        self.now = now
        self.controller = Controller(settings, seed)
        self.sent: list[tuple[int, int, int]] = []  # request, attempt, engine
        self.open: dict[tuple[int, int], int] = {}
        self.requests: dict[int, policy.RequestArrived] = {}
        self.taken_at: dict[int, float] = {}
        self.attempts: dict[int, list[dict]] = {}
        self.answers: dict[int, str] = {}
        self.answered_at: dict[int, float] = {}
        self.stopped: dict[int, float] = {}
        self.suspended: set[int] = set()  # requests whose clients are disconnected for now
        self.priority_updates: dict[int, policy.UpdatePriority] = {}
        self.cancels: list[tuple[int, int]] = []
        self.logs: list[str] = []
        self.timers: list[float] = []
        self.extras: list[float] = []
        self.list(*(entry(i + 1) for i in range(engines)), list_kind=EndpointListKind.CACHED)

    def feed(self, event: policy.Event) -> list[policy.Action]:
        actions = self.controller.handle(self.now, event)
        for action in actions:
            self.check(action)
        return actions

    def check(self, a: policy.Action) -> None:
        if isinstance(a, policy.StartAttempt):
            self.check_send(a)
        elif isinstance(a, (policy.RejectRequest, policy.FailRequest)):
            assert a.request in self.requests and a.request not in self.answers, "a request gets one final answer"
            if isinstance(a, policy.RejectRequest):
                cls = self.settings.classes[self.requests[a.request].cls]
                ran = [t for t in self.attempts[a.request] if t["verdict"] not in NEVER_RAN]
                assert (
                    cls.idempotency == Idempotency.IDEMPOTENT
                    or not ran
                    or (cls.idempotency == Idempotency.WITH_KEY and cls.dedup_scope == "all")
                ), "a refused request must not have run"
            self.answer(a.request, type(a).__name__)
        elif isinstance(a, policy.CancelAttempt):
            assert a.attempt < len(self.attempts[a.request]), "a cancelled attempt must exist"
            self.cancels.append((a.request, a.attempt))
        elif isinstance(a, policy.UpdatePriority):
            assert 0 <= a.priority <= 3 and a.memory_mb >= 0
            self.priority_updates[a.request] = a
        elif isinstance(a, policy.SetTimer):
            self.timers.append(a.due_at_ms)
        elif isinstance(a, policy.WriteLog):
            self.logs.append(a.text)

    def check_send(self, a: policy.StartAttempt) -> None:
        request = self.requests[a.request]
        cls = self.settings.classes[request.cls]
        earlier = self.attempts[a.request]
        assert a.request not in self.answers, "no attempt starts after the answer"
        assert a.request not in self.suspended, "no attempt starts while the client is disconnected"
        all_ended = all(t["verdict"] is not None for t in earlier)
        assert all_ended or self.settings.hedged_requests, "no concurrent attempts without hedging"
        assert len(earlier) < self.settings.max_attempts
        ran = [t for t in earlier if t["verdict"] not in NEVER_RAN]
        if cls.idempotency == Idempotency.NON_IDEMPOTENT:
            assert not ran, "a non-idempotent request is not retried"
        if cls.idempotency == Idempotency.WITH_KEY and ran:
            assert self.now - min(t["at"] for t in ran) <= cls.idempotency_window_ms, "keyed retry after its window"
            if cls.dedup_scope != "all":
                scope = "zone" if cls.dedup_scope == "zone" else "cell"
                own_group = getattr(self.entries[a.engine], scope)
                assert all(getattr(self.entries[t["engine"]], scope) == own_group for t in ran), (
                    "keyed retry outside its scope"
                )
        if a.engine in self.stopped:
            assert self.now - self.stopped[a.engine] <= self.settings.drain_grace_ms, "attempt after drain grace"
        place = self.entries[a.engine]
        assert cls.only_kinds is None or place.kind in cls.only_kinds, "placement by kind"
        assert cls.only_zones is None or place.zone in cls.only_zones, "placement by zone"
        if cls.in_order and request.key:
            self.check_order(a.request, request.key)
        if earlier and self.settings.retry_budget_window_ms:
            self.extras.append(self.now)
            window_start = self.now - self.settings.retry_budget_window_ms
            taken = sum(at > window_start for at in self.taken_at.values())
            count = sum(at >= window_start for at in self.extras)
            assert count <= self.settings.retry_budget_min + self.settings.retry_budget_ratio * taken, "retry budget"
        self.open[(a.request, len(earlier))] = a.engine
        self.sent.append((a.request, len(earlier), a.engine))
        earlier.append({"engine": a.engine, "at": self.now, "verdict": None})

    def check_order(self, request: int, key: int) -> None:
        for other, r in self.requests.items():
            if other == request:
                return
            if r.key == key and self.settings.classes[r.cls].in_order:
                assert other in self.answers, "order: an earlier request is not answered"
                for t in self.attempts[other]:
                    assert t["verdict"] is not None, "order: an earlier attempt is still open"
                    if t["verdict"] in (AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED):
                        assert self.now >= t["ended"] + self.settings.key_order_pause_ms, (
                            "order: key pause has not passed"
                        )

    def answer(self, request: int, outcome: str) -> None:
        assert self.now <= self.taken_at[request] + self.requests[request].left_ms + 20.0, "answered in time"
        self.answers[request], self.answered_at[request] = outcome, self.now

    def list(self, *entries: EngineEntry, list_kind: int = EndpointListKind.DELTA) -> None:
        known = {} if list_kind != EndpointListKind.DELTA else dict(getattr(self, "entries", {}))
        known.update({e.engine: e for e in entries})
        for engine in set(getattr(self, "entries", {})) | set(known):
            if engine not in known or known[engine].health != 1:
                self.stopped.setdefault(engine, self.now)
            else:
                self.stopped.pop(engine, None)
        self.entries = {**getattr(self, "entries", {}), **known}
        self.feed(policy.EndpointListUpdated(list_kind, 1, entries))

    def request(
        self,
        number: int,
        cls: int = 0,
        cost: float = 200.0,
        key: int = 0,
        left: float | None = None,
        memory: float = 100.0,
        group: int = 0,
        tenant: int = 0,
    ) -> None:
        left = self.settings.classes[cls].deadline_ms if left is None else left
        event = policy.RequestArrived(number, cls, tenant, key, left, cost, memory, float(group))
        self.requests[number], self.taken_at[number], self.attempts[number] = event, self.now, []
        self.feed(event)

    def suspend(self, request: int) -> None:
        self.suspended.add(request)
        self.feed(policy.RequestSuspended(request))

    def resume(self, request: int) -> None:
        self.suspended.discard(request)
        self.feed(policy.RequestResumed(request))

    def end(self, request: int, verdict: int = AttemptOutcome.OK, cost: float = 0.0, memory: float = 0.0) -> None:
        number = len(self.attempts[request]) - 1
        engine = self.open.pop((request, number))
        attempt = self.attempts[request][number]
        attempt["verdict"], attempt["ended"] = verdict, self.now
        if verdict == AttemptOutcome.OK and request not in self.answers:
            self.answer(request, "Served")
        last = request in self.answers
        elapsed = self.now - attempt["at"]
        self.feed(policy.AttemptEnded(request, number, engine, verdict, elapsed, last, cost, memory, ()))

    def wait(self, ms: float, step: float = 5.0) -> None:
        """Advance the time; due timers fire and cancelled attempts end."""
        end = self.now + ms
        while self.now < end:
            self.now = min(end, self.now + step)
            due = [t for t in self.timers if t <= self.now]
            self.timers = [t for t in self.timers if t > self.now]
            for _ in due:
                self.feed(policy.TimerFired(0))
            self.settle()

    def settle(self) -> None:
        while self.cancels:
            request, number = self.cancels.pop()
            if (request, number) in self.open and number == len(self.attempts[request]) - 1:
                self.end(request, AttemptOutcome.CANCELLED)

    def warm_up(self, count: int = 60, start: int = 900000) -> None:
        """Run enough requests with small and large estimates for the controller's cutoffs."""
        for i in range(count):
            self.request(start + i, 0, 100.0 if i % 2 else 2000.0)
            self.wait(20)
            for request, number in list(self.open):
                if number == len(self.attempts[request]) - 1:
                    self.end(request)
