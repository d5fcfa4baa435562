"""The controller: every decision on requests and engines. Its events and actions are in `events` and `actions`.

One Controller serves one dispatcher. The ordinary path is SRPT: a priority band from estimated remaining
work, held requests released smallest first, a latency-led bound of threads for each engine. Times are in ms.
"""

from __future__ import annotations

import math
import random
from collections import deque

from frostspindle.policy import actions, events
from frostspindle.policy.deadlines import Agenda, Lapses, Rests
from frostspindle.policy.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdated,
    Health,
    HealthCheckCompleted,
    KeyOrderReached,
    ProgressKind,
    ProgressReported,
    RequestArrived,
    ResponseStarted,
    TimerFired,
    WorkerLoadReported,
)
from frostspindle.policy.indexes import Ranks, Standing, Tally, thinned
from frostspindle.policy.queues import Held, Least
from frostspindle.policy.request_state import ENGINE_FIELDS, Attempt, Job
from frostspindle.policy.settings import ClassSettings, Idempotency, Settings
from frostspindle.policy.statistics import Buckets, Learned, Span, Times, Window

TICK_MS = 20.0  # own timer: deadlines and resting keys
LOOK_MS, SURVEY_MS = 100.0, 500.0  # how often requests and engines are looked over, and the fleet
MARGIN_MS = 40.0  # a request is ended at least this long before its client gives up
WINDOW, ENOUGH = 400, 12  # recent estimates behind the cutoffs; before ENOUGH are seen: priority 1
SMALL, LARGE = 0.5, 0.9925  # quantiles of the outer cutoffs (the paper's half, and 0.5 to 1 percent)
THREADS_A_CORE = 2.0  # the bound starts here, times our share of the coordinators
MOST_THREADS_A_CORE = 3.0
GROW_BELOW, CUT_ABOVE = 1.8, 2.8  # recent latency over the best: widen below, cut above
GROW_BY = 0.1  # share of an answered query by which all coordinators together widen the bound
CUT_BY, CUT_EVERY_MS, KEEP_OF_START = 0.85, 500.0, 0.75
MAY_STILL_RUN = (AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)
TRIP_AT = 0.5  # share of recent failures at which an engine is suspected
ASK_AGAIN_MS = 500.0  # a failed subscription to the engine list is tried again after this
SILENT_MS = 1500.0  # least silence that counts while answers are overdue; for a single one: twice that
RETEST_MS, RETEST_MOST_MS = 1000.0, 8000.0  # half-open tests: first wait, longest wait
FLAP_MS = 5000.0  # suspected again so soon after a passed test, the next test waits twice as long
BAD_PLAN = 6.0  # an attempt this far over its expected time is taken for a bad plan
MEMORY_FULL = 0.95  # part of an engine's memory that grants may fill
COLD_SAFETY, ESTIMATE_SAFETY, FEW = (0.75, 0.5), 1.3, 2.2  # of cold budgets, by shares, turns; by few at once
STALL_MS = 350.0  # no event for this long, for all the own timer: the dispatcher itself stood still
WIDE = 3.0  # the bound over all engines starts at this many of our shares
ROOMY = 0.5  # up to this part of memory in use, as reported, that bound is wider, WIDE when all is free
REPORT_LASTS_MS = 8000.0  # a report's worth falls to a third in this time
SAMPLE, MANY = 12, 48  # engines looked at for one query; so many cold ones, and standing connections, beside
PRICED = 10.0  # so much is a price in time: a tenth longer costs a query about a hundredth of its worth
UNSURE = 0.7  # how far off, as a log, a class's memory estimates may lie before any answer
ABSENT_MS = 30_000.0  # an engine gone for so long, with nothing out, is forgotten: new ids come for ever
UNHEARD, MUTE_MS = 2.5, 375.0  # periods without a note, or past one without any sign: it does not run
MISSES = 4  # held requests that may find no place before a release round stops


class Sizes:
    """Estimated cost and memory of requests, and the cutoffs between bands."""

    def __init__(self, classes: tuple[ClassSettings, ...]) -> None:
        self.costs, self.memories = [[Learned(0.05, 0.8, 40) for _ in classes] for _ in range(2)]
        self.mean_cost = [c.latency_objective_ms * c.threads / 2 for c in classes]
        self.mean_memory, self.counts = [0.0] * len(classes), [0] * len(classes)
        self.recent, self.fresh = Window(WINDOW), 0
        self.cutoffs: tuple[float, float, float] | None = None

    def cost(self, cls: int, hint: float) -> float:
        return max(1.0, hint * math.exp(self.costs[cls].mid) if hint > 0 else self.mean_cost[cls])

    def memory(self, cls: int, hint: float) -> float:
        return hint * math.exp(self.memories[cls].mid) if hint > 0 else self.mean_memory[cls]

    def usual(self, cls: int, cost: float) -> None:
        """Keep the usual cost of a class, from estimates or true costs alike."""
        self.counts[cls] += 1
        cost = min(cost, 20.0 * self.mean_cost[cls])  # an absurd figure must not move what is usual
        self.mean_cost[cls] += (cost - self.mean_cost[cls]) / min(self.counts[cls], 200)

    def learn(self, job: Job, cost: float, memory: float) -> None:
        if job.hint > 0:
            self.costs[job.cls].add(cost / job.hint)
        else:
            self.usual(job.cls, cost)
        if memory > 0:
            if job.memory_hint > 0:
                self.memories[job.cls].add(memory / job.memory_hint)
            self.mean_memory[job.cls] = 0.95 * (self.mean_memory[job.cls] or memory) + 0.05 * memory

    def seen(self, cost: float) -> None:
        self.recent.add(cost)
        self.fresh += 1
        if len(self.recent) >= ENOUGH and (self.fresh >= 25 or self.cutoffs is None):
            self.fresh = 0
            ranked = self.recent.ranked
            low, high = ranked[int(SMALL * len(ranked))], ranked[int(LARGE * (len(ranked) - 1))]
            self.cutoffs = (low, math.sqrt(low * max(low, high)), max(low, high))

    def band(self, remaining: float) -> int:
        return 1 if self.cutoffs is None else sum(remaining <= cutoff for cutoff in self.cutoffs)


