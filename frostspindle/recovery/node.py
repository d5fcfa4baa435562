"""One coordinator's recovery without I/O or clock: stages, agreement, engine list, bans and store batches.

The program passes in messages, times and events. It takes out messages and effects (`outputs`), and batches for the
store (`next_batch`), whose outcome it passes to `on_batch_written`. `state_kinds.TABLE` defines which state is trusted
and how conflicts are resolved. `now` is in ms of the monotonic clock; `unix_ms` is Unix time. Used on the event loop's
thread only.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from frostspindle.recovery import agreement, state_kinds, tickets, wire
from frostspindle.recovery.agreement import AgreedState, BanTable, MemberReport
from frostspindle.recovery.idle_mark import MARK, IdleMark
from frostspindle.recovery.inputs import HeartbeatRecord, OpenedStore, RecoverySettings
from frostspindle.recovery.load_claims import LoadClaims
from frostspindle.recovery.outputs import NodeOutputs, WriteLogLine
from frostspindle.recovery.own_store import OwnStore
from frostspindle.recovery.peer_stores import PeerStores
from frostspindle.recovery.published_state import PublishedState
from frostspindle.recovery.stages import RecoveryStages, Stage, StageInputs, StageTransition
from frostspindle.recovery.state_transfer import StateTransfer
from frostspindle.recovery.stored_state import StoredState
from frostspindle.recovery.wire import BanStatement, ListedEngine, StoreState
from frostspindle.recovery.write_buffer import WriteBuffer

HEARTBEAT_MS = 5_000.0
PRUNE_MS = 10_000.0


class RecoveryNode:
    """One process's recovery, and afterwards its part in the recovery of other coordinators."""

    def __init__(self, settings: RecoverySettings, now: float, unix_ms: float, seed: int) -> None:
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

        self.store: OwnStore = OwnStore()
        self.buffer: WriteBuffer = WriteBuffer()

        self.published: PublishedState = PublishedState(settings.name, self.outputs, self.buffer)
        self.idle_mark: IdleMark = IdleMark(self.buffer)
        self.peer_stores: PeerStores = PeerStores()
        self.transfer: StateTransfer = StateTransfer(
            settings.name, self.seeds, now, self.random, self.outputs, self.own_store
        )
        journal = tickets.TicketJournal((), settings.cooldowns.tickets_ms, unix_ms, in_cooldown=True, usable=False)
        self.loads: LoadClaims = LoadClaims(
            settings.name, self.seeds, settings.claim_ms, journal, self.random, self.outputs, self.own_store
        )
        self._heartbeat_at: float = now
        self._prune_at: float = now + PRUNE_MS

    @property
    def bans(self) -> BanTable:
        """The bans of all coordinators."""
        return self.published.bans

    @property
    def past_agreement(self) -> bool:
        """Whether the agreement stage has ended, with a quorum or without."""
        return self.stages.stage > Stage.AGREE

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum of the seeds took part in this coordinator's agreement."""
        return self.agreed is not None and self.agreed.has_quorum

    @property
    def settled(self) -> bool:
        """Whether this coordinator's own agreement has ended with a quorum of the seeds."""
        return self.past_agreement and self.has_quorum

    # Opening of the store.

    def on_store_opened(self, now: float, unix_ms: float, opened: OpenedStore) -> None:
        """Process the outcome of opening the store: load its entries if they are trusted."""
        trusted = self.store.on_opened(opened, self.settings.first_start)
        self.inputs.store_verdict = opened.verdict
        self.inputs.store_usable = opened.usable
        stored = StoredState()
        stored.load(opened.entries if trusted else ())
        self._load(stored, unix_ms, trusted)
        marked = opened.usable and any(key == MARK for key, _ in opened.entries)
        self.idle_mark.on_store_opened(marked, trusted)
        self._log(
            "recovery_store_opened",
            verdict=opened.verdict,
            trusted=trusted,
            tickets=len(self.loads.journal.records),
            bans=len(self.bans.statements),
            engines=len(stored.engines),
            clean=stored.heartbeat.clean_shutdown if stored.heartbeat else None,
        )
        self._advance(now, unix_ms)

    def _load(self, stored: StoredState, unix_ms: float, trusted: bool) -> None:
        for statement in stored.bans:
            self.published.bans.merge(statement)
        self.peer_stores.states.update(stored.peer_stores)
        self.store.heartbeat = stored.heartbeat
        if stored.engines and stored.heartbeat:
            self.published.stored = MemberReport(
                self.settings.name, stored.heartbeat.last_event, stored.engines, store_lost=self.store.lost
            )
        cooldown_ms = state_kinds.cooldown_ms("tickets", self.settings.cooldowns)
        self.loads.journal = tickets.TicketJournal(
            stored.tickets, cooldown_ms, unix_ms, in_cooldown=not trusted, usable=self.inputs.store_usable
        )
        self.outputs.counters["recovery_spoilt"] += stored.corrupt + self.loads.journal.corrupt

    # Events of the program.

    def on_port_bound(self, now: float, unix_ms: float, epoch: int) -> None:
        """Process that the fleet port is bound, under this epoch."""
        self.inputs.epoch = epoch
        self._advance(now, unix_ms)

    def on_member(self, now: float, unix_ms: float, name: str, alive: bool) -> None:
        """Process that a member is alive, or no longer is."""
        if alive:
            self.alive.add(name)
        else:
            self.alive.discard(name)
            self.transfer.forget(name)
        self.inputs.seeds_alive = sum(seed == self.settings.name or seed in self.alive for seed in self.seeds)
        self._advance(now, unix_ms)

    def on_cooldown_over(self, now: float, unix_ms: float) -> None:
        """Process the end of the cooldown of rights."""
        self.inputs.cooldown_over = True
        self._advance(now, unix_ms)

    def on_backlog(self, now: float, unix_ms: float, waiting: int, warm_ratio: float) -> None:
        """Process the number of requests that wait at the gate and the engines' usable capacity (0 to 1)."""
        self.inputs.waiting = waiting
        self.inputs.warm_ratio = warm_ratio
        self._advance(now, unix_ms)

    def on_engine_list(self, unix_ms: float, last_event: int, listed: Mapping[str, ListedEngine]) -> None:
        """Process the present local engine list, with the number of the last bus event."""
        self.published.set_engines(last_event, listed, store=self.past_agreement)
        if Stage.ENGINES < self.stages.stage < Stage.OPEN:
            self._classify_engines(unix_ms)

    def record_ban(self, unix_ms: float, engine: str, banned: bool) -> None:
        """Record that an operator at this coordinator bans an engine, or lifts the ban."""
        self.published.merge_ban(BanStatement(self.settings.name, engine, banned, unix_ms))

    def on_attempt_ended(self, unix_ms: float, name: str, refused: bool) -> None:
        """Process the end of an attempt; `refused`: the engine refused the connection.

        This is how a running coordinator detects restarts of engines.
        """
        engine = self.published.engines.get(name)
        if self.stages.stage <= Stage.ENGINES or engine is None:
            self.published.restarts.forget_refusals(name)
        elif refused:
            self.published.restarts.on_refused(unix_ms, name)
        else:
            self.published.restarts.on_answered(unix_ms, engine)

    def on_rights_idle(self, idle: bool) -> None:
        """Process whether none of our rights to cold engines are lent, used or requested; see idle_mark."""
        if self.inputs.store_usable and self.past_agreement:
            self.idle_mark.set_idle(idle)

    def on_shutdown(self, unix_ms: float) -> None:
        """Record a clean shutdown in the last batch."""
        self._write_heartbeat(unix_ms, clean_shutdown=True)

    # The store.

    def next_batch(self) -> dict[bytes, bytes | None] | None:
        """Return the next batch to write.

        None if there are no changes, the last batch is still being written, or the store is not usable.
        """
        if self.buffer.writing or not self.inputs.store_usable:
            return None
        journal_batch = self.loads.journal.next_batch()
        if not journal_batch and not self.buffer.pending:
            return None
        batch = self.buffer.take_batch()
        batch.update(journal_batch or {})
        return batch

    def on_batch_written(self, now: float, unix_ms: float, ok: bool, full: bool = False) -> None:
        """Process the outcome of the last batch. `ok`: it is durable.

        `full`: the disk was full and nothing was written. Neither: the store is broken and no longer used.
        """
        batch = self.buffer.on_written(ok, full)
        if ok:
            self.store.generation += 1
            self.idle_mark.on_durable(batch, self.store.outdated)
        elif not full:
            self.inputs.store_usable = False
            self._log("recovery_tickets_disabled", why="the store failed to write a batch: no tickets are granted here")
        self.loads.on_batch_written(now, unix_ms, ok, full)

    def _write_heartbeat(self, unix_ms: float, clean_shutdown: bool) -> None:
        record = HeartbeatRecord(unix_ms, self.published.last_event, clean_shutdown)
        self.buffer.put("beat", "", wire.encode(record))

    def own_store(self) -> StoreState | None:
        """Return the state of this coordinator's store.

        None without a usable store, and until the other coordinators were asked for the state that they know.
        """
        if not self.past_agreement or not self.inputs.store_usable:
            return None
        return self.store.state()

    # Messages.

    def on_message(self, now: float, unix_ms: float, sender: str, data: bytes) -> None:
        """Process a member's message; a malformed one is counted and dropped."""
        try:
            message = wire.decode(data)
        except wire.InvalidPacketError:
            self.outputs.counters["recovery_undecodable"] += 1
            return
        match message:
            case wire.ReportRequest():
                self.peer_stores.remember(now, sender, message.own_store)
                self._on_report_request(now, sender, message)
            case wire.ReportPage():
                self._on_report_page(now, unix_ms, sender, message)
            case wire.TicketClaim():
                self.loads.on_claim(unix_ms, sender, message)
            case wire.TicketReply():
                self.peer_stores.remember(now, sender, message.own_store)
                self.loads.on_reply(now, unix_ms, sender, message.nonce, message.status)
            case wire.TicketRelease():
                self.loads.journal.release(sender, message.ticket, message.nonce)

    def _on_report_request(self, now: float, sender: str, request: wire.ReportRequest) -> None:
        own_report = self._own_report()
        report = self.published.paged(own_report)
        if request.page >= len(report.pages):
            return
        rows = report.pages[request.page]
        page = wire.ReportPage(
            seq=request.seq,
            digest=report.digest,
            page=request.page,
            page_count=len(report.pages),
            last_event=own_report.last_event,
            uptime_ms=now - self.started_at,
            settled=self.settled,
            store_lost=self.store.lost,
            your_store=self.peer_stores.states.get(sender),
            own_store=self.own_store(),
            engines=rows.engines,
            bans=rows.bans,
        )
        self.outputs.send(sender, page)

    def _own_report(self) -> MemberReport:
        return self.published.own_report(self.store.lost, self.past_agreement)

    def _on_report_page(self, now: float, unix_ms: float, sender: str, page: wire.ReportPage) -> None:
        if sender not in self.transfer.transfers:
            return  # not requested
        self.peer_stores.remember(now, sender, page.own_store)
        if not self.transfer.add_page(sender, page):
            return
        for statement in page.bans:
            self.published.merge_ban(statement)
        report = self.transfer.finish_page(now, sender, page)
        if report is None:
            return
        self._compare_stores(unix_ms, sender, page)
        adopt = self.stages.stage > Stage.ENGINES
        self.published.restarts.merge_peer_starts(unix_ms, report, self.published.engines, adopt)
        self._advance(now, unix_ms)

    def _compare_stores(self, unix_ms: float, sender: str, page: wire.ReportPage) -> None:
        """Compare our store with the state of it that another member knows; a later one shows that ours is outdated."""
        if self.past_agreement and not self.stages.without_quorum:
            return
        known_state = page.your_store
        if known_state is None:
            if not page.store_lost and sender in self.seeds:
                self.store.add_seed_without_record(sender)
            return
        if not self.store.is_older_than(known_state, count_written=self.past_agreement):
            return
        opened = self.store.opened.state
        if self.store.mark_outdated() and opened is not None:
            self._log(
                "recovery_store_outdated",
                life=known_state.incarnation,
                generation=known_state.generation,
                ours=[opened.incarnation, opened.generation],
            )
        self.loads.journal.start_cooldown(unix_ms)

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

    def tick(self, now: float, unix_ms: float) -> None:
        """Send what is due, prune old state, write the heartbeat, and advance the stages."""
        self.loads.tick(now, unix_ms)
        if now >= self._prune_at:
            self._prune_at = now + PRUNE_MS
            self.loads.journal.prune(unix_ms)
            self.published.prune(unix_ms)
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_MS
            if self.past_agreement:  # earlier, it would overwrite the previous process's heartbeat
                self._write_heartbeat(unix_ms, clean_shutdown=False)
        if now >= self.peer_stores.save_at and self.past_agreement:
            self.peer_stores.save(self.buffer)
        self._advance(now, unix_ms)
        needs_quorum = self.inputs.in_fleet and not self.has_quorum
        self.transfer.tick(now, self.alive, needs_quorum, recovered=self.stages.finished)

    def _advance(self, now: float, unix_ms: float) -> None:
        """Advance the stages, and agree as soon as a quorum has reported."""
        if not self.past_agreement or (self.stages.without_quorum and not self.has_quorum):
            self._review_reports()
        while True:
            transitions = self.stages.advance(now, self.inputs)
            if not transitions:
                break
            for transition in transitions:
                self.outputs.effects.append(transition)
                self._on_transition(transition, unix_ms)
        if self.inputs.reported and self.past_agreement and not self.has_quorum:
            self._agree()  # a quorum has reported after the agreement stage timed out

    def _review_reports(self) -> None:
        other_seeds = len(self.seeds) - (self.settings.name in self.seeds)
        if self.store.confirm_never_existed(other_seeds):
            self.loads.journal.end_cooldown()
        if self.inputs.store_verdict and agreement.has_quorum(self._reports(), self.seeds):
            self.inputs.reported = True

    def _reports(self) -> list[MemberReport]:
        return [self._own_report(), *self.transfer.reports()]

    def _on_transition(self, transition: StageTransition, unix_ms: float) -> None:
        if transition.previous is Stage.AGREE:
            self.loads.accepts_new = True
            self._agree()
        if transition.stage is Stage.ENGINES:
            self._classify_engines(unix_ms)
            self.inputs.engines_marked = True

    def _agree(self) -> None:
        self.agreed = agreement.agree(self.settings.name, self._reports(), self.bans, self.seeds)
        self.outputs.effects.append(self.agreed)
        self.published.store_all_engines()
        if self.agreed.has_quorum:
            self.transfer.clear()
            self.published.invalidate()

    def _classify_engines(self, unix_ms: float) -> None:
        """Mark engines as restarted that may have lost power with this coordinator."""
        self.published.restarts.classify_engines(
            unix_ms,
            self.published.engines,
            self.agreed.engine_starts if self.agreed else {},
            self.store.last_heartbeat_ms,
            self.store.clean_shutdown,
        )

    def _log(self, event: str, **fields: object) -> None:
        self.outputs.effects.append(WriteLogLine(event, fields))
