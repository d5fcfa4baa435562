"""Scatter in the program: requests on spread tables, their parts through the core, and the summaries' messages.

Owns which requests are taken from the fronts before the core's ledger, the timers of the lease cores, and the queries
that learn a site anew. It must never send anything to an engine: parts, loads and these queries are requests of the
core like any other, with numbers of their own. Nor does it decide: what is left out is `leases` and `predicates`, what
a statement becomes `plan`, what parts become `gather`.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from frostspindle.catalogue import CELL_SUFFIX, FLOAT, TEXT, Catalogue, Column, home_of, key_of, site_of
from frostspindle.core import SUBREQUEST_FRONT, ClientRequest, Core, Response, ResponseStatus, clock
from frostspindle.predicates import may_match
from frostspindle.predicates.values import KINDS, canonical
from frostspindle.scatter import wire
from frostspindle.scatter.gather import Gather, GatheredResponse, estimates
from frostspindle.scatter.leases import UNKNOWN, Load, LoadIntent, SummaryCache, SummaryHome, SummaryLeaseSettings
from frostspindle.scatter.merge import MergeMismatchError, value
from frostspindle.scatter.plan import Planner, Rows, step_cells
from frostspindle.telemetry import Telemetry

if TYPE_CHECKING:
    from frostspindle.fleet.node import FleetNode
    from frostspindle.fleet.service import FleetService as Fleet

CHANNEL = 2
MERGE_MS = 10.0  # of a request's time that parts leave for the merge
CONFIRM = 0.1  # part of a load's time that is left for its confirmation
WIDEN = 0.6  # part of it after which a load that could not be announced is refused
AGAIN_S = 0.05  # a load waits so for a fleet that is not there yet
LOOK_S = 0.25  # how often it is looked for summaries to learn
LEARNING = 2  # summaries that are learnt at a time
MOST_DISTINCT = 50_000  # values of a column that are learnt; with more nothing is known of it
LEARN_MS = 20_000.0  # of one query


def monotonic() -> float:
    """Return milliseconds of a clock that runs on while the process is stopped."""
    return time.monotonic() * 1000.0


def ticket(whole: str, site: str) -> str:
    """Return a part's id, of the same form as a client's."""
    return blake2b(f"{whole}:{site}".encode(), digest_size=8).hexdigest()


@dataclass(slots=True, eq=False)
class _ScatteredQuery:
    request: ClientRequest
    gather: Gather
    parts: dict[str, ClientRequest]


@dataclass(slots=True, eq=False)
class _ScatteredLoad:
    """One load: announced, sent, confirmed."""

    request: ClientRequest
    site: str
    load: Load | None = None
    part: ClientRequest | None = None
    result: Any = None
    timer: asyncio.TimerHandle | None = None
    began: float = 0.0
    columns: tuple[str, ...] = ()  # that it wrote, of those with a summary; all of these where nobody can tell


class ScatterService:
    """One process's side of scattering; a frostspindle.fleet.service.FleetChannel."""

    channel = CHANNEL

    def __init__(self, catalogue: Catalogue, core: Core, telemetry: Telemetry, fleet: Fleet, classes: int) -> None:
        self.catalogue, self.core, self.telemetry, self.fleet = catalogue, core, telemetry, fleet
        self.classes = classes  # of the front that is scattered; others' requests have higher numbers
        terms = catalogue.settings
        self.planner = Planner(catalogue)
        self.settings = SummaryLeaseSettings(terms.lease_ms, terms.drift, catalogue.digest, terms.keep_ms, terms.bits)
        self.home: SummaryHome | None = None
        self.holder: SummaryCache | None = None
        self.queries: dict[ClientRequest, _ScatteredQuery] = {}
        self.turns: dict[ClientRequest, _ScatteredLoad] = {}
        self.lines: dict[int, deque[_ScatteredLoad]] = {}  # loads of one key, in the order taken
        # Told of each load that is answered as served: its site, group and columns.
        self.loaded: Callable[[str, int, tuple[str, ...]], None] = lambda site, group, columns: None
        self.waits: deque[float] = deque(maxlen=1_000)  # ms that the last loads waited to be announced
        self._timer: asyncio.TimerHandle | None = None
        self._look: asyncio.TimerHandle | None = None
        self._learning: dict[str, asyncio.Task[None]] = {}

    # What the fleet calls.

    def on_started(self, now: float, node: FleetNode) -> None:
        """Create the lease cores under the node's epoch, with the summaries whose home this process is, and start
        learning sites; called once the fleet's port is ours.
        """
        homes = {key: home_of(key, node.homes) for key in self.catalogue.all_keys()}
        own = {key: self.catalogue.summary_columns(site_of(key)[1]) for key, home in homes.items() if home == node.name}
        self.home, self.holder = SummaryHome(node.epoch, self.settings, own, now), SummaryCache(self.settings, homes)
        self.telemetry.log(
            "scatter_started", sites=len(self.catalogue.sites), groups=len(self.catalogue.groups), keeps=len(own)
        )
        self._search()

    def on_message(self, now: float, name: str, epoch: int, data: bytes) -> None:
        """Decode and dispatch a member's message, then send what the lease cores answer.

        An undecodable one is counted.
        """
        self._hear(now, name, epoch, data)
        self._flush(now)

    def on_member_changed(self, now: float, name: str, state: str) -> None:
        """Do nothing: leases end by time alone, as a member that is held for dead may only be cut off."""

    def _hear(self, now: float, name: str, epoch: int, data: bytes) -> None:
        if self.home is None or self.holder is None:
            return
        try:
            word = wire.decode(data)
        except wire.InvalidPacketError:
            self.telemetry.count("scatter_undecodable")
            return
        kind = type(word)
        if kind is wire.LeaseRequest:
            self.home.on_lease_request(now, name, epoch, word)
        elif kind is wire.UpdateAcknowledged:
            self.home.on_update_acknowledged(now, name, epoch, word)
        elif kind is wire.LoadAnnounced:
            self.home.on_load_announced(now, name, epoch, word)
        elif kind is wire.LoadEnded:
            self.home.on_load_ended(now, name, epoch, word)
        elif kind is wire.ReleaseLease:
            self.home.on_release_lease(now, name, epoch, word)
        elif kind is wire.LeaseUnchanged:
            self.holder.on_lease_unchanged(now, name, epoch, word)
        elif kind is wire.SummaryPiece:
            self.holder.on_summary_piece(now, name, epoch, word)
        elif kind is wire.SummaryUpdated:
            self.holder.on_summary_updated(now, name, epoch, word)
        elif kind is wire.LoadPermitted:
            self.holder.on_load_permitted(now, name, epoch, word)
        else:
            self.holder.on_load_recorded(now, name, epoch, word)

    def _flush(self, now: float) -> None:
        """Carry what both cores say, to ourselves too, go on with loads, and plan the next turn."""
        home, holder = self.home, self.holder
        if home is None or holder is None or self.fleet.node is None:
            return
        own, epoch = self.fleet.name, self.fleet.node.epoch
        while home.outbox or holder.outbox or holder.changed_loads:
            sending = home.outbox + holder.outbox
            home.outbox, holder.outbox = [], []
            changed, holder.changed_loads = holder.changed_loads, []
            for load in changed:
                self._moved(load)
            for name, data in sending:
                if name == own:
                    self._hear(now, own, epoch, data)
                elif len(data) <= wire.MAX_MESSAGE_BYTES:
                    self.fleet.post(name, CHANNEL, data)
                else:
                    self.telemetry.count("scatter_too_long")
        if self._timer is not None:
            self._timer.cancel()
        due = min(home.next_tick_ms(now), holder.next_tick_ms())
        if due < float("inf"):
            self._timer = asyncio.get_running_loop().call_later(max(0.001, (due - monotonic()) / 1000.0), self._tick)

    def _tick(self) -> None:
        if self.home is not None and self.holder is not None:
            now = monotonic()
            self.home.tick(now)
            self.holder.tick(now)
            self._flush(now)

    # What the core calls.

    @property
    def open(self) -> int:
        """Number of scattered queries and loads that are not answered yet."""
        return len(self.queries) + len(self.turns)

    def try_take(self, request: ClientRequest) -> bool | None:
        """Take a request if it reads spread tables. True: it is settled here; False: full; None: not one of ours."""
        if request.group not in self.catalogue.groups or request.front == SUBREQUEST_FRONT:
            return None
        name = self.core.classes[request.cls][1]
        if self.core.open >= self.core.max_open_requests:
            self.telemetry.count("full", request.front, name)
            return False
        self.telemetry.count("taken", request.front, name)
        if request.cls >= self.classes:
            self._soon(request, Response(ResponseStatus.REJECTED, reason="not scatterable: not by this front"))
        elif request.cls in self.catalogue.loads:
            self._load(request)
        else:
            self._query(request)
        return True

    def client_disconnected(self, request: ClientRequest) -> bool:
        """Note that a client left and cancel its parts; return False if the request is not one of ours."""
        if (query := self.queries.pop(request, None)) is not None:
            query.gather.left()
            for site in query.gather.open:
                if site in query.parts:
                    self.core.client_disconnected(query.parts[site])
        elif (turn := self.turns.pop(request, None)) is not None:
            self._close(turn, turn.part is None)
            if turn.part is not None:
                self.core.client_disconnected(turn.part)
        else:
            return request.group in self.catalogue.groups and request.front != SUBREQUEST_FRONT
        self.telemetry.count("left", request.front, self.core.classes[request.cls][1])
        return True

    def subrequests(self, request: ClientRequest) -> Sequence[ClientRequest]:
        """Return the parts of a request that are submitted and not answered yet."""
        if (query := self.queries.get(request)) is not None:
            return [query.parts[site] for site in query.gather.open if site in query.parts]
        turn = self.turns.get(request)
        return [turn.part] if turn is not None and turn.part is not None else []

    def _submit_part(self, request: ClientRequest, part: ClientRequest) -> bool:
        """Submit a part of a client's request: nothing is sent for it while that client is away or has gone."""
        part.is_client_connected = request.is_client_connected
        part.is_suspended = request.is_suspended
        return self.core.submit(part)

    def _soon(self, request: ClientRequest, answer: Response) -> None:
        """Not before the front has noted that the request is taken."""
        asyncio.get_running_loop().call_soon(self._settle, request, answer)

    def _settle(self, request: ClientRequest, answer: Response) -> None:
        self.telemetry.count(answer.status, request.front, self.core.classes[request.cls][1])
        if answer.reason:
            self.telemetry.count(
                "scatter_turned_down" if answer.status == ResponseStatus.REJECTED else "scatter_unmerged"
            )
        request.on_response(answer)
        request.statement = ""

    @staticmethod
    def _left_ms(request: ClientRequest) -> float:
        return request.timeout_ms - (clock() - request.received_ms)

    # Queries.

    def _query(self, request: ClientRequest) -> None:
        plan = self.planner.plan(request.group, request.statement)
        if plan.refused:
            self._soon(request, Response(ResponseStatus.REJECTED, reason=plan.refused))
            return
        sites = self.catalogue.sites_of(request.group)
        skipped, rows = self._skips(request.group, sites, plan.predicate)
        asked = [site for site in sites if site not in skipped]
        self.telemetry.count("scatter_requests")
        self.telemetry.count("scatter_parts", amount=len(asked))
        self.telemetry.count("scatter_left_out", amount=len(skipped))
        query = _ScatteredQuery(
            request,
            Gather(plan.merge, asked, self.catalogue.settings.null, request.partial, self.catalogue.settings.most_rows),
            {},
        )
        if (whole := query.gather.begin()) is not None:
            self._soon(request, self._answer(whole))
            return
        self.queries[request] = query
        _, rank = estimates(request.cost_ms, [rows.get(site) for site in asked])
        for site in asked:
            query.parts[site] = ClientRequest(
                SUBREQUEST_FRONT,
                self.catalogue.classes[request.cls, site],
                ticket(request.ticket, site),
                plan.statement or request.statement,
                clock(),
                max(1.0, self._left_ms(request) - MERGE_MS),
                partial(self._part, query, site),
                rank,
                request.memory_mb,
                request.group,
                request.database,
                request.tenant,
            )
        for site, part in query.parts.items():
            if not self._submit_part(request, part):
                asyncio.get_running_loop().call_soon(self._part, query, site, Response(ResponseStatus.REJECTED))

    def _skips(self, group: int, sites: Sequence[str], predicate: Any) -> tuple[set[str], dict[str, int]]:
        """The sites that nobody need ask, and how many rows the summaries of the others speak of."""
        skipped: set[str] = set()
        rows: dict[str, int] = {}
        if self.holder is None:
            return skipped, rows
        if self.holder.mark_used(monotonic(), self.catalogue.keys(group)):
            asyncio.get_running_loop().call_soon(self._tick)
        for site in sites:
            if self.catalogue.sites[site].foreign_loads:
                continue
            summary = self.holder.summary(monotonic(), key_of(site, group))
            if summary is None:
                self.telemetry.count("scatter_without_lease")
                continue
            rows[site] = summary.rows
            if not may_match(predicate, summary):
                skipped.add(site)
        # The process may have been stopped meanwhile: only leases that still hold say anything.
        now = monotonic()
        skipped = {site for site in skipped if self.holder.summary(now, key_of(site, group)) is not None}
        return skipped, rows

    def _part(self, query: _ScatteredQuery, site: str, answer: Response) -> None:
        if answer.status == ResponseStatus.SERVED:
            whole = query.gather.served(site, answer.result[0])
        else:
            whole = query.gather.ended(site, answer.status, answer.retry_after_ms)
        if whole is None or self.queries.pop(query.request, None) is None:
            return
        for other in query.gather.open:
            self.core.client_disconnected(query.parts[other])
        self._settle(query.request, self._answer(whole))

    def _answer(self, whole: GatheredResponse) -> Response:
        if whole.status != ResponseStatus.SERVED:
            return Response(whole.status, None, whole.retry_after_ms, whole.reason)
        size = sum(len(text) + 1 for row in whole.rows for text in row) + len(whole.rows)
        if whole.missing:
            self.telemetry.count("scatter_partial")
        return Response(ResponseStatus.SERVED, (whole.rows, size), missing_parts=",".join(whole.missing))

    # Loads.

    def _load(self, request: ClientRequest) -> None:
        told = self.planner.load(request.group, request.statement)
        sites = self.catalogue.sites_of(request.group)
        site = request.site or (home_of(told.places[0], sites) if len(told.places) == 1 else "")
        if site not in sites:
            self._soon(
                request,
                Response(
                    ResponseStatus.REJECTED, reason="not scatterable: a load of one site's rows names it in X-Site"
                ),
            )
            return
        columns = (
            self.catalogue.summary_columns(request.group)
            if told.cells is None
            else [name for name, cells in told.cells.items() if cells]
        )
        turn = self.turns[request] = _ScatteredLoad(
            request,
            site,
            began=monotonic(),
            columns=tuple(dict.fromkeys(name.removesuffix(CELL_SUFFIX) for name in columns)),
        )
        if request.key:
            self.lines.setdefault(request.key, deque()).append(turn)
        if self.catalogue.sites[site].foreign_loads:
            self._send(turn)
            return
        turn.timer = asyncio.get_running_loop().call_later(
            max(0.0, WIDEN * self._left_ms(request)) / 1000.0, self._late, turn
        )
        asyncio.get_running_loop().call_soon(self._announce, turn, told)

    def _announce(self, turn: _ScatteredLoad, told: Rows) -> None:
        if turn.request not in self.turns:
            return
        now = monotonic()
        if self.holder is None:  # in an upgrade the other process has the fleet's port for a while
            asyncio.get_running_loop().call_later(AGAIN_S, self._announce, turn, told)
            return
        turn.load = self.holder.load(now, key_of(turn.site, turn.request.group), told.count, told.cells)
        if turn.load is None:
            self._end(turn, Response(ResponseStatus.REJECTED), True)
        self._flush(now)

    def _moved(self, load: Load) -> None:
        turn = next((turn for turn in self.turns.values() if turn.load is load), None)
        if turn is None:
            return
        if load.state == "ready":
            self.waits.append(monotonic() - turn.began)
            self._send(turn)
        elif load.state == "kept":
            turn.load = None
            self._end(turn, Response(ResponseStatus.SERVED, turn.result), False)

    def _send(self, turn: _ScatteredLoad) -> None:
        """The load itself, once it may go; loads of one key in the order taken."""
        line = self.lines.get(turn.request.key) if turn.request.key else None
        if turn.part is None and (line is None or line[0] is turn):
            request = turn.request
            if turn.timer is not None:
                turn.timer.cancel()
            left_ms = self._left_ms(request)
            turn.part = ClientRequest(
                SUBREQUEST_FRONT,
                self.catalogue.classes[request.cls, turn.site],
                ticket(request.ticket, turn.site),
                request.statement,
                clock(),
                max(1.0, left_ms * (1.0 - CONFIRM)),
                partial(self._ran, turn),
                request.cost_ms,
                request.memory_mb,
                request.group,
                request.database,
                request.tenant,
                request.key,
            )
            turn.timer = asyncio.get_running_loop().call_later(max(0.0, left_ms) / 1000.0, self._late, turn)
            if not self._submit_part(request, turn.part):
                asyncio.get_running_loop().call_soon(self._ran, turn, Response(ResponseStatus.REJECTED))
            self._next(turn)

    def _next(self, turn: _ScatteredLoad) -> None:
        """The line of a key goes on without this load."""
        line = self.lines.get(turn.request.key) if turn.request.key else None
        if line is None or turn not in line:
            return
        line.remove(turn)
        if not line:
            del self.lines[turn.request.key]
        elif (
            line[0].load is None
            and self.catalogue.sites[line[0].site].foreign_loads
            or (line[0].load is not None and line[0].load.state == "ready")
        ):
            self._send(line[0])

    def _ran(self, turn: _ScatteredLoad, answer: Response) -> None:
        if turn.request not in self.turns:
            return
        if answer.status != ResponseStatus.SERVED:
            self._end(turn, answer, answer.status == ResponseStatus.REJECTED)
            return
        turn.result = answer.result
        if turn.load is None:  # its site is never left out
            self._end(turn, answer, False)
            return
        assert self.holder is not None
        now = monotonic()
        self.holder.ran(now, turn.load.number)
        self._flush(now)

    def _late(self, turn: _ScatteredLoad) -> None:
        """Not announced in time: nothing was sent. Or not confirmed in time: it ran, and nobody may say served."""
        self.telemetry.count("scatter_loads_unannounced" if turn.part is None else "scatter_loads_unconfirmed")
        part = turn.part
        self._end(turn, Response(ResponseStatus.REJECTED if part is None else ResponseStatus.FAILED), part is None)
        if part is not None:
            self.core.client_disconnected(part)

    def _end(self, turn: _ScatteredLoad, answer: Response, never_ran: bool) -> None:
        if self.turns.pop(turn.request, None) is None:
            return
        self._close(turn, never_ran)
        if answer.status == ResponseStatus.SERVED:
            self.loaded(turn.site, turn.request.group, turn.columns)
        self._settle(turn.request, answer)

    def _close(self, turn: _ScatteredLoad, never_ran: bool) -> None:
        if turn.timer is not None:
            turn.timer.cancel()
        if turn.load is not None and self.holder is not None:
            self.holder.drop_load(monotonic(), turn.load.number, never_ran)
            asyncio.get_running_loop().call_soon(self._flush, monotonic())
        self._next(turn)

    # Learning a site anew.

    def _search(self) -> None:
        self._look = asyncio.get_running_loop().call_later(LOOK_S, self._search)
        if self.home is None or self.catalogue.learn_class < 0:
            return
        now = monotonic()
        for key in self.home.keys_to_learn(now)[: max(0, LEARNING - len(self._learning))]:
            self.home.begin_learning(key)
            task = asyncio.get_running_loop().create_task(self._learn(key))
            self._learning[key] = task
            task.add_done_callback(lambda _, key=key: self._learning.pop(key, None))

    async def _learn(self, key: str) -> None:
        told: list[LoadIntent] | None = []
        try:
            site, group = site_of(key)
            spread = self.catalogue.groups[group]
            for table in spread.tables:
                name = f"{spread.schema}.{table}"
                count = await self._read(site, group, f"SELECT COUNT(*) FROM {name}")
                cells = {}
                for column in (one for one in spread.column if one.type != FLOAT):
                    read = await self._read(site, group, f"SELECT DISTINCT {column.name} FROM {name}")
                    cells[column.name] = held = self._cells(column, read)
                    if column.step:
                        cells[column.name + CELL_SUFFIX] = step_cells(held, column.step)
                told.append(LoadIntent(int(count[0][0]), cells))
        except (_SummaryQueryError, MergeMismatchError, ValueError, IndexError) as error:
            told = None
            why = (
                str(error) if isinstance(error, _SummaryQueryError) else type(error).__name__
            )  # others' texts may hold values
            self.telemetry.log("scatter_summary_failed", key=key, why=why)
        if self.home is not None:
            now = monotonic()
            if self.home.finish_learning(now, key, told, self.catalogue.settings.learn_ms):
                self.telemetry.log("scatter_summary_learned", key=key, rows=sum(part.rows for part in told or ()))
            self._flush(now)

    async def _read(self, site: str, group: int, sql: str) -> list[list[str]]:
        answered: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        cls = self.catalogue.classes[self.catalogue.learn_class, site]
        left_ms = min(LEARN_MS, self.core.settings.classes[cls].deadline_ms)
        request = ClientRequest(
            SUBREQUEST_FRONT,
            cls,
            ticket(f"{time.time_ns()}:{self.fleet.name}", sql),
            sql,
            clock(),
            left_ms,
            lambda answer: answered.done() or answered.set_result(answer),
            group=group,
        )
        if not self.core.submit(request):
            raise _SummaryQueryError("full")
        answer = await answered
        if answer.status != ResponseStatus.SERVED:
            raise _SummaryQueryError(answer.status)
        rows: list[list[str]] = answer.result[0]
        return rows

    def _cells(self, column: Column, rows: list[list[str]]) -> list[tuple[int, str]]:
        """A column's distinct values; a text that looks like null may be either."""
        null = self.catalogue.settings.null
        if len(rows) > MOST_DISTINCT:
            return [(UNKNOWN, "")]
        out: list[tuple[int, str]] = []
        for (text,) in rows:
            if text == null:
                out.append((0, ""))
                if column.type == TEXT:
                    out.append((KINDS[str], text))
            else:
                found = value(text, column.type, null)
                out.append((KINDS[type(found)], canonical(found)))
        return out

    # What is told, and the end.

    def figures(self) -> dict[str, Any]:
        """Return the figures for the operators' port."""
        now, counts = monotonic(), self.telemetry.counts
        waits = sorted(self.waits)
        return {
            "open": self.open,
            "requests": counts["scatter_requests", "", ""],
            "parts": counts["scatter_parts", "", ""],
            "left_out": counts["scatter_left_out", "", ""],
            "without_lease": counts["scatter_without_lease", "", ""],
            "turned_down": counts["scatter_turned_down", "", ""],
            "loads_unannounced": counts["scatter_loads_unannounced", "", ""],
            "loads_unconfirmed": counts["scatter_loads_unconfirmed", "", ""],
            "load_wait_ms_p99": round(waits[int(0.99 * (len(waits) - 1))], 1) if waits else None,
            "leases": sorted(key for key in self.holder.leases if self.holder.summary(now, key) is not None)
            if self.holder
            else [],
            "keeps": {
                key: {
                    "known": shelf.summary is not None,
                    "version": shelf.version,
                    "holders": len(shelf.holders),
                    "standing": len(shelf.standing),
                }
                for key, shelf in self.home.records.items()
            }
            if self.home
            else {},
        }

    def give_up(self) -> None:
        """Answer, at the program's end, the loads that have no part under way; the core answers for the parts."""
        for turn in list(self.turns.values()):
            if turn.part is None or turn.result is not None:
                self._end(
                    turn,
                    Response(ResponseStatus.REJECTED if turn.part is None else ResponseStatus.FAILED),
                    turn.part is None,
                )

    def close(self) -> None:
        """Stop timers and learning tasks, and tell the homes that no summary of theirs is used any more."""
        for timer in (self._timer, self._look):
            if timer is not None:
                timer.cancel()
        for task in list(self._learning.values()):
            task.cancel()
        if self.holder is not None:
            self.holder.release_all()
            self._flush(monotonic())
            if self._timer is not None:
                self._timer.cancel()
        self.home = self.holder = None


class _SummaryQueryError(Exception):
    """A query that learns was not served."""