class Engine:
    """What this dispatcher knows and infers of one engine."""

    __slots__ = ENGINE_FIELDS

    def __init__(self, entry: events.EngineEntry, settings: Settings, standing: Standing) -> None:
        self.entry, self.id, self.settings, self.standing = entry, entry.engine, settings, standing
        kind = entry.kind if entry.kind < len(settings.kind_cores) else 0
        self.cores = settings.kind_cores[kind]
        self.memory = settings.kind_memory_mb[kind] if kind < len(settings.kind_memory_mb) else 0.0
        self.share = THREADS_A_CORE * self.cores / settings.coordinators
        self.ready, self.told_at, self.cold_sends = entry.health == Health.READY, -math.inf, Span()
        self.attempts, self.threads, self.granted = dict[tuple[int, int], Attempt](), 0, 0.0  # of ours
        # Of the other workers of this coordinator: what they have out here; our part of the cold budget.
        self.peers, self.peers_memory, self.part, self.hearsay = 0, 0.0, float(settings.workers == 1), False
        self.denied = 0.0  # work that our part of the cold budget had no room for, lately
        self.reset(settings)

    def reset(self, settings: Settings) -> None:
        self.bound, self.slow, self.fails, self.cut_at = self.share, 1.0, 0.0, 0.0
        self.suspect, self.retest_at, self.backoff, self.cleared_at = False, 0.0, RETEST_MS, -math.inf
        self.sign_at, self.gap, self.probed_at = -math.inf, 200.0, -math.inf
        self.warm, self.look_at = deque[int](maxlen=4), -math.inf  # before that there is nothing to find here
        self.keeps = dict[int, float]()  # by class, of which it runs none: until when it gets none
        self.spares = self.standing.idle(self, 0.85 * settings.connection_idle_ms, settings.streams_per_connection)
        self.report_at, self.others, self.others_memory = -math.inf, 0.0, 0.0  # queries, memory granted

    def cold(self, now: float) -> bool:
        return self.entry.since_ms > 0 and now - self.entry.since_ms < self.settings.slow_start_duration_ms

    def sign(self, now: float) -> None:
        if self.attempts and self.sign_at > 0:
            self.gap += 0.2 * (min(now - self.sign_at, 5000.0) - self.gap)
        self.sign_at = now


