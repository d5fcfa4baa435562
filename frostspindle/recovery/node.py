"""One coordinator's recovery without I/O or clock: stages, agreement, engine list, bans and store batches.

The program passes messages, times and events in, and takes messages (`outbox`), effects (`effects`) and batches for the
store (`next_batch`, answered by `on_batch_written`) out. Which state is trusted, and what settles a conflict, is looked
up in `state_kinds.TABLE`. `now` is in ms of the monotonic clock, `unix` in Unix ms. Belongs to the event loop's thread.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import TypeVar

import msgspec

from frostspindle.recovery import agreement, state_kinds, tickets, wire
from frostspindle.recovery.agreement import AgreedState, BanTable, MemberReport
from frostspindle.recovery.engine_restarts import EngineRestarts
from frostspindle.recovery.idle_mark import MARK, IdleMark
from frostspindle.recovery.inputs import HeartbeatRecord, OpenedStore, RecoverySettings, decode_heartbeat
from frostspindle.recovery.load_claims import LoadClaims
from frostspindle.recovery.outputs import Effect, NodeOutputs, WriteLogLine
from frostspindle.recovery.peer_stores import PeerStores
from frostspindle.recovery.report import PagedReport, paginate
from frostspindle.recovery.stages import RecoveryStages, Stage, StageInputs, StageTransition
from frostspindle.recovery.state_transfer import StateTransfer
from frostspindle.recovery.wire import BanStatement, ListedEngine, StoreState
from frostspindle.recovery.write_buffer import WriteBuffer

HEARTBEAT_MS = 5_000.0
PRUNE_MS = 10_000.0
MAX_ENGINES = 4_000  # of a list; more are not reported or stored
MAX_WITHHELD_SHOWN = 64

Value = TypeVar("Value")
Entries = Iterable[tuple[bytes, bytes]]


class RecoveryNode:
    """One process's recovery, and from then on its part in the recovery of others."""

    def __init__(self, settings: RecoverySettings, now: float, unix: float, seed: int) -> None:
        self.settings: RecoverySettings = settings
        self.seeds: tuple[str, ...] = settings.seeds or (settings.name,)
        self.started_at: float = now
        self.random: random.Random = random.Random(seed)
        self.outputs: NodeOutputs = NodeOutputs()

        self.stages: RecoveryStages = RecoveryStages(settings.timeouts, now)
        self.inputs: StageInputs = StageInputs(
            in_fleet=bool(settings.seeds),
            seeds_alive=int(settings.name in self.seeds),
            quorum=len(self.seeds) // 2 + 1,
            seed_count=len(self.seeds),
        )
        self.alive: set[str] = set()
        self.agreed: AgreedState | None = None

        self.store: OpenedStore = OpenedStore("not opened", usable=False, trusted=False)
        self.store_lost: bool = True  # the absence of a ban or ticket here says nothing
        self.generation: int = 0
        self.stored_report: MemberReport | None = None  # the engine list as the store has it
        self.heartbeat: HeartbeatRecord | None = None  # of the previous process
        self.buffer: WriteBuffer = WriteBuffer()
        self._store_older: bool = False  # others know a later state of our store
        self._first_start: bool = False  # by the operator's assurance there was no store, and so no loss
        self._store_unknown_to: set[str] = set()  # seeds that, with stores of their own, know of none of ours

        self.last_event: int = 0  # of the bus, and the engine list with it
        self.engines: dict[str, ListedEngine] = {}
        self.bans: BanTable = BanTable()
        self._report: PagedReport | None = None  # None: to be built anew

        self.idle_mark: IdleMark = IdleMark(self.buffer)
        self.peer_stores: PeerStores = PeerStores()
        self.restarts: EngineRestarts = EngineRestarts(self.outputs, self._invalidate_report)
        self.transfer: StateTransfer = StateTransfer(
            settings.name, self.seeds, now, self.random, self.outputs, self.own_store
        )
        journal = tickets.TicketJournal((), settings.cooldowns.tickets_ms, unix, in_cooldown=True, usable=False)
        self.loads: LoadClaims = LoadClaims(
            settings.name, self.seeds, settings.claim_ms, journal, self.random, self.outputs, self.own_store
        )
        self._heartbeat_at: float = now
        self._prune_at: float = now + PRUNE_MS

    # What the program takes.

    @property
    def outbox(self) -> list[tuple[str, bytes]]:
        """Messages to be sent: receiver and bytes."""
        return self.outputs.messages

    @property
    def effects(self) -> list[Effect]:
        """Effects to be applied."""
        return self.outputs.effects

    @property
    def counters(self) -> Counter[str]:
        """Counters by name, for the operators' port."""
        return self.outputs.counters

    def take_messages(self) -> list[tuple[str, bytes]]:
        """Return the messages to be sent and forget them."""
        messages = self.outputs.messages
        self.outputs.messages = []
        return messages

    def take_effects(self) -> list[Effect]:
        """Return the effects to be applied and forget them."""
        effects = self.outputs.effects
        self.outputs.effects = []
        return effects

    @property
    def past_agreement(self) -> bool:
        """Whether the agreement stage is over, with a quorum or without."""
        return self.stages.stage > Stage.AGREE

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum of the seeds took part in this coordinator's agreement."""
        return self.agreed is not None and self.agreed.has_quorum

    @property
    def settled(self) -> bool:
        """Whether this coordinator is past its own agreement, and had it with a quorum of the seeds."""
        return self.past_agreement and self.has_quorum

    # Opening of the store.

    def on_store_opened(self, now: float, unix: float, store: OpenedStore) -> None:
        """Take the outcome of opening the store, or that there is none: load what is trusted of its entries."""
        first_start = store.fresh and self.settings.first_start
        trusted = store.usable and (store.trusted or first_start)
        self.store = store
        self.inputs.store_verdict = store.verdict
        self.inputs.store_usable = store.usable
        self.store_lost = not trusted
        self._first_start = first_start
        self.generation = store.state.generation if store.state else 0
        listed = self._load_entries(store.entries if trusted else (), unix, trusted)
        marked = store.usable and any(key == MARK for key, _ in store.entries)
        self.idle_mark.on_store_opened(marked, trusted)
        if listed and self.heartbeat:
            self.stored_report = MemberReport(
                self.settings.name, self.heartbeat.last_event, listed, store_lost=self.store_lost
            )
        self._log(
            "recovery_store",
            verdict=store.verdict,
            trusted=trusted,
            tickets=len(self.loads.journal.records),
            bans=len(self.bans.statements),
            engines=len(listed),
            clean=self.heartbeat.clean_shutdown if self.heartbeat else None,
        )
        self._advance(now, unix)

    def _load_entries(self, entries: Entries, unix: float, trusted: bool) -> dict[str, ListedEngine]:
        """Load what the store has of each kind; return the engine list in it."""
        by_kind: dict[str, list[tuple[bytes, bytes]]] = {kind: [] for kind in state_kinds.persisted_kinds()}
        for key, value in entries:
            kind = key.partition(b"/")[0].decode("ascii", "replace")
            if kind in by_kind:
                by_kind[kind].append((key, value))
        for _, statement in self._decoded(by_kind["bans"], wire.decode_ban):
            self.bans.merge(statement)
        for key, state in self._decoded(by_kind["generations"], wire.decode_store_state):
            member = key.partition(b"/")[2].decode(errors="replace")
            self.peer_stores.states[member] = state
        engines = {engine.name: engine for _, engine in self._decoded(by_kind["engines"], wire.decode_listed_engine)}
        for _, heartbeat in self._decoded(by_kind["beat"], decode_heartbeat):
            self.heartbeat = heartbeat
        cooldown_ms = state_kinds.cooldown_ms("tickets", self.settings.cooldowns)
        self.loads.journal = tickets.TicketJournal(
            by_kind["tickets"], cooldown_ms, unix, in_cooldown=not trusted, usable=self.store.usable
        )
        self.counters["recovery_spoilt"] += self.loads.journal.corrupt
        return engines

    def _decoded(self, entries: Entries, decode: Callable[[bytes], Value]) -> Iterator[tuple[bytes, Value]]:
        """The entries that can be decoded; the others are counted."""
        for key, value in entries:
            try:
                decoded = decode(value)
            except (msgspec.DecodeError, UnicodeDecodeError):
                self.counters["recovery_spoilt"] += 1
                continue
            yield key, decoded

    # Events of the program.

    def on_port_bound(self, now: float, unix: float, epoch: int) -> None:
        """Note that the fleet's port is ours, under this epoch."""
        self.inputs.epoch = epoch
        self._advance(now, unix)

    def on_member(self, now: float, unix: float, name: str, alive: bool) -> None:
        """Note that a member is alive, or no longer is."""
        if alive:
            self.alive.add(name)
        else:
            self.alive.discard(name)
            self.transfer.forget(name)
        self.inputs.seeds_alive = sum(seed == self.settings.name or seed in self.alive for seed in self.seeds)
        self._advance(now, unix)

    def on_cooldown_over(self, now: float, unix: float) -> None:
        """Note that the cooldown of rights is over."""
        self.inputs.cooldown_over = True
        self._advance(now, unix)

    def on_backlog(self, now: float, unix: float, waiting: int, warm_ratio: float) -> None:
        """Note how many requests wait at the gate, and how warm the engines are (0 to 1)."""
        self.inputs.waiting = waiting
        self.inputs.warm_ratio = warm_ratio
        self._advance(now, unix)

    def on_engine_list(self, unix: float, last_event: int, listed: Mapping[str, ListedEngine]) -> None:
        """Take the engine list as it stands here now, up to MAX_ENGINES, with the number of the bus's last event."""
        engines = dict(list(listed.items())[:MAX_ENGINES])
        if (last_event, engines) != (self.last_event, self.engines):
            if self.past_agreement:
                self._store_engines(engines)
            self.last_event = last_event
            self.engines = engines
            self._invalidate_report()
            self.restarts.on_engine_list(engines)
        if Stage.ENGINES < self.stages.stage < Stage.OPEN:
            self._judge_engines(unix)

    def _store_engines(self, engines: Mapping[str, ListedEngine], stored: Iterable[str] = ()) -> None:
        """Write what differs from the last list, or all if names in the store from an earlier process are given."""
        for name in (*self.engines, *stored):
            if name not in engines:
                self.buffer.delete("engines", name)
        for name, engine in engines.items():
            if self.engines.get(name) != engine or stored:
                self.buffer.put("engines", name, wire.encode(engine))

    def record_ban(self, unix: float, engine: str, banned: bool) -> None:
        """Record that staff at this coordinator ban an engine, or no longer do."""
        self._merge_ban(BanStatement(self.settings.name, engine, banned, unix))

    def _merge_ban(self, statement: BanStatement) -> None:
        if self.bans.merge(statement):
            self.buffer.put("bans", f"{statement.origin}/{statement.engine}", wire.encode(statement))
            self._invalidate_report()

    def on_attempt_ended(self, unix: float, name: str, refused: bool) -> None:
        """Take the end of an attempt; `refused`: its engine took no connection.

        So a running coordinator sees engines restart.
        """
        engine = self.engines.get(name)
        if self.stages.stage <= Stage.ENGINES or engine is None:
            self.restarts.forget_refusals(name)
        elif refused:
            self.restarts.on_refused(unix, name)
        else:
            self.restarts.on_answered(unix, engine)

    def on_rights_idle(self, idle: bool) -> None:
        """Note whether nothing of our rights to cold engines is lent, used or wanted; see idle_mark."""
        if self.inputs.store_usable and self.past_agreement:
            self.idle_mark.set_idle(idle)

    def on_shutdown(self, unix: float) -> None:
        """Record that the program ends in good order, in the last batch."""
        self._write_heartbeat(unix, clean_shutdown=True)

    # The store.

    def next_batch(self) -> dict[bytes, bytes | None] | None:
        """Return the next batch to write.

        None if there is nothing, the outcome of the last one is unknown, or the store is broken.
        """
        if self.buffer.writing or not self.inputs.store_usable:
            return None
        journal_batch = self.loads.journal.next_batch()
        if not journal_batch and not self.buffer.pending:
            return None
        batch = self.buffer.take_batch()
        batch.update(journal_batch or {})
        return batch

    def on_batch_written(self, now: float, unix: float, ok: bool, full: bool = False) -> None:
        """Take the outcome of the last batch. `ok`: it is durable.

        `full`: nothing of it is; neither: the store is broken and not used any more.
        """
        batch = self.buffer.on_written(ok, full)
        if ok:
            self.generation += 1
            self.idle_mark.on_durable(batch, self._store_older)
        elif not full:
            self.inputs.store_usable = False
            self._log("recovery_unkept", why="the store is broken: no tickets are granted here")
        self.loads.on_batch_written(now, unix, ok, full)

    def _write_heartbeat(self, unix: float, clean_shutdown: bool) -> None:
        record = HeartbeatRecord(unix, self.last_event, clean_shutdown)
        self.buffer.put("beat", "", wire.encode(record))

    def own_store(self) -> StoreState | None:
        """Return the state of the own store.

        None until others were asked what they know of it, or without a usable store.
        """
        if not self.past_agreement or self.store.state is None or not self.inputs.store_usable:
            return None
        return StoreState(self.store.state.id, self.store.state.incarnation, self.generation)

    # Messages.

    def on_message(self, now: float, unix: float, sender: str, data: bytes) -> None:
        """Process a member's message; one that can't be decoded is counted."""
        try:
            message = wire.decode(data)
        except wire.InvalidPacketError:
            self.counters["recovery_undecodable"] += 1
            return
        match message:
            case wire.ReportRequest():
                self.peer_stores.remember(now, sender, message.own_store)
                self._on_report_request(now, sender, message)
            case wire.ReportPage():
                self._on_report_page(now, unix, sender, message)
            case wire.TicketClaim():
                self.loads.on_claim(unix, sender, message)
            case wire.TicketReply():
                self.peer_stores.remember(now, sender, message.own_store)
                self.loads.on_reply(now, unix, sender, message.nonce, message.status)
            case wire.TicketRelease():
                self.loads.journal.release(sender, message.ticket, message.nonce)

    def _on_report_request(self, now: float, sender: str, request: wire.ReportRequest) -> None:
        report = self.paged_report()
        if request.page >= len(report.pages):
            return
        rows = report.pages[request.page]
        page = wire.ReportPage(
            seq=request.seq,
            digest=report.digest,
            page=request.page,
            page_count=len(report.pages),
            last_event=self._own_report().last_event,
            uptime_ms=now - self.started_at,
            settled=self.settled,
            store_lost=self.store_lost,
            your_store=self.peer_stores.states.get(sender),
            own_store=self.own_store(),
            engines=rows.engines,
            bans=rows.bans,
        )
        self.outputs.send(sender, page)

    def paged_report(self) -> PagedReport:
        """Return all that others may ask for, in pages."""
        if self._report is None:
            own = self._own_report()
            engines = map(self.restarts.as_reported, own.engines.values())
            self._report = paginate(own.last_event, engines, self.bans.statements.values())
        return self._report

    def _invalidate_report(self) -> None:
        self._report = None

    def _own_report(self) -> MemberReport:
        """Of the stored list and the present one, that with the later event."""
        last_event = self.last_event
        engines: Mapping[str, ListedEngine] = self.engines
        stored = self.stored_report
        if stored is not None and stored.last_event > last_event and not self.past_agreement:
            last_event = stored.last_event
            engines = stored.engines
        return MemberReport(self.settings.name, last_event, engines, settled=False, store_lost=self.store_lost)

    def _on_report_page(self, now: float, unix: float, sender: str, page: wire.ReportPage) -> None:
        if sender not in self.transfer.transfers:
            return  # nobody asked
        self.peer_stores.remember(now, sender, page.own_store)
        if not self.transfer.add_page(sender, page):
            return
        for statement in page.bans:
            self._merge_ban(statement)
        report = self.transfer.finish_page(now, sender, page)
        if report is None:
            return
        self._compare_stores(unix, sender, page)
        marks = self.stages.stage > Stage.ENGINES
        self.restarts.merge_peer_starts(unix, report, self.engines, marks)
        self._advance(now, unix)

    def _compare_stores(self, unix: float, sender: str, page: wire.ReportPage) -> None:
        """Take what another knows of our store: a later state of it, or that there never was one."""
        if self.past_agreement and not self.stages.without_quorum:
            return
        theirs = page.your_store
        ours = self.store.state
        if theirs is None:
            if not page.store_lost and sender in self.seeds:
                self._store_unknown_to.add(sender)
            return
        if ours is None:
            return
        written = self.generation if self.past_agreement else 0
        if theirs.version <= (ours.incarnation, max(ours.generation, written)):
            return
        if not self._store_older:
            self._store_older = True
            self._log(
                "recovery_older",
                life=theirs.incarnation,
                generation=theirs.generation,
                ours=[ours.incarnation, ours.generation],
            )
        self.store_lost = True
        self._first_start = False
        self.loads.journal.start_cooldown(unix)

    # Time and stages.

    def next_due(self) -> float:
        """Return when `tick` must be called next, in ms of the monotonic clock."""
        due_times = [
            self.stages.next_due(),
            self.loads.claims.next_due(),
            self._heartbeat_at,
            self._prune_at,
            self.transfer.sync_at,
        ]
        if self.past_agreement:
            due_times.append(self.peer_stores.save_at)
        if not self.has_quorum:
            due_times.append(self.transfer.next_due())
        return min(due_times)

    def tick(self, now: float, unix: float) -> None:
        """Do what is due."""
        self.loads.tick(now, unix)
        if now >= self._prune_at:
            self._prune_at = now + PRUNE_MS
            self._prune(unix)
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_MS
            if self.past_agreement:  # before that the previous process's own would be lost
                self._write_heartbeat(unix, clean_shutdown=False)
        if now >= self.peer_stores.save_at and self.past_agreement:
            self.peer_stores.save(self.buffer)
        self._advance(now, unix)
        needs_quorum = self.inputs.in_fleet and not self.has_quorum
        self.transfer.tick(now, self.alive, needs_quorum, recovered=self.stages.finished)

    def _prune(self, unix: float) -> None:
        self.loads.journal.prune(unix)
        self.restarts.prune(unix)
        for origin, engine in self.bans.prune(unix):
            self.buffer.delete("bans", f"{origin}/{engine}")

    def _advance(self, now: float, unix: float) -> None:
        """Go on by stages, and agree as soon as a quorum has reported."""
        if not self.past_agreement or (self.stages.without_quorum and not self.has_quorum):
            self._review_reports()
        while True:
            transitions = self.stages.advance(now, self.inputs)
            if not transitions:
                break
            for transition in transitions:
                self.effects.append(transition)
                self._on_transition(transition, unix)
        if self.inputs.reported and self.past_agreement and not self.has_quorum:
            self._agree()  # a quorum has reported after the timeout

    def _review_reports(self) -> None:
        other_seeds = len(self.seeds) - (self.settings.name in self.seeds)
        if (
            self.store_lost
            and self.store.fresh
            and not self._store_older
            and 2 * len(self._store_unknown_to) > other_seeds > 0
        ):
            self.store_lost = False  # they would know of a store of ours, and know of none
            self.loads.journal.end_cooldown()
        if self.inputs.store_verdict and agreement.has_quorum(self._reports(), self.seeds):
            self.inputs.reported = True

    def _reports(self) -> list[MemberReport]:
        return [self._own_report(), *self.transfer.reports()]

    def _on_transition(self, transition: StageTransition, unix: float) -> None:
        if transition.previous is Stage.AGREE:
            self.loads.accepts_new = True
            self._agree()
        if transition.stage is Stage.ENGINES:
            self._judge_engines(unix)
            self.inputs.engines_marked = True

    def _agree(self) -> None:
        self.agreed = agreement.agree(self.settings.name, self._reports(), self.bans, self.seeds)
        self.effects.append(self.agreed)
        self._store_engines(self.engines, self.stored_report.engines if self.stored_report else ())
        if self.agreed.has_quorum:
            self.transfer.clear()
            self._invalidate_report()

    def _judge_engines(self, unix: float) -> None:
        """Mark engines restarted that are cold after our loss."""
        heartbeat = None if self.store_lost else self.heartbeat
        self.restarts.judge_engines(
            unix,
            self.engines,
            self.agreed.engine_starts if self.agreed else {},
            heartbeat.at_ms if heartbeat else None,
            clean_shutdown=self._first_start or (heartbeat is not None and heartbeat.clean_shutdown),
        )

    # Figures.

    def _log(self, event: str, **fields: object) -> None:
        self.effects.append(WriteLogLine(event, fields))

    def figures(self, now: float, unix: float) -> dict[str, object]:
        """Return the figures for the operators' port; the keys are fixed by docs/recovery.md."""
        stages = self.stages
        journal = self.loads.journal
        return {
            "stage": stages.stage.name.lower(),
            "since_ms": round(now - stages.entered_at),
            "weak": sorted(stage.name.lower() for stage in stages.timed_out),
            "moves": [
                [passed.previous.name.lower(), passed.reason, passed.timed_out, round(passed.duration_ms)]
                for passed in stages.transitions
            ],
            "store": self.store.verdict,
            "blank": self.store_lost,
            "generation": self.generation,
            "seeds_met": self.inputs.seeds_alive,
            "seeds": self.inputs.seed_count,
            "agreed": self.has_quorum,
            "withheld": sorted(self.agreed.withheld)[:MAX_WITHHELD_SHOWN] if self.agreed else [],
            "bans_known": len(self.bans.statements),
            "tickets": len(journal.records),
            "tickets_rest_ms": round(max(0.0, journal.cooldown_until_ms - unix)),
            "claims_open": len(self.loads.claims.pending),
            "counted": dict(sorted(self.counters.items())),
        }
