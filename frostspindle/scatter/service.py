"""Scatter/gather in the program: requests on spread tables, their parts, and the messages about summaries.

Takes such requests from the fronts before the core's ledger, runs the timers of the lease protocol, and queries sites
to learn their summaries. Nothing is sent to an engine from here: parts, loads and these queries are submitted to the
core as requests of their own. The decisions are made elsewhere: which sites are skipped in `leases` and `predicates`,
what a statement becomes in `plan`, and what the parts' responses become in `gather`.
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
from frostspindle.held_memory import HeldPurpose, MemoryCharge
from frostspindle.net.http.results import LazyRows, ResultText, held_bytes
from frostspindle.predicates import may_match
from frostspindle.predicates.values import KINDS, canonical
from frostspindle.scatter import wire
from frostspindle.scatter.gather import Gather, GatheredResponse, estimates
from frostspindle.scatter.leases import UNKNOWN_KIND, Load, LoadIntent, SummaryCache, SummaryHome, SummaryLeaseSettings
from frostspindle.scatter.merge import MergeMismatchError, value
from frostspindle.scatter.plan import InsertedRows, Planner, step_cells
from frostspindle.telemetry import Telemetry

if TYPE_CHECKING:
    from frostspindle.fleet.node import FleetNode
    from frostspindle.fleet.service import FleetService as Fleet

CHANNEL = 2
MERGE_RESERVE_MS = 10.0  # of a request's time, reserved for the merge
CONFIRM_FRACTION = 0.1  # of a load's time, reserved for its confirmation
ANNOUNCE_FRACTION = 0.6  # of a load's time, after which it is rejected if it is not announced yet
FLEET_RETRY_S = 0.05  # interval at which a load checks whether the fleet has started
LEARN_CHECK_S = 0.25  # interval of the search for summaries to learn
MAX_CONCURRENT_LEARNING = 2  # summaries
MAX_DISTINCT_VALUES = 50_000  # of a column; with more it is learnt as unknown
LEARN_QUERY_TIMEOUT_MS = 20_000.0


def monotonic() -> float:
    """Return the monotonic time in ms; it advances while the process is stopped."""
    return time.monotonic() * 1000.0


def ticket(request_ticket: str, site: str) -> str:
    """Return the ticket of a part, in the same form as a client's."""
    return blake2b(f"{request_ticket}:{site}".encode(), digest_size=8).hexdigest()


@dataclass(slots=True, eq=False)
class _ScatteredQuery:
    request: ClientRequest
    gather: Gather
    parts: dict[str, ClientRequest]
    charge: MemoryCharge  # of the rows that wait for those of other sites


@dataclass(slots=True, eq=False)
class _ScatteredLoad:
    """A load, which is announced, sent and confirmed."""

    request: ClientRequest
    site: str
    announcement: Load | None = None
    part: ClientRequest | None = None
    result: Any = None
    timer: asyncio.TimerHandle | None = None
    started_at: float = 0.0
    columns: tuple[str, ...] = ()  # columns with a summary that it wrote; all of them if not known