class Controller:
    """One dispatcher's decisions: the same settings, seed and events give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        if not isinstance(settings, Settings):
            raise TypeError("settings must be a frostspindle.policy.Settings")
        self.s, self.random, self.sizes = settings, random.Random(seed), Sizes(settings.classes)
        self.engines, self.jobs, self.out = dict[int, Engine](), dict[int, Job](), list[actions.Action]()
        self.held, self.lines = Held(), dict[int, deque[Job]]()  # lines: by key
        self.lapses, self.least = Lapses(len(settings.classes)), Least()  # held: past hope, of least worth
        self.rest_until, self.deadlines = Rests(), Agenda()  # by key, by request
        self.tokens = Buckets(q / settings.coordinators for q in settings.tenant_quotas_per_s)
        self.best, self.answers = [1.0] * len(settings.classes), [0] * len(settings.classes)  # by class
        most = max(c.threads for c in settings.classes)  # if no share holds one, their sum is the bound
        self.sparse = THREADS_A_CORE * max(settings.kind_cores) / settings.coordinators < most
        self.threads, self.shares, self.most_open = 0, 0.0, math.inf  # most_open: as the sockets allow
        self.pages = settings.memory_shortage_mode == "page"  # too much let in collapses all; else it waits
        self.widen, self.pooled, self.cut_at = 1.0 if self.pages else WIDE, 1.0, -math.inf
        # Means of what engines report; the part of a grant that is used; the median engine's recent slowdown.
        self.pool, self.used, self.middle = [0.0, 0.0], 1.0, 1.0
        self.usable, self.colds, self.turns = [list[Engine]() for _ in range(3)]  # turns: cold and ours now
        self.ranks, self.standing = Ranks(), Standing(settings.handshake_penalty > 0)
        self.taken, self.extras, self.loads, self.waiters = Times(), Times(), Tally(), Tally()  # by group
        self.looked_at = self.surveyed_at = self.woke_at = -math.inf
        self.ask_at = self.seen_at = self.began = math.inf
        self.sees_memory = "x0" in settings.load_report_columns
        self.priority_weight = min(c.priority_weight for c in settings.classes)
        self.handlers = {
            EndpointListUpdated: self._on_endpoint_list,
            RequestArrived: self._on_request,
            ResponseStarted: self._on_response_started,
            ProgressReported: self._on_progress,
            AttemptEnded: self._on_attempt_ended,
            ClientDisconnected: self._on_client_disconnected,
            KeyOrderReached: self._on_key_order_reached,
            TimerFired: self._on_timer,
            HealthCheckCompleted: self._on_health_check,
            WorkerLoadReported: self._on_worker_load,
        }

    def handle(self, now_ms: float, event: events.Event) -> list[actions.Action]:
        self.out = []
        if now_ms - self.seen_at > STALL_MS:  # our own stall is no silence or slowness of engines
            self.woke_at, self.looked_at = now_ms, -math.inf
            self.out.append(actions.SetTimer(1, now_ms + TICK_MS))
            for attempt in [a for e in self.engines.values() for a in e.attempts.values()]:
                attempt.waited += now_ms - self.seen_at
                attempt.engine.sign_at = now_ms
        elif math.isinf(self.seen_at):
            self.began = now_ms
            self.out.append(actions.SetTimer(0, now_ms + TICK_MS))  # the first of our own turns
        self.seen_at = now_ms
        self.handlers[type(event)](now_ms, event)
        if now_ms >= self.ask_at:
            self.ask_at = math.inf
            self.out.append(actions.SubscribeEndpoints(True))
        return self.out

    def give_up(self, now_ms: float) -> list[actions.Action]:
        """The process ends: so does every request, as its class allows."""
        self.out = []
        for job in list(self.jobs.values()):
            self._exit(job, now_ms)
        return self.out

    # Events.

    def _on_endpoint_list(self, now: float, event: EndpointListUpdated) -> None:
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            for missing in self.engines.keys() - {entry.engine for entry in event.entries}:
                self.engines[missing].ready = False
        for entry in event.entries:
            if (engine := self.engines.get(entry.engine)) is None:
                engine = self.engines[entry.engine] = Engine(entry, self.s, self.standing)
            elif entry.since_ms > engine.entry.since_ms:
                engine.reset(engine.settings)
            engine.entry, engine.ready, engine.told_at = entry, entry.health == Health.READY, now
        self._survey(now)
        if self.s.subscribe_endpoints and event.kind in (EndpointListKind.CACHED, EndpointListKind.FAILED):
            self.ask_at = now + (ASK_AGAIN_MS if event.kind == EndpointListKind.FAILED else 0.0)
        self._release(now)

    def _on_request(self, now: float, event: RequestArrived) -> None:
        if event.request in self.jobs:
            return
        job = self.jobs[event.request] = Job(event, self.s.classes[event.cls], now)
        self.taken.since(now - self.s.retry_budget_window_ms).append(now)
        self.priority_weight += 0.02 * (job.cs.priority_weight - self.priority_weight)
        if job.hint > 0:
            self.sizes.usual(job.cls, self.sizes.cost(job.cls, job.hint))
        self._size(job)
        self.sizes.seen(job.cost)
        job.over = event.over or self._over_share(job, now)
        self.deadlines.add(job.deadline - MARGIN_MS, job.request, self.jobs)
        if job.deadline - MARGIN_MS < now + LOOK_MS:
            self.out.append(actions.SetTimer(1, max(now, job.deadline - MARGIN_MS)))  # before the next own turn
        if job.cs.in_order and job.key:
            self.lines.setdefault(job.key, deque()).append(job)
            self._next_in_line(job.key, now)
        else:
            self._hold(job, now)
        self._release(now)
        self._shed(now)

    def _on_response_started(self, now: float, event: ResponseStarted) -> None:
        if (job := self.jobs.get(event.request)) and job.cs.stream:
            job.streaming, job.deadline = True, math.inf

    def _on_progress(self, now: float, event: ProgressReported) -> None:
        engine = self.engines.get(event.engine)
        attempt = engine.attempts.get((event.request, event.attempt)) if engine else None
        if engine is None or attempt is None:
            return
        engine.sign(now)
        job = attempt.job
        if attempt.in_line:  # no notes come from there: it left the line a period ago at most
            attempt.waited += max(0.0, now - attempt.seen - self.s.progress_interval_ms)
        attempt.in_line = event.kind == ProgressKind.WAITS and event.value == 1
        if event.kind == ProgressKind.WAITS:
            attempt.waited += now - attempt.seen
        elif event.kind == ProgressKind.PROGRESS and 0.0 < event.value <= 1.0 and not job.finished:
            ran = max(1.0, now - attempt.sent - attempt.waited)
            expected = attempt.cost / job.cs.threads * self._pace(engine, job.cls)
            if ran / event.value > BAD_PLAN * expected and now - attempt.sent > 0.5 * expected:
                self._bad_plan(job, attempt, now)
            else:
                job.done = max(job.done, event.value)
                self._set_terms(job)
        attempt.seen = now

    def _on_attempt_ended(self, now: float, event: AttemptEnded) -> None:
        engine = self.engines.get(event.engine)
        attempt = engine.attempts.pop((event.request, event.attempt), None) if engine else None
        if engine is None or attempt is None:
            return
        job = attempt.job
        attempt.outcome = event.outcome
        self._book(attempt, -1)
        if event.outcome not in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET, AttemptOutcome.NOT_SENT):
            engine.spares.free(now)
        if job.key and job.cs.in_order and event.outcome in MAY_STILL_RUN:  # it may run on: the key rests
            self.rest_until.rest(job.key, now + self.s.key_order_pause_ms)
        self._judge(engine, attempt, event, now)
        if event.last or event.outcome == AttemptOutcome.OK:
            self._close(job, now)
        elif not job.finished:
            self._again(job, engine, event.outcome, now)
        self._next_in_line(job.key, now)
        self._release(now)

    def _on_client_disconnected(self, now: float, event: ClientDisconnected) -> None:
        if job := self.jobs.get(event.request):
            self._close(job, now)
            self._release(now)

    def _on_key_order_reached(self, now: float, event: KeyOrderReached) -> None:
        if job := self.jobs.get(event.request):
            job.turn = True
            self._next_in_line(job.key, now)
        self._release(now)

    def _on_health_check(self, now: float, event: HealthCheckCompleted) -> None:
        if engine := self.engines.get(event.engine):
            engine.probed_at = now
            if event.outcome == AttemptOutcome.OK:
                engine.sign(now)
            elif self._quiet(engine, now) and not engine.suspect:
                self._suspect(engine, now, "is silent and fails its probe")

    def _on_worker_load(self, now: float, event: WorkerLoadReported) -> None:
        """The other workers' load steers our choice, their suspicion is ours, their newest report too."""
        for word in event.entries:
            if (engine := self.engines.get(word.engine)) is None:
                continue
            engine.peers, engine.peers_memory, engine.part = word.threads, word.memory_mb, word.part
            if word.report and now - word.report_age_ms > engine.report_at:
                self._hear(engine, word.report, now - word.report_age_ms)
            if word.suspect and not engine.suspect and not engine.hearsay:
                self._suspect(engine, now, "is suspected by another worker")
                engine.hearsay = engine.suspect
            elif engine.hearsay and not word.suspect:  # one worker's passed test speaks for all
                engine.suspect, engine.hearsay, engine.fails = False, False, 0.0
        self._release(now)

    def cold_need(self, now: float) -> dict[int, tuple[float, float]]:
        """Of each cold engine: the part of the budget spent in the window, and what was lately wished for."""
        needs = {}
        for e in [e for e in self.engines.values() if e.ready and e.cold(now)]:
            e.denied *= 0.9 if e.denied > 1.0 else 0.0
            budget = self.cold_budget(e, now) * self.s.workers / self.s.coordinators or 1.0
            needs[e.id] = e.cold_sends.total(now - self.s.slow_start_window_ms) / budget, e.denied / budget
        return needs

    def _on_timer(self, now: float, event: TimerFired) -> None:
        for request in self.deadlines.due(now):
            if (job := self.jobs.get(request)) and not job.streaming:
                self._exit(job, now)
        for key in (rested := self.rest_until.due(now)):
            self._next_in_line(key, now)
        if look := now - self.looked_at >= LOOK_MS and now > self.woke_at:
            self._look_over(now)
            self._shed(now)
        if look or rested:
            self._release(now)
        if event.token == 0:
            wake = min(now + LOOK_MS, self.deadlines.first, self.rest_until.first)
            self.out.append(actions.SetTimer(0, max(now + TICK_MS, wake)))

    # Requests: sizes, holding, order, ending.

    def _size(self, job: Job) -> None:
        job.cost, job.memory = self.sizes.cost(job.cls, job.hint), self.sizes.memory(job.cls, job.memory_hint)
        aim = job.cs.latency_objective_ms + job.cs.objective_stretch * job.cost / job.cs.threads
        job.objective_at_ms = min(job.deadline, job.arrived + aim)

    def _over_share(self, job: Job, now: float) -> bool:
        """Token bucket of our part of each tenant's share; traffic beyond it goes last."""
        quotas = self.s.tenant_quotas_per_s
        return (
            job.tenant < len(quotas)
            and quotas[job.tenant] > 0
            and not self.tokens.take(job.tenant, now, quotas, self.s.coordinators, 2.0)
        )  # two at least, for a small part

    def _run_ms(self, job: Job) -> float:
        return job.cost / job.cs.threads * max(1.0, self.best[job.cls] * self.middle)

    def _hold(self, job: Job, now: float) -> None:
        """Held requests leave smallest remaining work first; those over a tenant's share after the others."""
        job.held, job.slot = True, (int(job.over), job.cost * (1.0 - job.done), job.request)
        self.held.add((*job.slot, job), job.lane, job.cost)
        limit = job.deadline - MARGIN_MS if job.cs.late_value_ratio > 0 else job.objective_at_ms
        self.lapses.add(job.request, job.cls, job.cost / job.cs.threads, limit)
        if self.least:
            self.least.add(self._worth(job, now), job.slot, job)

    def _unhold(self, job: Job) -> None:
        job.held = False
        self.held.drop(job.slot, job.lane, job.cost)
        self.lapses.discard(job.request)

    def _next_in_line(self, key: int, now: float) -> None:
        """Order: only the head of a key's line may be held or out, and not while the key rests."""
        line = self.lines.get(key, ())
        while line and line[0].finished and not line[0].out:
            line.popleft()
        if not (head := line[0] if line else None):
            self.lines.pop(key, None)
        elif head.turn and self.rest_until.get(key, 0.0) <= now and not (head.held or head.attempts or head.finished):
            self._hold(head, now)

    def _close(self, job: Job, now: float) -> None:
        if job.finished:
            return
        job.finished = True
        if job.held:
            self._unhold(job)
        del self.jobs[job.request]
        self.out.extend(actions.CancelAttempt(job.request, a.number) for a in job.out if self.s.may_cancel)
        self._next_in_line(job.key, now)

    def _exit(self, job: Job, now: float) -> None:
        """The one place that ends a request: a refusal only where a retry can do no harm, else a failure."""
        harmless = (
            job.cs.idempotency == Idempotency.IDEMPOTENT
            or not job.may_have_run()
            or (job.cs.idempotency == Idempotency.WITH_KEY and job.cs.dedup_scope == "all")
        )
        # The client is told to come back when what is held now has been worked off.
        wait = min(self.s.max_retry_after_ms, self.held.total / max(1.0, self.shares)) * self.s.retry_after
        self.out.append(actions.RejectRequest(job.request, wait) if harmless else actions.FailRequest(job.request))
        self._close(job, now)

    def _shed(self, now: float) -> None:
        """Too many open: of those held, what has the least worth still to be had for its work is refused."""
        while self.held and len(self.jobs) > self.most_open:
            if not self.least:  # ranked anew at each survey: what is late by then is worth less
                self.least = Least((self._worth(j, now), j.slot, j) for *_, j in self.held)
            slot, job = self.least.pop()
            if job.held and job.slot is slot:
                self._exit(job, now)

    def _worth(self, job: Job, now: float) -> float:
        late = now + self._run_ms(job) > job.objective_at_ms
        return job.cs.priority_weight / job.cost * (job.cs.late_value_ratio if late else 1.0)

    def _again(self, job: Job, engine: Engine, outcome: int, now: float) -> None:
        if job.out or job.held:
            return
        if outcome != AttemptOutcome.NOT_SENT:  # one that sheds, as while it shuts down, sheds the next send too
            job.avoid.add(engine.id)
        job.done = 0.0
        self._size(job)
        time_left = job.deadline - now - MARGIN_MS > self._run_ms(job)
        if len(job.attempts) >= self.s.max_attempts or not time_left or not self._may_repeat(job, None, now):
            self._exit(job, now)
        else:
            self._hold(job, now)

    # The gate.

    def _book(self, attempt: Attempt, sign: int) -> None:
        attempt.engine.threads += sign * attempt.job.cs.threads
        attempt.engine.granted += sign * attempt.grant
        self.threads += sign * attempt.job.cs.threads
        self.loads.add(attempt.job.group, attempt.engine.id, sign * attempt.job.cs.is_load)
        self.waiters.add(attempt.job.group, attempt.engine.id, sign * attempt.job.cs.blocked_by_loads)

    def _room(self, limits: float = 1.0) -> float:
        """Threads left of the widened sum of our shares of all engines; one query may always be out."""
        free = max(0.0, 1.0 - self.pool[1] * self.used / ROOMY) if self.pages and self.sees_memory else 0.0
        limit = limits * (1.0 + (WIDE - 1.0) * free) * self.widen * self.shares
        return limit - self.threads if self.sparse and self.threads else math.inf

    def _fits(self, job: Job) -> bool:
        """What is small passes the bound over all engines by up to as much again."""
        small = self.sparse and self.sizes.band(job.cost * (1.0 - job.done)) >= 2
        return self._room(2.0 if small else 1.0) >= job.cs.threads

    def _may_repeat(self, job: Job, engine: Engine | None, now: float) -> bool:
        """Effects: what may have run is sent again only as its class allows."""
        ran = job.may_have_run()
        if not ran or job.cs.idempotency == Idempotency.IDEMPOTENT:
            return True
        if (
            job.cs.idempotency == Idempotency.NON_IDEMPOTENT
            or now - min(a.sent for a in ran) > job.cs.idempotency_window_ms - MARGIN_MS
        ):
            return False
        group = {"all": 0, "zone": 1}.get(job.cs.dedup_scope, 3)  # field of the entry; all: none
        return engine is None or not group or all(a.engine.entry[group] == engine.entry[group] for a in ran)

    def _retry_allowed(self, now: float) -> bool:
        since = now - self.s.retry_budget_window_ms
        return self.s.retry_budget_window_ms <= 0 or len(self.extras.since(since)) + 1 <= (
            self.s.retry_budget_min + self.s.retry_budget_ratio * len(self.taken.since(since))
        )

    def _cold_allowed(self, job: Job, engine: Engine, now: float) -> bool:
        usual, left = self.cold_work(job), self._cold_left(engine, now)
        if left == -math.inf or (job.attempts and self.sparse and self.s.coordinators // self.s.workers > 1):
            return False
        engine.denied += usual if usual > left else 0.0
        return usual <= left

    def _cold_left(self, engine: Engine, now: float) -> float:
        """Of our part of a cold engine's budget; under one query: turns of few, or of one; -inf: not ours."""
        budget, n = self.cold_budget(engine, now), self.s.coordinators // self.s.workers  # workers have leases
        told, since = 1.0, now - self.s.slow_start_window_ms
        if self.sparse and n > 1:  # by what all know alike, so that estimates shift the last of the few only
            slot, few = int(now / self.s.slow_start_window_ms) + engine.id, int(budget / min(self.sizes.mean_cost))
            few, place = min(n // 2, few), (slot // 2 + self.s.number) % n
            if place >= few and (place < n - 1 or not slot % 2):
                return -math.inf  # with the few only, all heavy ones wait until it is warm
            n, told = (max(1.0, few / FEW), 0.5) if place < few else (1, 1.0)
        just = self.s.workers == 1 and max(since, engine.entry.since_ms) < self.began  # one before us spent
        return budget / n * (engine.part - told * just) - engine.cold_sends.total(since)

    def cold_budget(self, engine: Engine, now: float) -> float:
        """What all coordinators together may send to a cold engine in one window."""
        grown = (max(0.0, now - engine.entry.since_ms) / self.s.slow_start_duration_ms) ** 2  # the ramp is not told
        start = (self.s.slow_start_capacity + (1.0 - self.s.slow_start_capacity) * grown) * 0.85 * engine.cores
        return COLD_SAFETY[self.sparse] * self.s.slow_start_overload_ratio * start * self.s.slow_start_window_ms

    def cold_work(self, job: Job) -> float:
        return ESTIMATE_SAFETY * (job.cost if job.hint > 0 else max(job.cost, self.sizes.mean_cost[job.cls]))

    def _may_send(self, job: Job, engine: Engine, now: float) -> bool:
        """The gate that every send passes, with _has_memory; rules first, then doubt and room."""
        cs, entry = job.cs, engine.entry
        if (
            not engine.ready
            or (engine.keeps and now < engine.keeps.get(job.cls, 0.0))
            or (cs.only_kinds is not None and entry.kind not in cs.only_kinds)
            or (cs.only_zones is not None and entry.zone not in cs.only_zones)
            or (job.attempts and not self._may_repeat(job, engine, now))
            or (engine.cold(now) and not self._cold_allowed(job, engine, now))
        ):
            return False
        if engine.suspect:
            small = self.sizes.band(job.cost) == 3 and cs.idempotency != Idempotency.NON_IDEMPOTENT
            return small and now >= engine.retest_at and not engine.attempts and not job.attempts
        return not engine.attempts or engine.bound - engine.threads >= cs.threads

    def _has_memory(self, engine: Engine, grant: float, others: float) -> bool:
        if engine.memory <= 0 or not self.threads or engine.suspect:
            return True
        free = MEMORY_FULL / self.used - others
        if not self.sees_memory:  # in step with the bound
            free = max(1.0 / self.s.coordinators, min(MEMORY_FULL, 0.6 * engine.bound / engine.cores))
            free = free if engine.attempts else math.inf
        return engine.granted + engine.peers_memory + grant <= engine.memory * free

    def _others(self, engine: Engine, now: float) -> tuple[float, float]:
        """What others hold on an engine: its last report, trusted less with its age, else the pool of all."""
        trust = math.exp((engine.report_at - now) / REPORT_LASTS_MS)
        return (
            self.pool[0] + trust * (engine.others - self.pool[0]),
            self.pool[1] + trust * (engine.others_memory - self.pool[1]),
        )

    # Choice and release.

    def _want(self, job: Job) -> float:
        """The memory to ask for wherever it goes; an engine grants a part of its own at most."""
        if not self.s.grants or job.memory <= 0:
            return 0.0
        learned, margin = self.sizes.memories[job.cls], 0.2
        if self.s.reports_cost:  # few samples: unsure; where engines page only use counts
            margin = (1 + self.pages) * learned.spread + UNSURE / math.sqrt(1 + learned.count)
        return job.memory * math.exp(margin)

    def _pace(self, engine: Engine, cls: int) -> float:
        return max(1.0, self.best[cls] * engine.slow)

    def _choose(self, job: Job, engines: list[Engine], now: float) -> Engine | None:
        """Least expected completion among the engines that may have it; near-ties are spread by the seed."""
        best, best_score, threads, want = None, math.inf, job.cs.threads, self._want(job)
        scale = self.s.coordinators if self.sparse and self.s.load_report_columns else 1
        priced = self.s.handshake_penalty > 0 or self.s.cross_zone_penalty > 0
        if (
            job.finished
            or len(job.attempts) >= self.s.max_attempts
            or (job.attempts and (job.out or not self._retry_allowed(now)))
        ):
            return None
        for engine in engines:
            full = engine.attempts and engine.bound - engine.threads < threads and not engine.suspect
            if (full and not (self.colds and engine.cold(now))) or not self._may_send(job, engine, now):
                continue  # while requests are held most are full: the gate would say the same, later
            others, others_memory = self._others(engine, now)
            if not self._has_memory(engine, min(want, self.s.max_grant_ratio * engine.memory), others_memory):
                continue
            busy = (engine.threads + engine.peers + threads + others) / max(engine.bound * scale, threads)
            score = engine.slow * (1.0 + busy) * (0.95 + 0.1 * self.random.random())
            score *= (4.0 if engine.id in job.avoid else 1.0) * (0.5 if engine.cold(now) else 1.0)
            score *= self._group_factor(job, engine) if job.group >= 0 else 1.0
            if priced:
                score *= 1.0 + PRICED * self._price(engine, now) * self.priority_weight / job.cs.priority_weight
            if score < best_score:
                best, best_score = engine, score
        return best

    def _price(self, engine: Engine, now: float) -> float:
        """Points for a new connection, and for its zone while there is room: one zone's engines pile up."""
        new = self.s.handshake_penalty > 0 and not engine.spares.any(now, len(engine.attempts))
        room = max(0.0, 2.0 - 2.0 * self.threads / max(1.0, self.shares))
        far = (engine.entry.zone != self.s.zone) * self.s.cross_zone_penalty
        return new * self.s.handshake_penalty + far * (1.0 if new else room)

    def _group_factor(self, job: Job, engine: Engine) -> float:
        """Warm groups draw their readers; a load and the readers it would stop are kept apart."""
        times = 0.8 if job.group in engine.warm else 1.0
        times *= 4.0 ** (self.loads.at(job.group, engine.id) * (job.cs.is_load or job.cs.blocked_by_loads))
        return math.prod([times, *[1.3] * self.waiters.at(job.group, engine.id)]) if job.cs.is_load else times

    def _looked_at(self, job: Job, now: float) -> list[Engine]:
        """All of a few; else a sample, the cold, as turns are rare, and some that a connection stands to."""
        # A load that stands holds up its key's line: each has engines of its own, but all while any is cold.
        n = self.s.coordinators if job.lane >= 0 and len(self.usable) >= self.s.coordinators else 1
        n = 1 if n > 1 and any(e.cold(now) for e in self.colds) else n
        cut = n, (self.s.number - job.lane) % n, self.loads.of(job.lane)
        if len(few := self.ranks.every(*cut)) <= SAMPLE:
            return few
        picked = self.random.sample(few, SAMPLE)
        beside = [e for e in thinned(self.turns, MANY, SAMPLE, self.random) if e.cold(now)]
        beside += [e for e in self.standing.last(MANY, 2 * SAMPLE) if e.spares.any(now, 0)]
        return picked + self.ranks.order(beside, *cut) if beside else picked

    def _release(self, now: float) -> None:
        if not self.held or self._room(2.0) < 1.0 or now == self.woke_at:  # first take in all that came
            return
        sent, misses, taken = list[Job](), 0, set[int]()  # taken: groups without an engine for a load of ours
        for job in self.held.walk(() if self.sparse else taken) if self.usable else ():  # where all fit
            if misses >= MISSES or not self._fits(job):
                break
            if job.lane in taken or not (few := self._looked_at(job, now)):
                taken.add(job.lane)
            elif (engine := self._choose(job, few, now)) is None:
                misses += 1
            else:
                sent.append(job)
                self._send(job, engine, now)
        for job in sent:
            self._unhold(job)

    def _send(self, job: Job, engine: Engine, now: float) -> None:
        if job.attempts:
            self.extras.since(now - self.s.retry_budget_window_ms).append(now)
        ran_at = min((a.sent for a in job.may_have_run()), default=math.inf)
        job.grant = min(self._want(job), self.s.max_grant_ratio * engine.memory)
        attempt = Attempt(job, len(job.attempts), engine, now, job.grant, engine.suspect)
        if not engine.attempts:
            engine.sign_at = max(engine.sign_at, now)  # silence counts from the first send to an idle engine
        job.attempts.append(attempt)
        engine.attempts[(job.request, attempt.number)] = attempt
        self._book(attempt, 1)
        engine.spares.take()
        engine.look_at = min(engine.look_at, self._look_at(attempt))
        if engine.cold(now):
            engine.cold_sends.add(now, self.cold_work(job))
        if job.group >= 0 and job.group not in engine.warm:
            engine.warm.append(job.group)
        self._set_terms(job, True)
        left = 0.0 if job.cs.stream else max(1.0, job.deadline - now - MARGIN_MS / 2)
        begin_by = math.inf
        if job.cs.idempotency == Idempotency.WITH_KEY:
            begin_by = ran_at + job.cs.idempotency_window_ms - MARGIN_MS / 2
        self.out.append(actions.StartAttempt(job.request, engine.id, left, begin_by))

    def _set_terms(self, job: Job, sending: bool = False) -> None:
        """The band of the remaining work, raised as it shrinks."""
        band = self.sizes.band(job.cost * (1.0 - job.done)) if self.s.priorities else 1
        if job.cs.is_load and (job.cs.in_order or any(c.blocked_by_loads for c in self.s.classes)):
            band = max(band, 2)  # what readers or its key's line wait for must not crawl in a low band
        if sending or band > job.band:
            job.band = band
            self.out.append(actions.UpdatePriority(job.request, band, job.grant))

    # Health.

    def _judge(self, engine: Engine, attempt: Attempt, event: AttemptEnded, now: float) -> None:
        job, outcome = attempt.job, event.outcome
        if event.report:
            self._hear(engine, event.report, now)
        if outcome == AttemptOutcome.OK:
            engine.sign(now)
            engine.fails *= 0.0 if engine.suspect else 0.7
            if engine.suspect:
                engine.suspect, engine.hearsay, engine.cleared_at, engine.slow = False, False, now, 1.0
                self.out.append(actions.WriteLog(f"engine {engine.id:08x} answers again"))
            if self.s.reports_cost and event.true_cost_ms > 0:
                if self.pages and attempt.grant > 0 and event.true_memory_mb > 0:
                    self.used += 0.05 * (max(0.4, min(1.0, event.true_memory_mb / attempt.grant)) - self.used)
                self.sizes.learn(job, event.true_cost_ms, event.true_memory_mb)
            if now > self.woke_at:
                self._pace_learn(engine, job, event.true_cost_ms or attempt.cost, event.elapsed_ms, now)
        elif outcome in (AttemptOutcome.ERROR, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET):
            # An error at a second engine speaks against the request, and in favour of the first.
            others = [a for a in job.attempts if a.engine is not engine and a.outcome == AttemptOutcome.ERROR]
            if outcome != AttemptOutcome.ERROR or not others:
                self._doubt(engine, attempt, now, "fails")
            elif len(others) == 1:
                others[0].engine.fails -= min(others[0].charge, others[0].engine.fails)
                others[0].engine.suspect &= others[0].trial or others[0].engine.fails >= TRIP_AT
        elif outcome == AttemptOutcome.OVERLOADED:
            self._cut(engine, now)
        elif attempt.trial and outcome != AttemptOutcome.NOT_SENT:  # not sent: its request was over
            self._suspect(engine, now, "failed its test")

    def _doubt(self, engine: Engine, attempt: Attempt, now: float, why: str) -> None:
        attempt.charge = (0.6 if self.sparse else 0.3) * (1.0 - engine.fails)  # few answers: one must do
        engine.fails += attempt.charge
        if attempt.trial or (engine.fails >= TRIP_AT and not engine.suspect):  # one episode counts once
            self._suspect(engine, now, why)

    def _hear(self, engine: Engine, report: tuple[float, ...], now: float) -> None:
        values = dict(zip(self.s.load_report_columns, report, strict=False))
        used = values.get("load_share", 0.0) * engine.cores + 2.0 * values.get("depth", 0.0)
        ours = len(engine.attempts) + engine.peers
        engine.others = max(0.0, values.get("concurrent", used * self.sparse) - ours)
        ours = (engine.granted + engine.peers_memory) / max(1.0, engine.memory)
        engine.others_memory = max(0.0, values.get("x0", 0.0) - ours)
        engine.report_at = now
        self.pool[0] += 0.1 * (engine.others - self.pool[0])
        self.pool[1] += 0.1 * (engine.others_memory - self.pool[1])

    def _pace_learn(self, engine: Engine, job: Job, cost: float, elapsed: float, now: float) -> None:
        """Latency-led bound (AIMD): widen while latencies stay near their best, cut as they grow."""
        ratio = max(0.05, elapsed * job.cs.threads / max(1.0, cost))
        self.answers[job.cls] += 1
        step = max(0.05, 0.5 / self.answers[job.cls])  # follows the tenth percentile, from 1 on
        self.best[job.cls] *= math.exp(step * (0.1 if ratio > self.best[job.cls] else -0.9))
        best = self.best[job.cls]
        self.pooled += 0.1 * (min(10.0, ratio / best) - self.pooled)
        if self.pooled > CUT_ABOVE and now - self.cut_at >= CUT_EVERY_MS:
            self.cut_at, self.widen = now, max(KEEP_OF_START, self.widen * CUT_BY)
        elif self.pooled < GROW_BELOW and self._room() < 2 * job.cs.threads:
            self.widen += GROW_BY * job.cs.threads / max(1.0, self.shares)
        weight = 0.05 + 0.25 * min(1.0, cost / (2.0 * max(self.sizes.mean_cost)))
        engine.slow += weight * (min(10.0, ratio / best) - engine.slow)
        if engine.slow > CUT_ABOVE:
            self._cut(engine, now)
        elif engine.slow < GROW_BELOW and engine.bound - engine.threads < 2 * job.cs.threads:
            step = GROW_BY * job.cs.threads / self.s.coordinators
            engine.bound = min(MOST_THREADS_A_CORE * engine.cores, engine.bound + step)

    def _cut(self, engine: Engine, now: float) -> None:
        if now - engine.cut_at >= CUT_EVERY_MS:
            engine.cut_at = now
            # All slow alike is a shared cause, which fewer threads do not cure: then keep most of the start.
            alike = KEEP_OF_START if engine.slow < 1.5 * self.middle else 0.0
            floor = max(min(1.0, engine.share), alike * engine.share)
            engine.bound = max(min(floor, engine.bound), engine.bound * CUT_BY)

    def _suspect(self, engine: Engine, now: float, why: str) -> None:
        """Circuit breaker: no new work until one small query has come back. Never more than half of all."""
        ready = [e for e in self.engines.values() if e.ready]
        if not engine.suspect and 2 * (1 + sum(e.suspect for e in ready)) > len(ready):
            return
        again = engine.suspect or now - engine.cleared_at < FLAP_MS
        engine.backoff = min(RETEST_MOST_MS, engine.backoff * 2.0) if again else RETEST_MS
        if not engine.suspect:
            self.out.append(actions.WriteLog(f"engine {engine.id:08x} {why}: suspected"))
        engine.suspect, engine.retest_at = True, now + engine.backoff
        self._survey(now)
        for attempt in list(engine.attempts.values()):
            self._move(attempt.job, attempt, now)

    def _move(self, job: Job, attempt: Attempt, now: float) -> bool:
        """Cancel an attempt so that the request can go elsewhere, where its class and its time allow."""
        time_left = job.deadline - now - MARGIN_MS > 1.5 * job.cost / job.cs.threads
        if (
            not self.s.may_cancel
            or job.finished
            or not time_left
            or len(job.attempts) >= self.s.max_attempts
            or not self._may_repeat(job, None, now)
            or not self._retry_allowed(now)
        ):
            return False
        self.out.append(actions.CancelAttempt(job.request, attempt.number))
        return True

    def _bad_plan(self, job: Job, attempt: Attempt, now: float) -> None:
        """An attempt far over its estimate must not crowd out short ones: elsewhere once, or band 0."""
        if not job.moved and not self._move(job, attempt, now) and self.s.priorities and job.band > 0:
            job.band = 0
            self.out.append(actions.UpdatePriority(job.request, 0, job.grant))
        job.moved = True

    def _thin(self, line: deque[Job], now: float) -> None:
        """A key's line too long makes all in it late: least worth for its work makes way for those behind."""
        end, kept, waiting = now, list[Job](), [j for j in line if not j.finished]
        for job in waiting:
            end = max(now, job.out[0].sent + self._run_ms(job)) if job.out else end + self._run_ms(job)
            kept += [] if job.out else [job]
            while job is not waiting[-1] and kept and kept[-1] is job and end > job.objective_at_ms:
                least = min(kept, key=lambda j: j.cs.priority_weight * self.s.over_quota_weight**j.over / j.cost)
                kept.remove(least)
                end -= self._run_ms(least)
                self._exit(least, now)

    def _quiet(self, engine: Engine, now: float) -> bool:
        """No answer, note or probe from it for longer than is usual for it."""
        return now - engine.sign_at > max(SILENT_MS, 5.0 * engine.gap, 2.2 * self.s.progress_interval_ms)

    def _survey(self, now: float) -> None:
        """What may be used, the sum of our shares, and how slow the middle engine is."""
        self.surveyed_at, self.least = now, Least()
        self.engines = {
            i: e
            for i, e in sorted(self.engines.items())  # at all coordinators in the same order
            if e.entry.health != Health.GONE or e.attempts or now - e.told_at < ABSENT_MS
        }
        self.usable = [e for e in self.engines.values() if e.ready and (not e.suspect or now >= e.retest_at)]
        self.ranks.set(self.usable)
        self.colds = self.turns = [e for e in self.usable if e.entry.since_ms > 0 and e.cold(now)]
        self.shares = sum(e.bound for e in self.usable)
        slows = sorted(e.slow for e in self.engines.values() if e.ready)
        self.middle = slows[len(slows) // 2] if slows else 1.0
        for engine in self.engines.values():
            engine.slow += 0.05 * (self.middle - engine.slow)

    def _look_over(self, now: float) -> None:
        """Find silent engines, bad plans and held requests past hope."""
        self.looked_at = now
        if now - self.surveyed_at >= SURVEY_MS:
            self._survey(now)
        self.turns = [e for e in self.colds if len(self.colds) <= MANY or self._cold_left(e, now) > 0]
        for engine in [e for e in self.engines.values() if e.attempts and now >= e.look_at]:
            quiet, overdue, due = self._quiet(engine, now), 0, (self.s.progress_interval_ms or math.inf) + MUTE_MS
            for attempt in list(engine.attempts.values()):
                job, cls, lives = attempt.job, attempt.job.cls, engine.sign_at > max(attempt.sent, now - due)
                ran, unheard = now - attempt.sent - attempt.waited, not attempt.in_line and now - attempt.seen
                expected = attempt.cost / job.cs.threads * self._pace(engine, cls)
                overdue += (late := ran > 500.0 + 2.0 * expected)
                kept = now < (mark := engine.keeps.get(cls, -math.inf)) and lives
                if unheard > due and (
                    kept or now - engine.sign_at > due or (late and unheard > UNHEARD * self.s.progress_interval_ms)
                ):
                    if not lives or not kept and (attempt.seen == mark or now - mark > FLAP_MS):  # one
                        self._doubt(engine, attempt, now, "keeps what it takes")
                        engine.keeps[cls] = max(mark, now)
                    elif any(e is not engine and now >= e.keeps.get(cls, 0.0) for e in self.usable):
                        self.out += [] if kept else [actions.WriteLog(f"engine {engine.id:08x} keeps class {cls}")]
                        engine.keeps[cls] = now + FLAP_MS  # taken and not run, though it may answer others
                    attempt.seen = now
                    if not engine.suspect:
                        self._move(job, attempt, now)
                if not (job.done or quiet or attempt.in_line) and ran > 300.0 + BAD_PLAN * expected:
                    self._bad_plan(job, attempt, now)
            engine.look_at = min(map(self._look_at, engine.attempts.values()))
            if not quiet or not overdue or engine.suspect:
                continue
            if self.s.may_check_health:
                if now - engine.probed_at > SILENT_MS:
                    engine.probed_at = math.inf  # until it is back
                    self.out.append(actions.RunHealthCheck(engine.id))
            elif overdue > 1 or now - engine.sign_at > 2.0 * SILENT_MS:
                self._suspect(engine, now, "is silent")
        for line in [line for line in self.lines.values() if len(line) > 1]:
            self._thin(line, now)
        lapsed = self.lapses.due(now, [max(1.0, best * self.middle) for best in self.best])
        for job in sorted((self.jobs[request] for request in lapsed), key=lambda j: j.slot):
            self._exit(job, now)

    def _look_at(self, a: Attempt) -> float:
        """The earliest time at which it could be found kept or badly planned, or its engine silent."""
        period, heard = self.s.progress_interval_ms, a.seen + MUTE_MS
        bad = math.inf if a.job.done or a.job.moved else a.sent + a.waited + 300.0
        silent = a.engine.sign_at + max(SILENT_MS, 2.2 * period)
        return min(heard + (period or math.inf), bad + BAD_PLAN * a.cost / a.job.cs.threads, silent) - 1.0
