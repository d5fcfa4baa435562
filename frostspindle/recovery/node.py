"""One coordinator's recovery: stages, words of others, the journal of loads, tied together without I/O.

Owns what is asked of whom and when, what goes into the store, and what the coordinator is to do next. It must never
open a socket or a store or read a clock: messages come in by name and bytes and go out so (`out`), batches for the
store are fetched by `batch` and settled by `written`, all else is told by `effects`. What of its state is trusted, and
what settles a disagreement, is looked up in `state.TABLE`.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec

from frostspindle.recovery import agreement, state_kinds, tickets, wire
from frostspindle.recovery.agreement import AgreedState, BanTable, MemberReport
from frostspindle.recovery.stages import RecoveryStages, Stage, StageInputs, StageTimeouts, StageTransition
from frostspindle.recovery.state_kinds import CooldownSettings
from frostspindle.recovery.wire import BanStatement, ListedEngine, StoreState

PULL_MS, AGAIN_MS, ANEW_MS = 5_000.0, 200.0, 1_000.0  # running: one other is asked so often; recovering: resends, words
AT_ONCE, PAGES = 16, 4  # members asked at a time; pages asked of one at a time
BEAT_MS = 5_000.0
KNOWN_MS = 1_000.0  # so long after a member has told of its store it is in ours at the latest, also while nobody loads
PRUNE_MS = 10_000.0
MOST_KNOWN = 512
GIVEN_MS = 120_000.0  # a start that others gave so long ago is of no use
GRID_MS = 2_000.0  # of the starts that are given to engines: coordinators that come back together give the same
REFUSES_MS = 200.0  # an engine that refuses connections for so long has gone, and comes back cold
MARK = state_kinds.prefix("cold rights") + b"none out"
MOST_ENGINES = 4_000  # of a list; more are not told or kept
BATCH = 1_000


@dataclass(slots=True, frozen=True)
class RecoverySettings:
    """What a coordinator is given at its start."""

    name: str
    seeds: tuple[str, ...] = ()  # of the fleet; none: it is alone
    bounds: StageTimeouts = StageTimeouts()
    rests: CooldownSettings = CooldownSettings(0.0, 600_000.0)
    claim_ms: float = 1_000.0
    first_start: bool = False  # the operator's word that an empty store is none that was lost


@dataclass(slots=True, frozen=True)
class OpenedStore:
    """Outcome of opening the store. `trusted`: it is the latest one; `known`: its state as it was opened."""

    verdict: str
    usable: bool
    trusted: bool
    fresh: bool = False  # nothing was there
    known: StoreState | None = None
    entries: tuple[tuple[bytes, bytes], ...] = ()


class HeartbeatRecord(msgspec.Struct, array_like=True, frozen=True):
    """Heartbeat record: when a process last wrote of itself, and whether it ended in good order."""

    at_ms: float
    number: int  # of the last event of the bus
    clean: bool  # it ended in good order


class MarkRestarted(NamedTuple):
    """Effect: take these engines as started at these times (Unix ms), unless the list has a later start."""

    starts: dict[str, float]


class ClaimResolved(NamedTuple):
    """Effect: the claim of a load has its outcome, one of tickets.GO, RAN, CANT and UNSURE."""

    number: int
    how: str


class WriteLogLine(NamedTuple):
    """Effect: write a log line."""

    event: str
    fields: dict[str, Any]


Effect = StageTransition | AgreedState | MarkRestarted | ClaimResolved | WriteLogLine


@dataclass(slots=True)
class _ReportTransfer:
    """What a member tells, page by page."""

    digest: int = -1
    total: int = 1
    pages: dict[int, wire.ReportPage] = field(default_factory=dict)
    asked_at: float = -1e18
    whole_at: float = -1e18
    word: MemberReport | None = None


_beat = msgspec.msgpack.Decoder(HeartbeatRecord).decode


class RecoveryNode:
    """One process's recovery without I/O, and its part in that of others from then on."""

    def __init__(self, terms: RecoverySettings, now: float, unix: float, seed: int) -> None:
        self.terms, self.random = terms, random.Random(seed)
        self.seeds = terms.seeds or (terms.name,)
        self.began, self.stages = now, RecoveryStages(terms.bounds, now)
        self.facts = StageInputs(fleet=bool(terms.seeds), need=len(self.seeds) // 2 + 1, all=len(self.seeds))
        self.facts.met = int(terms.name in self.seeds)
        self.out: list[tuple[str, bytes]] = []
        self.effects: list[Effect] = []
        self.counted: Counter[str] = Counter()
        self.store = OpenedStore("not opened", False, False)
        self.blank = True  # our silence on bans and tickets says nothing
        self.generation = 0
        self.number, self.engines = 0, dict[str, ListedEngine]()  # as the bus and the core have them now
        self.kept: MemberReport | None = None  # as the store has them
        self.beat: HeartbeatRecord | None = None
        self.bans, self.known = BanTable(), dict[str, StoreState]()
        self._fresh: set[str] = set()  # of `known`, what the store lacks
        self._known_at = math.inf  # when it is written
        self.journal = tickets.TicketJournal((), terms.rests.tickets_ms, unix, True, False)
        self.claims = tickets.TicketClaims(terms.claim_ms)
        self.alive: set[str] = set()
        self.agreed: AgreedState | None = None
        self._numbers: dict[int, int] = {}  # by nonce: the core's number of a load
        self._nonces: dict[int, int] = {}
        self._pulls: dict[str, _ReportTransfer] = {}
        self._seq = 0
        self._dirty: dict[bytes, bytes | None] = {}
        self._writing: dict[bytes, bytes | None] | None = None
        self.marked = True  # the store may say that none of our cold engines' rights are out: while it may, none may be
        self.spared = False  # it did as this process began: no predecessor's have to rest
        self._spares = self._quiet = False
        self._older = False
        self._strangers: set[str] = set()  # others who, with stores of their own, know of none of ours
        self._book: tuple[int, list[tuple[list[ListedEngine], list[BanStatement]]]] | None = None
        self._first = False  # the operator's word: there was no store, and so no loss
        self._given: dict[str, tuple[float, ...]] = {}  # engines' latest starts as others told them
        self._refuses: dict[str, tuple[float, float]] = {}  # since when an engine does, and when that was last told
        self._doubts: dict[str, float] = {}  # when an engine last refused that we may not know the start of since
        self._restarts: dict[str, float] = {}  # starts that we have told of ourselves and that `engines` lacks still
        self._seen: set[str] = set()  # engines that were judged cold or not
        self._pull_at = now + self.random.uniform(0.2, 1.0) * ANEW_MS
        self._beat_at, self._prune_at = now, now + PRUNE_MS

    # What the program tells.

    def opened(self, now: float, unix: float, store: OpenedStore) -> None:
        """Take the outcome of opening the store, or that there is none: load what is trusted of its entries."""
        self.store = store
        self.facts.store, self.facts.usable = store.verdict, store.usable
        trusted = store.usable and (store.trusted or store.fresh and self.terms.first_start)
        self.blank = not trusted
        self._first = store.fresh and self.terms.first_start
        self.generation = store.known.generation if store.known else 0
        held: dict[str, list[tuple[bytes, bytes]]] = {kind: [] for kind in state_kinds.kept()}
        for key, value in store.entries if trusted else ():
            kind = key.partition(b"/")[0].decode("ascii", "replace")
            if kind in held:
                held[kind].append((key, value))
        for _, value in held["bans"]:
            self._read(wire.decode_ban, value, self.bans.hear)
        for key, value in held["generations"]:
            self._read(
                wire.decode_known,
                value,
                lambda k, at=key: self.known.__setitem__(at.partition(b"/")[2].decode(errors="replace"), k),
            )
        listed: dict[str, ListedEngine] = {}
        for _, value in held["engines"]:
            self._read(wire.decode_listed, value, lambda e: listed.__setitem__(e.name, e))
        for _, value in held["beat"]:
            self._read(_beat, value, lambda b: setattr(self, "beat", b))
        self.journal = tickets.TicketJournal(
            held["tickets"], state_kinds.rest_ms("tickets", self.terms.rests), unix, not trusted, store.usable
        )
        self.counted["recovery_spoilt"] += self.journal.spoilt
        self.marked = store.usable and any(key == MARK for key, _ in store.entries)
        if self.marked:  # by a life that is over
            self._spares, self._dirty[MARK] = trusted, None
        if listed and self.beat:
            self.kept = MemberReport(self.terms.name, self.beat.number, listed, blank=self.blank)
        self.effects.append(
            WriteLogLine(
                "recovery_store",
                {
                    "verdict": store.verdict,
                    "trusted": trusted,
                    "tickets": len(self.journal.table),
                    "bans": len(self.bans.words),
                    "engines": len(listed),
                    "clean": self.beat.clean if self.beat else None,
                },
            )
        )
        self._look(now, unix)

    def _read(self, decode: Any, value: bytes, take: Any) -> None:
        try:
            take(decode(value))
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.counted["recovery_spoilt"] += 1

    def begin(self, now: float, unix: float, epoch: int) -> None:
        """Note that the fleet's port is ours, under this epoch."""
        self.facts.epoch = epoch
        self._look(now, unix)

    def member(self, now: float, unix: float, name: str, alive: bool) -> None:
        """Note that a member is alive, or no longer is."""
        if alive:
            self.alive.add(name)
        else:
            self.alive.discard(name)
            self._pulls.pop(name, None)
        self.facts.met = sum(seed == self.terms.name or seed in self.alive for seed in self.seeds)
        self._look(now, unix)

    def rested(self, now: float, unix: float) -> None:
        """Note that all that must rest has rested."""
        self.facts.rested = True
        self._look(now, unix)

    def holds(self, now: float, unix: float, number: int, engines: Mapping[str, ListedEngine]) -> None:
        """Take the engine list as it stands here now, up to MOST_ENGINES, with the number of the bus's last event."""
        engines = dict(list(engines.items())[:MOST_ENGINES])
        if (number, engines) != (self.number, self.engines):
            if self.stages.stage > Stage.AGREE:
                self._keep_list(engines)
            self.number, self.engines, self._book = number, engines, None
            self._refuses = {name: of for name, of in self._refuses.items() if name in engines}
            self._doubts = {
                name: at for name, at in self._doubts.items() if name in engines and engines[name].told_ms <= at
            }
            self._restarts = {
                name: start
                for name, start in self._restarts.items()
                if name in engines and engines[name].born_ms < start
            }
        if Stage.ENGINES < self.stages.stage < Stage.OPEN:
            self._chill(unix)

    def _keep_list(self, engines: Mapping[str, ListedEngine], old: Iterable[str] = ()) -> None:
        stem = state_kinds.prefix("engines")
        for name in (*self.engines.keys(), *old):
            if name not in engines:
                self._dirty[stem + name.encode()] = None
        for name, engine in engines.items():
            if self.engines.get(name) != engine or old:
                self._dirty[stem + name.encode()] = wire.encode(engine)

    def ban(self, unix: float, engine: str, on: bool) -> None:
        """Record that staff at this coordinator ban an engine, or no longer do."""
        self._heard(BanStatement(self.terms.name, engine, on, unix))

    def _heard(self, word: BanStatement) -> None:
        if self.bans.hear(word):
            self._dirty[state_kinds.prefix("bans") + f"{word.maker}/{word.engine}".encode()] = wire.encode(word)
            self._book = None

    def ended(self, unix: float, engine: str, refused: bool) -> None:
        """Take the end of an attempt; `refused`: its engine took no connection. So a running coordinator sees engines
        restart.

        From the first refusal on we don't vouch for the engine's start, until the bus tells of one, or, where it
        refused for REFUSES_MS, an answer shows that it is back: then that time is its start. A shorter break is no
        start, but may hide one.
        """
        known = self.engines.get(engine)
        if self.stages.stage <= Stage.ENGINES or known is None:
            self._refuses.pop(engine, None)
        elif refused:
            since, told = self._refuses.get(engine, (unix, -math.inf))
            if unix - since >= REFUSES_MS and unix - told >= REFUSES_MS:
                told = unix
                self._restarted(engine, unix)
            self._refuses[engine] = since, told
            if engine not in self._doubts:
                self._book = None
            self._doubts[engine] = unix
        elif engine in self._refuses:
            since, told = self._refuses.pop(engine)
            if told > since and known.told_ms <= since:  # it began after the last refusal, and nobody has told when
                self._restarted(engine, unix)
                self._doubts.pop(engine, None)

    def _restarted(self, engine: str, unix: float) -> None:
        start = self._restarts[engine] = math.floor(unix / GRID_MS) * GRID_MS
        self._book = None
        self.effects.append(MarkRestarted({engine: start}))

    def quiet(self, quiet: bool) -> None:
        """Note whether nothing of our rights in cold engines' budgets is out or wanted; the store keeps it for the next
        process.

        `marked` tells from then on whether the store may say so; a mark that has to go is gone once `marked` is False.
        """
        if quiet != self._quiet and self.facts.usable and self.stages.stage > Stage.AGREE:
            self._dirty[MARK] = b"" if quiet else None
            self._quiet, self.marked = quiet, True

    def backlog(self, now: float, unix: float, waiting: int, warm: float) -> None:
        """Note how many requests wait at the gate, and how warm the engines are (0 to 1)."""
        self.facts.backlog, self.facts.warm = waiting, warm
        self._look(now, unix)

    # Loads.

    def claim(self, now: float, unix: float, number: int, text: str) -> None:
        """Ask the homes of a load's ticket to grant it; the outcome follows as a Settled effect."""
        of, nonce = tickets.ticket(text), self.random.getrandbits(62)
        self._numbers[nonce], self._nonces[number] = number, nonce
        sends = self.claims.begin(now, of, nonce, tickets.homes(of, self.seeds))
        if not sends:
            self._outcome(nonce, tickets.UNSURE)
        self._carry(now, unix, sends)

    def settled(self, now: float, unix: float, number: int, ran: bool) -> None:
        """Note that a load was answered or its client left. `ran` False: nothing of it was sent to an engine, and its
        ticket is freed.
        """
        nonce = self._nonces.pop(number, None)
        if nonce is not None:
            self._numbers.pop(nonce, None)
            self._carry(now, unix, self.claims.settled(now, nonce, ran) + self.claims.drop(now, nonce))

    def _outcome(self, nonce: int, how: str) -> None:
        if (number := self._numbers.get(nonce)) is not None:
            self.effects.append(ClaimResolved(number, how))
        self.counted[f"claims_{how.replace(' ', '_')}"] += 1

    def _carry(self, now: float, unix: float, sends: Iterable[tickets.TicketMessage]) -> None:
        for send in sends:
            if send.home != self.terms.name:
                body = (wire.TicketRelease if send.free else wire.TicketClaim)(send.ticket, send.nonce)
                self.out.append((send.home, wire.encode(body)))
            elif send.free:
                self.journal.free(self.terms.name, send.ticket, send.nonce)
            else:
                how = self._home(unix, self.terms.name, send.ticket, send.nonce)
                if how is not None:
                    self._answered(now, unix, self.terms.name, send.nonce, how)

    def _home(self, unix: float, who: str, of: bytes, nonce: int) -> int | None:
        """A claim at this home. Until others were asked whether this store is the last one, only a no is given."""
        if self.stages.stage <= Stage.AGREE and of not in self.journal.table:
            return None  # as if the claim were lost: it is asked again
        return self.journal.ask(unix, who, of, nonce)

    def _answered(self, now: float, unix: float, home: str, nonce: int, how: int) -> None:
        if (outcome := self.claims.hear(now, home, nonce, how)) is not None:
            self._outcome(nonce, outcome[0])
            self._carry(now, unix, outcome[1])

    # The store.

    def batch(self) -> dict[bytes, bytes | None] | None:
        """Return the next batch to write.

        None if there is nothing, the last one is not settled, or the store is broken.
        """
        if self._writing is not None or not self.facts.usable:
            return None
        journal = self.journal.batch()
        if not journal and not self._dirty:
            return None
        self._writing = {key: self._dirty.pop(key) for key in list(self._dirty)[:BATCH]}
        return {**self._writing, **(journal or {})}

    def written(self, now: float, unix: float, ok: bool, full: bool = False) -> None:
        """Settle the last batch. `ok`: it is durable.

        `full`: nothing of it is; neither: the store is broken and not used any more.
        """
        out, self._writing = self._writing or {}, None
        if ok:
            self.generation += 1
            if MARK in out and out[MARK] is None and not self._quiet:
                self.marked, self.spared = False, self.spared or self._spares and not self._older
        elif full:
            self._dirty = {**out, **self._dirty}
        else:
            self.facts.usable = False
            self.effects.append(
                WriteLogLine("recovery_unkept", {"why": "the store is broken: no tickets are granted here"})
            )
        for waiter, how in self.journal.written(ok, full):
            if waiter.name == self.terms.name:
                self._answered(now, unix, waiter.name, waiter.nonce, how)
            else:
                self._reply(waiter.name, waiter.ticket, waiter.nonce, how)

    def end(self, unix: float) -> None:
        """Record that the program ends in good order, in the last batch."""
        self._write_beat(unix, True)

    def _write_beat(self, unix: float, clean: bool) -> None:
        self._dirty[state_kinds.prefix("beat")] = wire.encode(HeartbeatRecord(unix, self.number, clean))

    # Messages.

    @property
    def mine(self) -> StoreState | None:
        """The state of the own store; None until others were asked what they know of it, or without a usable store."""
        if self.stages.stage <= Stage.AGREE or self.store.known is None or not self.facts.usable:
            return None
        return StoreState(self.store.known.id, self.store.known.life, self.generation)

    def hear(self, now: float, unix: float, name: str, data: bytes) -> None:
        """Process a member's message; one that can't be decoded is counted."""
        try:
            body = wire.decode(data)
        except wire.InvalidPacketError:
            self.counted["recovery_undecodable"] += 1
            return
        if isinstance(body, wire.ReportRequest):
            self._remember(now, name, body.mine)
            self._on_ask(now, name, body)
        elif isinstance(body, wire.ReportPage):
            self._on_page(now, unix, name, body)
        elif isinstance(body, wire.TicketClaim):
            how = self._home(unix, name, body.ticket, body.nonce)
            if how is not None:
                self._reply(name, body.ticket, body.nonce, how)
        elif isinstance(body, wire.TicketReply):
            self._remember(now, name, body.mine)
            self._answered(now, unix, name, body.nonce, body.how)
        else:
            self.journal.free(name, body.ticket, body.nonce)

    def _reply(self, name: str, of: bytes, nonce: int, how: int) -> None:
        self.out.append((name, wire.encode(wire.TicketReply(of, nonce, how, self.mine))))

    def _remember(self, now: float, name: str, known: StoreState | None) -> None:
        """The last state of a member's store; its own word counts, and only forwards."""
        if known is None or (name not in self.known and len(self.known) >= MOST_KNOWN):
            return
        old = self.known.get(name)
        if old is None or (known.life, known.generation) > (old.life, old.generation):
            self.known[name] = known
            self._fresh.add(name)
            self._known_at = min(self._known_at, now + KNOWN_MS)

    def _pages(self) -> tuple[int, list[tuple[list[ListedEngine], list[BanStatement]]]]:
        """All that others may ask for, cut into pages, and its digest."""
        if self._book is None:
            number, engines = self._holding()
            pages: list[tuple[list[ListedEngine], list[BanStatement]]] = [([], [])]
            digest, room = blake2b(str(number).encode(), digest_size=6), wire.ROOM
            rows: list[ListedEngine | BanStatement] = [
                *map(self._seen_by_us, engines.values()),
                *self.bans.words.values(),
            ]
            for row in rows:
                data = wire.encode(row)
                digest.update(data)
                if len(data) > room:
                    pages.append(([], []))
                    room = wire.ROOM
                room -= len(data)
                page = pages[-1]
                page[0].append(row) if isinstance(row, ListedEngine) else page[1].append(row)
            self._book = int.from_bytes(digest.digest()), pages[: wire.MOST_PAGES]
        return self._book

    def _seen_by_us(self, engine: ListedEngine) -> ListedEngine:
        """As others are told of it: with what we saw of it ourselves."""
        start = max(engine.born_ms, self._restarts.get(engine.name, 0.0))
        if start == engine.born_ms and engine.name not in self._doubts:
            return engine
        return msgspec.structs.replace(engine, born_ms=start, ran=engine.name not in self._doubts)

    def _holding(self) -> tuple[int, Mapping[str, ListedEngine]]:
        """The list that we speak for: of the store and the present one, that with the higher number."""
        if self.kept is not None and self.kept.number > self.number and self.stages.stage <= Stage.AGREE:
            return self.kept.number, self.kept.engines
        return self.number, self.engines

    @property
    def firm(self) -> bool:
        """Whether this coordinator is past its own agreement, and had it with more than half of the seeds."""
        return self.stages.stage > Stage.AGREE and self._enough()

    def _on_ask(self, now: float, name: str, ask: wire.ReportRequest) -> None:
        digest, pages = self._pages()
        if ask.page >= len(pages):
            return
        engines, bans = pages[ask.page]
        self.out.append(
            (
                name,
                wire.encode(
                    wire.ReportPage(
                        ask.seq,
                        digest,
                        ask.page,
                        len(pages),
                        self._holding()[0],
                        now - self.began,
                        self.firm,
                        self.blank,
                        self.known.get(name),
                        self.mine,
                        engines,
                        bans,
                    )
                ),
            )
        )

    def _on_page(self, now: float, unix: float, name: str, page: wire.ReportPage) -> None:
        pull = self._pulls.get(name)
        if pull is None:
            return  # nobody asked
        self._remember(now, name, page.mine)
        if page.digest != pull.digest:
            pull.digest, pull.total, pull.pages = page.digest, page.pages, {}
        if page.page >= pull.total:
            return
        pull.pages[page.page] = page
        for word in page.bans:
            self._heard(word)
        if len(pull.pages) == pull.total:
            pull.word = MemberReport(
                name,
                page.number,
                {e.name: e for p in pull.pages.values() for e in p.engines},
                page.firm,
                page.blank,
                page.up_ms,
            )
            pull.whole_at, pull.digest, pull.pages = now, -1, {}
            self._compare(unix, name, page)
            self._later(unix, pull.word)
            self._look(now, unix)
        elif len(pull.pages) % PAGES == 0:
            self._ask(now, name, pull)

    def _compare(self, unix: float, name: str, page: wire.ReportPage) -> None:
        """Whether others know of a later state of our store, or that there never was one."""
        told, have = page.yours, self.store.known
        if self.stages.stage > Stage.AGREE and not self.stages.alone:
            return
        if (
            told is not None
            and have is not None
            and (told.life, told.generation)
            > (have.life, max(have.generation, self.generation if self.stages.stage > Stage.AGREE else 0))
        ):
            if not self._older:
                self._older = True
                self.effects.append(
                    WriteLogLine(
                        "recovery_older",
                        {"life": told.life, "generation": told.generation, "ours": [have.life, have.generation]},
                    )
                )
            self.blank, self._first = True, False
            self.journal.rest(unix)
        elif told is None and not page.blank and name in self.seeds:
            self._strangers.add(name)

    # Time.

    def due(self) -> float:
        """Return when `tick` must be called next, in ms of the monotonic clock."""
        at = min(self.stages.due(), self.claims.due(), self._beat_at, self._prune_at, self._pull_at)
        if self.stages.stage > Stage.AGREE:
            at = min(at, self._known_at)
        if not self._enough():
            at = min([at, *(self._pull_due(pull) for pull in self._pulls.values())])
        return at

    def _enough(self) -> bool:
        return self.agreed is not None and self.agreed.enough

    @staticmethod
    def _pull_due(pull: _ReportTransfer) -> float:
        return max(pull.asked_at + AGAIN_MS, pull.whole_at + ANEW_MS)

    def tick(self, now: float, unix: float) -> None:
        """Do what is due (times in ms, monotonic and Unix)."""
        sends, ended = self.claims.tick(now)
        for nonce, how in ended:
            self._outcome(nonce, how)
        self._carry(now, unix, sends)
        if now >= self._prune_at:
            self._prune_at = now + PRUNE_MS
            self.journal.prune(unix)
            if old := [name for name, at in self._doubts.items() if unix - at > GIVEN_MS]:
                self._doubts, self._book = {n: at for n, at in self._doubts.items() if n not in old}, None
            for maker, engine in self.bans.prune(unix):
                self._dirty[state_kinds.prefix("bans") + f"{maker}/{engine}".encode()] = None
        if now >= self._beat_at:
            self._beat_at = now + BEAT_MS
            if self.stages.stage > Stage.AGREE:  # else the last process's own would be lost
                self._write_beat(unix, False)
        if now >= self._known_at and self.stages.stage > Stage.AGREE:
            self._known_at = math.inf
            for name in self._fresh:
                self._dirty[state_kinds.prefix("generations") + name.encode()] = wire.encode(self.known[name])
            self._fresh.clear()
        self._look(now, unix)
        self._pull(now)

    def _pull(self, now: float) -> None:
        """Ask others: all seeds until enough have told, then one member in turn."""
        if self.facts.fleet and not self._enough():
            missing = [name for name in self.seeds if name != self.terms.name and name in self.alive]
            missing = [name for name in missing if name not in self._pulls or now >= self._pull_due(self._pulls[name])]
            self.random.shuffle(missing)
            for name in missing[:AT_ONCE]:
                self._ask(now, name, self._pulls.setdefault(name, _ReportTransfer()))
        elif now >= self._pull_at and self.alive:
            name = self.random.choice(sorted(self.alive))
            self._pulls = {name: _ReportTransfer()}
            self._ask(now, name, self._pulls[name])
        if now >= self._pull_at:
            self._pull_at = now + (PULL_MS if self.stages.over else ANEW_MS) * self.random.uniform(0.8, 1.2)

    def _ask(self, now: float, name: str, pull: _ReportTransfer) -> None:
        pull.asked_at = now
        missing = [number for number in range(pull.total) if number not in pull.pages] if pull.digest >= 0 else [0]
        for number in missing[:PAGES]:
            self._seq += 1
            self.out.append((name, wire.encode(wire.ReportRequest(self._seq, number, self.mine))))

    def _words(self) -> list[MemberReport]:
        number, engines = self._holding()
        own = MemberReport(self.terms.name, number, engines, False, self.blank)
        return [own, *(pull.word for pull in self._pulls.values() if pull.word is not None)]

    def _look(self, now: float, unix: float) -> None:
        """Go on by stages, and settle what was asked as soon as enough have told."""
        if self.stages.stage <= Stage.AGREE or (self.stages.alone and not self._enough()):
            others = len(self.seeds) - (self.terms.name in self.seeds)
            if self.blank and self.store.fresh and not self._older and 2 * len(self._strangers) > others > 0:
                self.blank = False  # they would know of a store of ours, and know of none
                self.journal.trust()
            if self.facts.store and agreement.enough(self._words(), self.seeds):
                self.facts.agreed = True
        while moves := self.stages.look(now, self.facts):
            for move in moves:
                self.effects.append(move)
                self._moved(move, unix)
        if self.facts.agreed and self.stages.stage > Stage.AGREE and not self._enough():
            self._agree()  # late

    def _moved(self, move: StageTransition, unix: float) -> None:
        if move.left is Stage.AGREE:
            self._agree()
        if move.stage is Stage.ENGINES:
            self._chill(unix)
            self.facts.chilled = True

    def _agree(self) -> None:
        self.agreed = agreement.agree(self.terms.name, self._words(), self.bans, self.seeds)
        self.effects.append(self.agreed)
        self._keep_list(self.engines, self.kept.engines if self.kept else ())
        if self.agreed.enough:
            self._pulls, self._book = {}, None

    def _chill(self, unix: float) -> None:
        """Engines that were not judged yet; the list's word on those that come after the recovery is believed.

        A start that others have given since our loss is taken over: a cold engine's budget is one for each start. So is
        the start by which those vouch who ran on: they may have seen it begin anew while the bus was away.
        """
        starts = self.agreed.starts if self.agreed else {}
        fresh = {name: e.born_ms for name, e in self.engines.items() if name not in self._seen}
        self._seen.update(fresh)
        beat = self.beat if not self.blank else None
        clean = bool(beat and beat.clean) or self._first
        later = {name: starts[name] for name, born in fresh.items() if starts.get(name, 0.0) > born}
        if names := agreement.cold(fresh, starts, beat.at_ms if beat else None, clean):
            grid = math.floor(unix / GRID_MS) * GRID_MS
            later |= {
                name: max(
                    (given for given in self._given.get(name, ()) if beat is None or given > beat.at_ms), default=grid
                )
                for name in names
            }
        if later:
            self.effects.append(MarkRestarted(later))

    def _later(self, unix: float, word: MemberReport) -> None:
        """Another gives an engine a later start than we do: all go by the latest, within the skew of clocks."""
        starts = {}
        for engine in word.engines.values():
            if engine.born_ms > unix - GIVEN_MS and engine.born_ms <= unix + 2.0 * GRID_MS:
                self._given[engine.name] = (engine.born_ms,)
                ours = self.engines.get(engine.name)
                if ours is not None and engine.name in self._seen and engine.born_ms > ours.born_ms:
                    starts[engine.name] = engine.born_ms
        if starts and self.stages.stage > Stage.ENGINES:
            self.effects.append(MarkRestarted(starts))

    def figures(self, now: float, unix: float) -> dict[str, Any]:
        """Return the figures for the operators' port."""
        stages = self.stages
        return {
            "stage": stages.stage.name.lower(),
            "since_ms": round(now - stages.since),
            "weak": sorted(stage.name.lower() for stage in stages.weak),
            "moves": [[m.left.name.lower(), m.why, m.weak, round(m.took_ms)] for m in stages.moves],
            "store": self.store.verdict,
            "blank": self.blank,
            "generation": self.generation,
            "seeds_met": self.facts.met,
            "seeds": self.facts.all,
            "agreed": self._enough(),
            "withheld": sorted(self.agreed.withheld)[:64] if self.agreed else [],
            "bans_known": len(self.bans.words),
            "tickets": len(self.journal.table),
            "tickets_rest_ms": round(max(0.0, self.journal.rests_until - unix)),
            "claims_open": len(self.claims.open),
            "counted": dict(sorted(self.counted.items())),
        }