class ScatterService:
    """Scatter/gather of one process; a frostspindle.fleet.service.FleetChannel."""

    channel = CHANNEL

    def __init__(self, catalogue: Catalogue, core: Core, telemetry: Telemetry, fleet: Fleet, classes: int) -> None:
        self.catalogue, self.core, self.telemetry, self.fleet = catalogue, core, telemetry, fleet
        self.classes = classes  # of the front whose requests are scattered; higher numbers are other fronts'
        section = catalogue.settings
        self.planner = Planner(catalogue)
        self.settings = SummaryLeaseSettings(
            section.lease_ms, section.drift, catalogue.digest, section.keep_ms, section.bits
        )
        self.home: SummaryHome | None = None
        self.holder: SummaryCache | None = None
        self.queries: dict[ClientRequest, _ScatteredQuery] = {}
        self.loads: dict[ClientRequest, _ScatteredLoad] = {}
        self.key_queues: dict[int, deque[_ScatteredLoad]] = {}  # loads of one key, in the order accepted
        # Called for each load that is answered as served, with its site, group and columns.
        self.loaded: Callable[[str, int, tuple[str, ...]], None] = lambda site, group, columns: None
        self.announce_waits_ms: deque[float] = deque(maxlen=1_000)  # of the last loads
        self._timer: asyncio.TimerHandle | None = None
        self._learn_timer: asyncio.TimerHandle | None = None
        self._learning_tasks: dict[str, asyncio.Task[None]] = {}

    # Called by the fleet.

    def on_started(self, now: float, node: FleetNode) -> None:
        """Create both sides of the lease protocol with the node's epoch, and start learning the summaries whose home
        this process is. Called once this process has the fleet's port.
        """
        homes = {key: home_of(key, node.homes) for key in self.catalogue.all_keys()}
        own_columns = {
            key: self.catalogue.summary_columns(site_of(key)[1]) for key, home in homes.items() if home == node.name
        }
        self.home, self.holder = (
            SummaryHome(node.epoch, self.settings, own_columns, now),
            SummaryCache(self.settings, homes),
        )
        self.telemetry.log(
            "scatter_started",
            sites=len(self.catalogue.sites),
            groups=len(self.catalogue.groups),
            keeps=len(own_columns),
        )
        self._check_learning()

    def on_message(self, now: float, name: str, epoch: int, data: bytes) -> None:
        """Decode and dispatch a member's message and send the responses; undecodable messages are counted."""
        self._dispatch(now, name, epoch, data)
        self._flush(now)

    def on_member_changed(self, now: float, name: str, state: str) -> None:
        """Do nothing: leases end only by time, as a member that is thought dead may just be cut off."""

    def _dispatch(self, now: float, name: str, epoch: int, data: bytes) -> None:
        if self.home is None or self.holder is None:
            return
        try:
            message = wire.decode(data)
        except wire.InvalidPacketError:
            self.telemetry.count("scatter_undecodable")
            return
        kind = type(message)
        if kind is wire.LeaseRequest:
            self.home.on_lease_request(now, name, epoch, message)
        elif kind is wire.UpdateAcknowledged:
            self.home.on_update_acknowledged(now, name, epoch, message)
        elif kind is wire.LoadAnnounced:
            self.home.on_load_announced(now, name, epoch, message)
        elif kind is wire.LoadEnded:
            self.home.on_load_ended(now, name, epoch, message)
        elif kind is wire.ReleaseLease:
            self.home.on_release_lease(now, name, epoch, message)
        elif kind is wire.LeaseUnchanged:
            self.holder.on_lease_unchanged(now, name, epoch, message)
        elif kind is wire.SummaryPiece:
            self.holder.on_summary_piece(now, name, epoch, message)
        elif kind is wire.SummaryUpdated:
            self.holder.on_summary_updated(now, name, epoch, message)
        elif kind is wire.LoadPermitted:
            self.holder.on_load_permitted(now, name, epoch, message)
        else:
            self.holder.on_load_recorded(now, name, epoch, message)

    def _flush(self, now: float) -> None:
        """Deliver outgoing messages, also those to this process, continue changed loads, and schedule the next tick."""
        home, holder = self.home, self.holder
        if home is None or holder is None or self.fleet.node is None:
            return
        own_name, epoch = self.fleet.name, self.fleet.node.epoch
        while home.outbox or holder.outbox or holder.changed_loads:
            sending = home.outbox + holder.outbox
            home.outbox, holder.outbox = [], []
            changed_loads, holder.changed_loads = holder.changed_loads, []
            for announcement in changed_loads:
                self._on_load_state_changed(announcement)
            for name, data in sending:
                if name == own_name:
                    self._dispatch(now, own_name, epoch, data)
                elif len(data) <= wire.MAX_MESSAGE_BYTES:
                    self.fleet.post(name, CHANNEL, data)
                else:
                    self.telemetry.count("scatter_too_long")
        if self._timer is not None:
            self._timer.cancel()
        next_tick_ms = min(home.next_tick_ms(now), holder.next_tick_ms())
        if next_tick_ms < float("inf"):
            self._timer = asyncio.get_running_loop().call_later(
                max(0.001, (next_tick_ms - monotonic()) / 1000.0), self._tick
            )

    def _tick(self) -> None:
        if self.home is not None and self.holder is not None:
            now = monotonic()
            self.home.tick(now)
            self.holder.tick(now)
            self._flush(now)

    # Called by the core.

    @property
    def open(self) -> int:
        """Number of scattered queries and loads that have no response yet."""
        return len(self.queries) + len(self.loads)

    def try_take(self, request: ClientRequest) -> bool | None:
        """Accept a request on spread tables: True if accepted, False if too many are open, None for other tables."""
        if request.group not in self.catalogue.groups or request.front == SUBREQUEST_FRONT:
            return None
        name = self.core.classes[request.cls][1]
        if self.core.open >= self.core.max_open_requests:
            self.telemetry.count("full", request.front, name)
            return False
        self.telemetry.count("taken", request.front, name)
        if request.cls >= self.classes:
            self._respond_later(request, Response(ResponseStatus.REJECTED, reason="not scatterable: not by this front"))
        elif request.cls in self.catalogue.loads:
            self._start_load(request)
        else:
            self._start_query(request)
        return True

    def client_disconnected(self, request: ClientRequest) -> bool:
        """Drop a request whose client has disconnected, and cancel its parts.

        Return False if it was not accepted here.
        """
        if (query := self.queries.pop(request, None)) is not None:
            query.gather.on_client_disconnected()
            query.charge.release()
            for site in query.gather.open:
                if site in query.parts:
                    self.core.client_disconnected(query.parts[site])
        elif (load := self.loads.pop(request, None)) is not None:
            self._clean_up(load, load.part is None)
            if load.part is not None:
                self.core.client_disconnected(load.part)
        else:
            return request.group in self.catalogue.groups and request.front != SUBREQUEST_FRONT
        self.telemetry.count("left", request.front, self.core.classes[request.cls][1])
        return True

    def subrequests(self, request: ClientRequest) -> Sequence[ClientRequest]:
        """Return the unanswered parts of a request."""
        if (query := self.queries.get(request)) is not None:
            return [query.parts[site] for site in query.gather.open if site in query.parts]
        load = self.loads.get(request)
        return [load.part] if load is not None and load.part is not None else []

    def _submit_part(self, request: ClientRequest, part: ClientRequest) -> bool:
        """Submit a part of a client's request, which is not sent while that client is suspended or has disconnected."""
        part.is_client_connected = request.is_client_connected
        part.is_suspended = request.is_suspended
        return self.core.submit(part)

    def _respond_later(self, request: ClientRequest, response: Response) -> None:
        """Respond once the front has recorded that the request is accepted."""
        asyncio.get_running_loop().call_soon(self._respond, request, response)

    def _respond(self, request: ClientRequest, response: Response) -> None:
        self.telemetry.count(response.status, request.front, self.core.classes[request.cls][1])
        if response.reason:
            self.telemetry.count(
                "scatter_turned_down" if response.status == ResponseStatus.REJECTED else "scatter_unmerged"
            )
        request.on_response(response)
        request.statement = ""

    @staticmethod
    def _remaining_ms(request: ClientRequest) -> float:
        return request.timeout_ms - (clock() - request.received_ms)

    # Queries.

    def _start_query(self, request: ClientRequest) -> None:
        plan = self.planner.plan(request.group, request.statement)
        if plan.refused:
            self._respond_later(request, Response(ResponseStatus.REJECTED, reason=plan.refused))
            return
        sites = self.catalogue.sites_of(request.group)
        skipped, rows = self._sites_to_skip(request.group, sites, plan.predicate)
        queried_sites = [site for site in sites if site not in skipped]
        self.telemetry.count("scatter_requests")
        self.telemetry.count("scatter_parts", amount=len(queried_sites))
        self.telemetry.count("scatter_left_out", amount=len(skipped))
        query = _ScatteredQuery(
            request,
            Gather(
                plan.merge,
                queried_sites,
                self.catalogue.settings.null,
                request.partial,
                self.catalogue.settings.most_rows,
            ),
            {},
            self.core.held_memory.charge(HeldPurpose.RESULTS, 0),
        )
        if (gathered := query.gather.start()) is not None:
            self._respond_later(request, self._to_response(gathered))
            return
        self.queries[request] = query
        _, rank = estimates(request.cost_ms, [rows.get(site) for site in queried_sites])
        for site in queried_sites:
            query.parts[site] = ClientRequest(
                SUBREQUEST_FRONT,
                self.catalogue.classes[request.cls, site],
                ticket(request.ticket, site),
                plan.statement or request.statement,
                clock(),
                max(1.0, self._remaining_ms(request) - MERGE_RESERVE_MS),
                partial(self._on_part_response, query, site),
                rank,
                request.memory_mb,
                request.group,
                request.database,
                request.tenant,
            )
        for site, part in query.parts.items():
            if not self._submit_part(request, part):
                asyncio.get_running_loop().call_soon(
                    self._on_part_response, query, site, Response(ResponseStatus.REJECTED)
                )

    def _sites_to_skip(self, group: int, sites: Sequence[str], predicate: Any) -> tuple[set[str], dict[str, int]]:
        """Return the sites that can be skipped, and the row counts of the sites that have a summary."""
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
        # The process may have been stopped meanwhile, so check that the leases are still valid.
        now = monotonic()
        skipped = {site for site in skipped if self.holder.summary(now, key_of(site, group)) is not None}
        return skipped, rows

    def _on_part_response(self, query: _ScatteredQuery, site: str, response: Response) -> None:
        if response.status == ResponseStatus.SERVED:
            query.charge.resize(query.charge.size + held_bytes(response.result.pages))
            gathered = query.gather.on_part_rows(site, LazyRows(response.result))
        else:
            gathered = query.gather.on_part_failed(site, response.status, response.retry_after_ms)
        if query.gather.is_finished:
            query.charge.release()
        if gathered is None or self.queries.pop(query.request, None) is None:
            return
        for other in query.gather.open:
            self.core.client_disconnected(query.parts[other])
        self._respond(query.request, self._to_response(gathered))

    def _to_response(self, gathered: GatheredResponse) -> Response:
        if gathered.status != ResponseStatus.SERVED:
            return Response(gathered.status, None, gathered.retry_after_ms, gathered.reason)
        if gathered.missing:
            self.telemetry.count("scatter_partial")
        return Response(
            ResponseStatus.SERVED, ResultText.from_rows(gathered.rows), missing_parts=",".join(gathered.missing)
        )

    # Loads.

    def _start_load(self, request: ClientRequest) -> None:
        rows = self.planner.load(request.group, request.statement)
        sites = self.catalogue.sites_of(request.group)
        site = request.site or (home_of(rows.places[0], sites) if len(rows.places) == 1 else "")
        if site not in sites:
            self._respond_later(
                request,
                Response(
                    ResponseStatus.REJECTED, reason="not scatterable: a load of one site's rows names it in X-Site"
                ),
            )
            return
        columns = (
            self.catalogue.summary_columns(request.group)
            if rows.cells is None
            else [name for name, cells in rows.cells.items() if cells]
        )
        load = self.loads[request] = _ScatteredLoad(
            request,
            site,
            started_at=monotonic(),
            columns=tuple(dict.fromkeys(name.removesuffix(CELL_SUFFIX) for name in columns)),
        )
        if request.key:
            self.key_queues.setdefault(request.key, deque()).append(load)
        if self.catalogue.sites[site].foreign_loads:
            self._submit_load(load)
            return
        load.timer = asyncio.get_running_loop().call_later(
            max(0.0, ANNOUNCE_FRACTION * self._remaining_ms(request)) / 1000.0, self._on_load_timeout, load
        )
        asyncio.get_running_loop().call_soon(self._announce, load, rows)

    def _announce(self, load: _ScatteredLoad, rows: InsertedRows) -> None:
        if load.request not in self.loads:
            return
        now = monotonic()
        if self.holder is None:  # during an upgrade the other process still has the fleet's port
            asyncio.get_running_loop().call_later(FLEET_RETRY_S, self._announce, load, rows)
            return
        load.announcement = self.holder.load(now, key_of(load.site, load.request.group), rows.count, rows.cells)
        if load.announcement is None:
            self._finish_load(load, Response(ResponseStatus.REJECTED), True)
        self._flush(now)

    def _on_load_state_changed(self, announcement: Load) -> None:
        load = next((load for load in self.loads.values() if load.announcement is announcement), None)
        if load is None:
            return
        if announcement.state == "ready":
            self.announce_waits_ms.append(monotonic() - load.started_at)
            self._submit_load(load)
        elif announcement.state == "kept":
            load.announcement = None
            self._finish_load(load, Response(ResponseStatus.SERVED, load.result), False)

    def _submit_load(self, load: _ScatteredLoad) -> None:
        """Submit a load that is ready, unless an earlier one of its key has not been submitted."""
        queue = self.key_queues.get(load.request.key) if load.request.key else None
        if load.part is None and (queue is None or queue[0] is load):
            request = load.request
            if load.timer is not None:
                load.timer.cancel()
            left_ms = self._remaining_ms(request)
            load.part = ClientRequest(
                SUBREQUEST_FRONT,
                self.catalogue.classes[request.cls, load.site],
                ticket(request.ticket, load.site),
                request.statement,
                clock(),
                max(1.0, left_ms * (1.0 - CONFIRM_FRACTION)),
                partial(self._on_load_response, load),
                request.cost_ms,
                request.memory_mb,
                request.group,
                request.database,
                request.tenant,
                request.key,
            )
            load.timer = asyncio.get_running_loop().call_later(max(0.0, left_ms) / 1000.0, self._on_load_timeout, load)
            if not self._submit_part(request, load.part):
                asyncio.get_running_loop().call_soon(self._on_load_response, load, Response(ResponseStatus.REJECTED))
            self._dequeue(load)

    def _dequeue(self, load: _ScatteredLoad) -> None:
        """Remove a load from its key's queue and submit the next one if it is ready."""
        queue = self.key_queues.get(load.request.key) if load.request.key else None
        if queue is None or load not in queue:
            return
        queue.remove(load)
        if not queue:
            del self.key_queues[load.request.key]
        elif (
            queue[0].announcement is None
            and self.catalogue.sites[queue[0].site].foreign_loads
            or (queue[0].announcement is not None and queue[0].announcement.state == "ready")
        ):
            self._submit_load(queue[0])

    def _on_load_response(self, load: _ScatteredLoad, response: Response) -> None:
        if load.request not in self.loads:
            return
        if response.status != ResponseStatus.SERVED:
            self._finish_load(load, response, response.status == ResponseStatus.REJECTED)
            return
        load.result = response.result
        if load.announcement is None:  # the site has foreign loads and is never skipped
            self._finish_load(load, response, False)
            return
        assert self.holder is not None
        now = monotonic()
        self.holder.ran(now, load.announcement.number)
        self._flush(now)

    def _on_load_timeout(self, load: _ScatteredLoad) -> None:
        """End a load that was not announced in time, so not sent, or not confirmed in time, so it may have run."""
        self.telemetry.count("scatter_loads_unannounced" if load.part is None else "scatter_loads_unconfirmed")
        part = load.part
        self._finish_load(
            load, Response(ResponseStatus.REJECTED if part is None else ResponseStatus.FAILED), part is None
        )
        if part is not None:
            self.core.client_disconnected(part)

    def _finish_load(self, load: _ScatteredLoad, response: Response, never_ran: bool) -> None:
        if self.loads.pop(load.request, None) is None:
            return
        self._clean_up(load, never_ran)
        if response.status == ResponseStatus.SERVED:
            self.loaded(load.site, load.request.group, load.columns)
        self._respond(load.request, response)

    def _clean_up(self, load: _ScatteredLoad, never_ran: bool) -> None:
        if load.timer is not None:
            load.timer.cancel()
        if load.announcement is not None and self.holder is not None:
            self.holder.drop_load(monotonic(), load.announcement.number, never_ran)
            asyncio.get_running_loop().call_soon(self._flush, monotonic())
        self._dequeue(load)

    # Learning summaries.

    def _check_learning(self) -> None:
        self._learn_timer = asyncio.get_running_loop().call_later(LEARN_CHECK_S, self._check_learning)
        if self.home is None or self.catalogue.learn_class < 0:
            return
        now = monotonic()
        for key in self.home.keys_to_learn(now)[: max(0, MAX_CONCURRENT_LEARNING - len(self._learning_tasks))]:
            self.home.begin_learning(key)
            task = asyncio.get_running_loop().create_task(self._learn_summary(key))
            self._learning_tasks[key] = task
            task.add_done_callback(lambda _, key=key: self._learning_tasks.pop(key, None))

    async def _learn_summary(self, key: str) -> None:
        intents: list[LoadIntent] | None = []
        try:
            site, group = site_of(key)
            table_group = self.catalogue.groups[group]
            for table in table_group.tables:
                name = f"{table_group.schema}.{table}"
                count = await self._run_query(site, group, f"SELECT COUNT(*) FROM {name}")
                cells = {}
                for column in (candidate for candidate in table_group.column if candidate.type != FLOAT):
                    read = await self._run_query(site, group, f"SELECT DISTINCT {column.name} FROM {name}")
                    cells[column.name] = column_cells = self._to_cells(column, read)
                    if column.step:
                        cells[column.name + CELL_SUFFIX] = step_cells(column_cells, column.step)
                intents.append(LoadIntent(int(count[0][0]), cells))
        except (_SummaryQueryError, MergeMismatchError, ValueError, IndexError) as error:
            intents = None
            # Texts of other errors may contain values.
            reason = str(error) if isinstance(error, _SummaryQueryError) else type(error).__name__
            self.telemetry.log("scatter_summary_failed", key=key, why=reason)
        if self.home is not None:
            now = monotonic()
            if self.home.finish_learning(now, key, intents, self.catalogue.settings.learn_ms):
                self.telemetry.log(
                    "scatter_summary_learned", key=key, rows=sum(intent.rows for intent in intents or ())
                )
            self._flush(now)

    async def _run_query(self, site: str, group: int, sql: str) -> list[list[str]]:
        response_future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        cls = self.catalogue.classes[self.catalogue.learn_class, site]
        left_ms = min(LEARN_QUERY_TIMEOUT_MS, self.core.settings.classes[cls].deadline_ms)
        request = ClientRequest(
            SUBREQUEST_FRONT,
            cls,
            ticket(f"{time.time_ns()}:{self.fleet.name}", sql),
            sql,
            clock(),
            left_ms,
            lambda response: response_future.done() or response_future.set_result(response),
            group=group,
        )
        if not self.core.submit(request):
            raise _SummaryQueryError("full")
        response = await response_future
        if response.status != ResponseStatus.SERVED:
            raise _SummaryQueryError(response.status)
        result: ResultText = response.result
        return result.rows()

    def _to_cells(self, column: Column, rows: list[list[str]]) -> list[tuple[int, str]]:
        """Return a column's distinct values as cells; a text that equals the null text counts as both."""
        null = self.catalogue.settings.null
        if len(rows) > MAX_DISTINCT_VALUES:
            return [(UNKNOWN_KIND, "")]
        cells: list[tuple[int, str]] = []
        for (text,) in rows:
            if text == null:
                cells.append((0, ""))
                if column.type == TEXT:
                    cells.append((KINDS[str], text))
            else:
                parsed = value(text, column.type, null)
                cells.append((KINDS[type(parsed)], canonical(parsed)))
        return cells

    # Figures and shutdown.

    def figures(self) -> dict[str, Any]:
        """Return the figures for the operators' port."""
        now, counts = monotonic(), self.telemetry.counts
        waits = sorted(self.announce_waits_ms)
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
                    "known": record.summary is not None,
                    "version": record.version,
                    "holders": len(record.holders),
                    "standing": len(record.open_intents),
                }
                for key, record in self.home.records.items()
            }
            if self.home
            else {},
        }

    def give_up(self) -> None:
        """Answer the loads without a part in flight, at shutdown; the core answers the parts."""
        self.key_queues.clear()  # the end of a load would submit the next one of its key
        for load in list(self.loads.values()):
            if load.part is None or load.result is not None:
                self._finish_load(
                    load,
                    Response(ResponseStatus.REJECTED if load.part is None else ResponseStatus.FAILED),
                    load.part is None,
                )

    def close(self) -> None:
        """Stop the timers and learning tasks, and release the leases on summaries."""
        for timer in (self._timer, self._learn_timer):
            if timer is not None:
                timer.cancel()
        for task in list(self._learning_tasks.values()):
            task.cancel()
        if self.holder is not None:
            self.holder.release_all()
            self._flush(monotonic())
            if self._timer is not None:
                self._timer.cancel()
        self.home = self.holder = None


class _SummaryQueryError(Exception):
    """A query that reads a site to learn its summary was not served."""
