"""The HTTP front: serves clients of the platform that speak HTTP/1.1.

Routes each call by its path, validates requests and submits them to the core, rejects calls beyond its limits, and
manages the connections of all clients. Its parts are in net/http/: `listener` accepts connections, `clients` handles
one connection, `connection_limits` decides which connections are closed, and `calls` and `request_registry` hold calls,
paths and responses.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from frostspindle.config import Config
from frostspindle.core import ArrivalClock, ClientRequest, Core
from frostspindle.ledger.tenant_rules import RequestAttributes
from frostspindle.ledger.tenants import UnknownTenantError
from frostspindle.net import fields as request_fields
from frostspindle.net.fields import CallRejectedError
from frostspindle.net.http import connection_limits
from frostspindle.net.http.calls import FRONT, OpenRequest, PendingCall
from frostspindle.net.http.clients import ClientConnection
from frostspindle.net.http.connection_limits import RECEIVING, ConnectionStep
from frostspindle.net.http.connection_log import CloseReason, ConnectionLog
from frostspindle.net.http.id_claims import IdClaims, WorkerIds
from frostspindle.net.http.input_backlog import InputBacklog
from frostspindle.net.http.input_buffer import READ_BYTES
from frostspindle.net.http.input_scheduler import InputScheduler
from frostspindle.net.http.listener import ConnectionRoom, Listener
from frostspindle.net.http.request_registry import DepartureReason, RequestRegistry
from frostspindle.net.http.statements import schema, table_group
from frostspindle.policy import Idempotency
from frostspindle.telemetry import Telemetry

CALL_PREFIX = b"/call/"  # of the paths of requests
SWEEP_INTERVAL_S = 0.2
MAX_PIPELINED_CALLS = 16  # accepted on one connection while earlier ones are unanswered; further requests are refused
DEFAULT_RETRY_MS = 200  # Retry-After-Ms of the front's own rejections
CLOSE_GRACE_S = 0.3  # at shutdown, how long to wait for clients that still send
QUIET_S = 0.04  # a client that sent nothing for this long has finished
FINAL_PASSES = 5  # over the connections after the grace period, to answer late calls


class WorkerRelay(WorkerIds, Protocol):
    """Connects this front to the fronts of other workers; not used in a single process."""

    def relay_call(self, call: PendingCall, method: bytes, path: str, url: bytes) -> bool:
        """Relay a call for an unknown path to the worker that owns it; return whether there is one."""

    def abandon(self, call: PendingCall) -> None:
        """Cancel a relayed call, as its client has disconnected."""

    def accepts(self) -> bool:
        """Return whether this worker should accept a new connection before the others do."""


class HttpFront:
    """The front for HTTP clients."""

    def __init__(self, config: Config, core: Core, telemetry: Telemetry) -> None:
        self.config, self.core, self.telemetry = config, core, telemetry
        self.loop = asyncio.get_running_loop()
        self.sockets = config.limits.sockets  # descriptors of this process; clients get a share
        self.arrival_clock = ArrivalClock.of(self.loop)
        self.connection_log = ConnectionLog(telemetry)
        self.id_claims = IdClaims(self.connection_log)
        self.share_descriptors(False)
        self.prefix = ""  # of response paths; identifies the worker if there are several
        self.relay: WorkerRelay | None = None
        self.tenant: Callable[[RequestAttributes, bytes | None], int] | None = None
        self.annotate_request: Callable[[ClientRequest, dict[bytes, bytes]], None] | None = (
            None  # reads further headers
        )
        self.max_memory_mb = max((*core.settings.kind_memory_mb, 1.0))
        self.classes = {name.encode(): number for number, name in enumerate(config.classes)}
        self.ordered_classes = [
            number for number, request_class in enumerate(core.settings.classes) if request_class.in_order
        ]
        self.keeps_order = bool(self.ordered_classes)
        self.clients: set[ClientConnection] = set()
        self.held_memory = core.held_memory
        self.input_memory = core.input_memory
        self.input_scheduler = InputScheduler(self.loop, lambda: self.arrival_clock.count)
        self.input_backlog = InputBacklog()
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.unsent_answers: dict[ClientConnection, None] = {}
        self.listener = Listener(
            self.loop,
            telemetry,
            lambda since_ms: ClientConnection(self, since_ms),
            ConnectionRoom(self._has_room, self._make_room_to_accept, self._count_silent),
        )
        self.input_backlog.queued_since_ms = self.listener.queued_since_ms
        self.registry = RequestRegistry(core, self.loop, self.id_claims)
        self.registry.is_cancelled_elsewhere = self.id_claims.is_cancelled_elsewhere
        self.registry.on_refused_unseen = lambda: self.connection_log.call_refused(CloseReason.HIDDEN_END)
        self.connection_ended = self.registry.connection_ended
        self._sweeper: asyncio.TimerHandle | None = None
        self._drained_at = math.inf
        self.is_finishing = False  # the open requests are about to be ended, and no path can be polled for long
        max_ms = core.settings.max_retry_after_ms
        self.retry_after_header = (
            f"Retry-After-Ms: {min(DEFAULT_RETRY_MS, max(1, int(max_ms))) if max_ms > 0 else DEFAULT_RETRY_MS}\r\n"
        )

    def start(self) -> None:
        """Accept from the inherited socket or a new one. Raise OSError if it cannot be opened."""
        if self.relay is not None:
            self.listener.may_accept = self.relay.accepts
            self.id_claims.workers = self.relay
        self.listener.start(self.config)
        self._sweep()

    def leave(self) -> None:
        """Stop accepting; connections queued at an inherited socket are left to the other process."""
        self.listener.close()

    @property
    def port(self) -> int:
        """TCP port of the listening socket; 0 before the start."""
        return self.listener.port

    @property
    def unfetched_responses(self) -> int:
        """Number of requests whose last response has not been fetched yet."""
        return self.registry.unfetched_responses

    @property
    def connections(self) -> int:
        """Number of established client connections."""
        return len(self.clients)

    @property
    def open_connections(self) -> int:
        """Number of connections, including those accepted in this turn of the event loop."""
        return len(self.clients) + self.listener.joining

    @property
    def is_receiving_request(self) -> bool:
        """Whether a request is partly received; `_sweep` times these out."""
        return any(client.state() == RECEIVING for client in self.clients)

    def finish(self) -> None:
        """Accept nothing more, at shutdown; reject partly received requests."""
        self.listener.accept_queued()
        self._drained_at = -math.inf
        self.is_finishing = True
        for client in list(self.clients):
            if client.state() == RECEIVING:
                client.finish()

    async def close(self, until_s: float = math.inf) -> None:
        """Stop accepting, let clients take their responses, then close all connections.

        Clients have CLOSE_GRACE_S, or until `until_s` (loop time) if that is sooner. Calls that arrived while the
        process was not running are still answered.
        """
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.leave()
        deadline = min(self.loop.time() + CLOSE_GRACE_S, until_s)
        while (now := self.loop.time()) < deadline and not all(
            client.is_quiescent(now - QUIET_S) for client in self.clients
        ):
            await self._finish_clients()
        for _ in range(FINAL_PASSES):
            if not any(client.has_call_pending() for client in self.clients):
                break
            await self._finish_clients()
        for client in list(self.clients):
            client.transport.close()

    async def _finish_clients(self) -> None:
        for client in list(self.clients):
            client.finish()
        await asyncio.sleep(QUIET_S / 4.0)

    def share_descriptors(self, is_sharing: bool) -> None:
        """Set the connection limits; while two processes serve, they share the descriptors and tell each other ids."""
        self.id_claims.is_sharing = is_sharing
        self.max_clients = connection_limits.max_connections(self.sockets, is_sharing)
        self.reserved_connections = connection_limits.reserved_connections(self.max_clients, is_sharing)

    # Draining.

    @property
    def draining(self) -> bool:
        """Whether the front is draining."""
        return self._drained_at < math.inf

    def drain(self) -> None:
        """Begin a drain: accept requests for DRAIN_LAST_REQUEST_S more; close connections without open calls."""
        self._drained_at = min(self._drained_at, self.loop.time())

    def resume(self) -> None:
        """End a drain: accept requests and keep connections again."""
        self._drained_at = math.inf

    # Connections.

    def register(self, client: ClientConnection) -> None:
        """Register a connection; over the limit, close another one or mark this one `is_over_limit`."""
        self.clients.add(client)
        client.is_over_limit = not self._make_room(client, connection_limits.RECLAIM_FOR_CONNECTION)

    def _make_room(self, newest: ClientConnection | None, min_score: float) -> bool:
        """Close the connections with the best reclaim scores, of at least `min_score`, until the limit is met.

        Connections with open or unread calls stay; those that are closing already do not count. Return whether the
        limit is met.
        """
        if len(self.clients) <= self.max_clients:
            return True
        excess, now = sum(not client.is_closing for client in self.clients) - self.max_clients, self.loop.time()
        ranked = (
            [
                (connection_limits.reclaim_score(client.state(), now - client.state_since), client)
                for client in self.clients
                if client is not newest and not client.is_closing
            ]
            if excess > 0
            else []
        )
        # Connections with a partial request or an expected poll are closed last.
        for score, client in sorted(
            ranked, key=lambda entry: (entry[1].is_receiving or entry[1].expects_poll, -entry[0])
        ):
            if excess <= 0:
                break
            if score >= min_score and client.reclaim():
                self.telemetry.count("places_cleared", FRONT)
                self.connection_log.connection_ended(
                    CloseReason.TOO_MANY_CONNECTIONS, connections=len(self.clients), receiving=client.is_receiving
                )
                excess -= 1
        return excess <= 0

    def _has_room(self) -> bool:
        """Return whether a connection may be accepted without closing another one."""
        return self.open_connections < self.max_clients

    def _count_silent(self) -> None:
        """Count a connection that was closed in the accept queue, as it had sent nothing and its place was needed."""
        self.telemetry.count("places_cleared", FRONT)
        self.connection_log.connection_ended(
            CloseReason.TOO_MANY_CONNECTIONS, connections=len(self.clients), receiving=False
        )

    def _make_room_to_accept(self) -> bool:
        """Close connections that may be closed for one with a request.

        Return whether that one may be accepted, if only to reject its request.
        """
        self._make_room(None, connection_limits.RECLAIM_FOR_CONNECTION)
        now = self.loop.time()
        for client in list(self.clients):
            if client.is_closing and now - client.state_since > connection_limits.CLOSING_RECLAIM_S:
                self.clients.discard(client)
                client.transport.abort()
        return self.open_connections < self.max_clients + self.reserved_connections

    def _sweep(self) -> None:
        """Close connections that timed out; clients get a response or a close within 3 s of connecting.

        Once the front finishes, `close` ends the connections: clients that are slow to poll get their answers first.
        """
        if self.is_finishing:
            return
        self._sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        for client in list(self.clients):
            # While reading is paused the event loop does not report a hang-up.
            if not client.is_closing and not client.transport.is_reading() and not client.is_connected():
                continue
            step = connection_limits.next_step(
                client.state(),
                now - client.state_since,
                now - client.write_paused_at,
                now - self._drained_at,
                client.expects_poll,
            )
            if step is ConnectionStep.KEEP:
                continue
            reason = CloseReason(step.name.lower())
            self.connection_log.connection_ended(reason, path_awaited=client.expects_poll)
            if step is ConnectionStep.ABORT:
                client.transport.abort()
            elif step is ConnectionStep.REQUEST_TOO_SLOW:
                if (
                    client.has_unread()
                    and now - client.state_since < connection_limits.REQUEST_TIMEOUT_S + 2 * SWEEP_INTERVAL_S
                ):
                    continue  # the rest of the request may be unread
                self.telemetry.count("slow_clients", FRONT)
                client.reject(CallRejectedError(408, "the request did not come in time"), reason)
            elif step is ConnectionStep.REJECT_IN_DRAIN:
                client.reject(CallRejectedError(503, "Busy"), reason)
            else:
                if step is ConnectionStep.CLOSE_SILENT:
                    self.telemetry.count("silent_clients", FRONT)
                client.end()

    def write_waiting_answers(self) -> None:
        """Write the answers of connections in `unsent_answers`, as there is room again."""
        while self.unsent_answers and self.held_memory.may_send:
            client = next(iter(self.unsent_answers))
            del self.unsent_answers[client]
            client.flush()

    def call_abandoned(self, call: PendingCall) -> None:
        """Drop a call whose connection has ended."""
        self.registry.call_abandoned(call)
        if self.relay is not None:
            self.relay.abandon(call)

    # One call.

    def call(self, call: PendingCall, method: bytes, url: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        """Answer a complete call or submit its request to the core.

        Raise CallRejectedError for a 4xx, which ends the connection. A POST gets a 503 if the connection is over the
        limit, the drain no longer accepts requests, or the core is full; GET waits for a page or the result; DELETE
        cancels the request. Calls for paths of other workers are relayed.
        """
        if not url.startswith(CALL_PREFIX):
            if url != b"/ping":
                raise CallRejectedError(404, "no such path")
            if method not in (b"GET", b"HEAD"):
                raise CallRejectedError(405, "only GET")
            if self.draining:
                call.reply(503, {"failure": "Busy"}, self.retry_after_header, last=True)
                return
            call.reply(200) if method == b"HEAD" else call.reply(200, "ok")
            return
        if method == b"POST":
            self._post(call, url[len(CALL_PREFIX) :], fields, body)
            return
        path, _, page = url.decode("latin-1").rpartition("/")
        opened = self.registry.open.get(path)
        if opened is None and self.relay is not None and self.relay.relay_call(call, method, path, url):
            return
        if method == b"DELETE":
            self._delete(call, path, opened)
        elif method != b"GET":
            raise CallRejectedError(405, "only POST, GET and DELETE")
        elif opened is None or not (page.isascii() and page.isdecimal()) or len(page) > 4:
            raise CallRejectedError(404, "no such request")
        else:
            call.opened, call.page = opened, int(page)
            self.registry.wait(call)

    def _delete(self, call: PendingCall, path: str, opened: OpenRequest | None) -> None:
        """Cancel a request, which may belong to the other process of an upgrade; reject a DELETE on any other path."""
        if opened is not None:
            self.registry.abandon(opened, DepartureReason.DELETED)
        elif not self.id_claims.cancel_elsewhere(path):
            raise CallRejectedError(404, "no such request")
        call.reply(204)

    def _post(self, call: PendingCall, class_name: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        """Validate a request and submit it to the core if there is capacity."""
        if class_name not in self.classes:
            raise CallRejectedError(404, "no such class")
        number = self.classes[class_name]
        class_settings = self.core.settings.classes[number]
        uses_idempotency_key = class_settings.idempotency == Idempotency.WITH_KEY
        request_head = request_fields.read_request(
            fields,
            number,
            class_settings.deadline_ms,
            self.max_memory_mb,
            class_settings.in_order,
            uses_idempotency_key,
        )
        statement = _read_statement(body)
        tenant = self._tenant_of(call, fields, statement, request_head.tenant)
        if request_head.ticket in self.registry.ids:
            raise CallRejectedError(409, "X-Request-Id: this request is already open")
        if not call.client.is_connected():
            return
        is_repeatable = class_settings.idempotency == Idempotency.IDEMPOTENT
        if not self._has_capacity(call, number) or not self._claim_id(call, request_head.ticket, is_repeatable):
            return
        opened = self.registry.new(request_head.ticket, f"/call/{class_name.decode()}/{self.prefix}")
        request = ClientRequest(
            FRONT,
            number,
            request_head.ticket,
            statement,
            call.client.received_ms,
            request_head.timeout_ms,
            opened.on_response,
            request_head.cost_ms,
            request_head.memory_mb,
            table_group(statement),
            tenant=tenant,
            key=request_head.key,
            class_keys=request_fields.class_key_numbers(fields, self.ordered_classes) if request_head.key else (),
            arrived_ms=call.client.arrived_ms() if request_head.key else 0.0,
            idempotency_key=request_head.idempotency_key,
            is_client_connected=lambda: self.registry.is_connected(opened),
        )
        self._annotate(request, fields)
        if request_head.retry:
            self.telemetry.count("client_retries", FRONT, self.core.classes[number][1])
        self._submit(call, opened, request)

    def ordering_key(self, url: bytes, fields: dict[bytes, bytes]) -> int:
        """Return the ordering key of the request with this head, 0 if it has none."""
        number = self.classes.get(url[len(CALL_PREFIX) :]) if url.startswith(CALL_PREFIX) else None
        if number not in self.ordered_classes:
            return 0
        try:
            return request_fields.ordering_key(fields)
        except CallRejectedError:  # once the request is complete
            return 0

    def _tenant_of(self, call: PendingCall, fields: dict[bytes, bytes], statement: str, named: bytes | None) -> int:
        """Return the number of the request's tenant; raise CallRejectedError if it is unknown."""
        if self.tenant is None:
            return 0
        peer = call.client.transport.get_extra_info("peername") or ("",)
        attributes = RequestAttributes(FRONT, peer[0], fields, schema=schema(statement))
        try:
            return self.tenant(attributes, named)
        except UnknownTenantError as unknown:
            raise CallRejectedError(400, f"X-Tenant: {unknown}") from None

    def _has_capacity(self, call: PendingCall, number: int) -> bool:
        """Return whether one more request may be submitted; if not, answer the call."""
        client = call.client
        client.is_over_limit = client.is_over_limit and not self._make_room(
            client, connection_limits.RECLAIM_FOR_REQUEST
        )
        reason = self._refusal_reason(client)
        if reason is None:
            return True
        self.connection_log.call_refused(reason)
        self.telemetry.count("full", FRONT, self.core.classes[number][1])
        call.reply(503, {"failure": "Busy"}, self.retry_after_header, last=client.is_over_limit)
        return False

    def _refusal_reason(self, client: ClientConnection) -> CloseReason | None:
        """Return why the front accepts no request on a connection now, or None if it does."""
        if client.is_over_limit:
            return CloseReason.TOO_MANY_CONNECTIONS
        if len(client.pending_calls) > MAX_PIPELINED_CALLS:
            return CloseReason.TOO_MANY_CALLS
        if not connection_limits.accepts_requests(self.loop.time() - self._drained_at):
            return CloseReason.REJECTED_IN_DRAIN
        return None

    def _claim_id(self, call: PendingCall, ticket: str, is_repeatable: bool) -> bool:
        """Claim the request's id among workers and processes; if that fails, answer or reject the call."""
        rejection = self.id_claims.claim(ticket, is_repeatable)
        if rejection is None:
            return True
        if rejection.status < 500:
            raise rejection
        call.reply(
            rejection.status, {"failure": rejection.text}, self.retry_after_header if rejection.status == 503 else ""
        )
        return False

    def _annotate(self, request: ClientRequest, fields: dict[bytes, bytes]) -> None:
        """Let optional parts read further headers; raise CallRejectedError for invalid ones."""
        if self.annotate_request is None:
            return
        try:
            self.annotate_request(request, fields)
        except CallRejectedError:
            self.id_claims.release_unsent(request.ticket)
            raise

    def _submit(self, call: PendingCall, opened: OpenRequest, request: ClientRequest) -> None:
        if not self.core.submit(request):
            self.id_claims.release_unsent(request.ticket)
            self.connection_log.call_refused(CloseReason.OPEN_REQUESTS)
            call.reply(503, {"failure": "Busy"}, self.retry_after_header)
            return
        opened.request = request
        opened.client_until_s = self.loop.time() + request.timeout_ms / 1000.0
        call.opened = opened
        call.page = -1
        self.registry.ids.add(request.ticket)
        self.registry.wait(call)


def _read_statement(body: bytes) -> str:
    """Return the statement in a body; raise CallRejectedError if there is none."""
    try:
        statement = body.decode()
    except UnicodeDecodeError:
        raise CallRejectedError(400, "the statement is not UTF-8") from None
    if not statement.strip():
        raise CallRejectedError(400, "the statement is empty")
    return statement
