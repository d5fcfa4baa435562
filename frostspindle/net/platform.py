"""The platform's front: clients that speak HTTP/1.1.

Routes each call by its path, checks a request and submits it to the core, rejects what goes beyond its limits, and owns
the connections of all clients together. Its parts are in net/http/: `listener` accepts, `clients` is one connection,
`connection_limits` decides whose connection ends, `calls` and `request_registry` hold calls, paths and responses.
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
from frostspindle.net.http.clients import MAX_PIPELINED_CALLS, ClientConnection
from frostspindle.net.http.connection_limits import RECEIVING, ConnectionStep
from frostspindle.net.http.listener import Listener
from frostspindle.net.http.request_registry import DepartureReason, RequestRegistry
from frostspindle.net.http.statements import schema, table_group
from frostspindle.policy import Idempotency
from frostspindle.telemetry import Telemetry

SWEEP_INTERVAL_S = 0.2
DEFAULT_RETRY_AFTER_MS = 200  # so long a client that finds the program full stays away
CLOSE_GRACE_S = 0.3  # the end waits so long for clients that still send
QUIET_S = 0.04  # and for them to be silent
FINAL_PASSES = 5  # over the connections, to answer what came late, where no time is left


class WorkerRelay(Protocol):
    """What ties this front to those of the other workers; a single process has none."""

    def claim(self, ticket: str) -> CallRejectedError | None:
        """Reserve a request id for this worker; a Refusal is returned if it can't be had."""

    def release(self, ticket: str) -> None:
        """Free a request id once its request is settled."""

    def relay_call(self, call: PendingCall, method: bytes, path: str, url: bytes) -> bool:
        """Pass a call on a path unknown here to the worker that has it; return whether one answers it."""

    def abandon(self, call: PendingCall) -> None:
        """Note that the client of a call that was passed on has gone."""

    def accepts(self) -> bool:
        """Return whether this worker should accept a new connection before the others do."""


class HttpFront:
    """The front for HTTP clients."""

    def __init__(self, config: Config, core: Core, telemetry: Telemetry) -> None:
        self.config, self.core, self.telemetry = config, core, telemetry
        self.loop = asyncio.get_running_loop()
        self.sockets = config.limits.sockets  # this process's, of which clients have a part
        self.arrival_clock = ArrivalClock.of(self.loop)
        self.share_descriptors(False)
        self.prefix = ""  # of paths: it names the worker among several
        self.relay: WorkerRelay | None = None
        self.tenant: Callable[[RequestAttributes, bytes | None], int] | None = None
        self.annotate_request: Callable[[ClientRequest, dict[bytes, bytes]], None] | None = (
            None  # what else its head says of a request
        )
        self.max_memory_mb = max((*core.settings.kind_memory_mb, 1.0))
        self.classes = {name.encode(): number for number, name in enumerate(config.classes)}
        self.clients: set[ClientConnection] = set()
        self.listener = Listener(
            self.loop, telemetry, lambda since_ms: ClientConnection(self, since_ms), self._has_room
        )
        self.registry = RequestRegistry(core, self.loop, int(config.limits.memory_mb * 2**20 / 24), self._released)
        self.connection_ended = self.registry.connection_ended
        self._sweeper: asyncio.TimerHandle | None = None
        self._drained_at = math.inf
        most_ms = core.settings.max_retry_after_ms
        self.retry_after_header = f"Retry-After-Ms: {min(DEFAULT_RETRY_AFTER_MS, max(1, int(most_ms))) if most_ms > 0 else DEFAULT_RETRY_AFTER_MS}\r\n"

    def start(self) -> None:
        """Accept from the socket that the platform holds, or from a new one; OSError if that can't be had."""
        if self.relay is not None:
            self.listener.may_accept = self.relay.accepts
        self.listener.start(self.config)
        self._sweep()

    def leave(self) -> None:
        """Stop accepting; connections that queue at an inherited socket are left to the other process."""
        self.listener.close()

    @property
    def port(self) -> int:
        """TCP port that is listened on; 0 before the start."""
        return self.listener.port

    @property
    def unfetched_responses(self) -> int:
        """Number of requests whose client has yet to fetch the last response."""
        return self.registry.unfetched_responses

    @property
    def connections(self) -> int:
        """Number of clients' connections that are set up."""
        return len(self.clients)

    @property
    def open_connections(self) -> int:
        """Number of connections, with those that were accepted in this turn."""
        return len(self.clients) + self.listener.joining

    @property
    def is_receiving_request(self) -> bool:
        """Whether a request is partly read; `_sweep` ends each in time."""
        return any(client.state() == RECEIVING for client in self.clients)

    def finish(self) -> None:
        """Take nothing more, as the program ends; a request that is partly read is refused and not just cut off."""
        self.listener.accept_queued()
        self._drained_at = -math.inf
        for client in list(self.clients):
            if client.state() == RECEIVING:
                client.finish()

    async def close(self, until_s: float = math.inf) -> None:
        """Stop accepting, give clients time to take responses and fall silent, then close all connections.

        They have LAST_S, or until `until_s` of the event loop's time if that is sooner. Calls that came while the
        process did not run are answered all the same.
        """
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.leave()
        last = min(self.loop.time() + CLOSE_GRACE_S, until_s)
        while (now := self.loop.time()) < last and not all(
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
        """Set the bounds on connections; while another process serves too, both must fit into the descriptors."""
        self.max_clients = connection_limits.max_connections(self.sockets, is_sharing)
        self.reserved_connections = connection_limits.reserved_connections(self.max_clients, is_sharing)

    # Draining.

    @property
    def draining(self) -> bool:
        """Whether clients are being sent away."""
        return self._drained_at < math.inf

    def drain(self) -> None:
        """Begin a drain: new calls are still served for TAKE_S, and each connection ends once nothing is open on it."""
        self._drained_at = min(self._drained_at, self.loop.time())

    def resume(self) -> None:
        """End a drain: serve and keep connections as before."""
        self._drained_at = math.inf

    # Connections.

    def register(self, client: ClientConnection) -> None:
        """Register a connection; over the bound, one that can be spared is closed, else this one is marked `extra`."""
        self.clients.add(client)
        client.is_over_limit = not self._make_room(client, connection_limits.RECLAIM_FOR_CONNECTION)

    def _make_room(self, newest: ClientConnection | None, least: float) -> bool:
        """End those that need their places least: silent, long idle or slow; never one with a call at work or unread.
        Those that are ending already have no place any more."""
        if len(self.clients) <= self.max_clients:
            return True
        over, now = sum(not client.is_closing for client in self.clients) - self.max_clients, self.loop.time()
        ranked = (
            [
                (connection_limits.reclaim_score(client.state(), now - client.state_since), client)
                for client in self.clients
                if client is not newest and not client.is_closing
            ]
            if over > 0
            else []
        )
        # Half a request, or a path that is about to be called, goes only where there is nobody else.
        for rank, client in sorted(ranked, key=lambda one: (one[1].is_receiving or one[1].expects_poll, -one[0])):
            if over <= 0:
                break
            if rank >= least and client.reclaim():
                self.telemetry.count("places_cleared", FRONT)
                over -= 1
        return over <= 0

    def _has_room(self) -> bool:
        """Whether one more connection may be accepted, be it to hear that there is no place for it."""
        if self.open_connections < self.max_clients + self.reserved_connections:
            return True
        self._make_room(None, connection_limits.RECLAIM_FOR_CONNECTION)
        now = self.loop.time()
        for client in list(self.clients):
            if (
                client.is_closing
                and now - client.state_since > connection_limits.CLOSING_RECLAIM_S
                and not client.has_unread()
            ):
                self.clients.discard(client)
                client.transport.abort()
        return self.open_connections < self.max_clients + self.reserved_connections

    def _sweep(self) -> None:
        """Close whoever has had its time: a word or a close is owed within 3 s of connecting."""
        self._sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        for client in list(self.clients):
            # Nobody reads there, so that the client's end would not be noticed.
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
            self.telemetry.count(f"connections_ended_{step.name.lower()}", FRONT)
            if client.expects_poll:
                self.telemetry.log("connection_ended", reason=step.name.lower(), path_awaited=True)
            if step is ConnectionStep.ABORT:
                client.transport.abort()
            elif step is ConnectionStep.REQUEST_TOO_SLOW:
                if (
                    client.has_unread()
                    and now - client.state_since < connection_limits.REQUEST_TIMEOUT_S + 2 * SWEEP_INTERVAL_S
                ):
                    continue  # its end may lie there
                self.telemetry.count("slow_clients", FRONT)
                client.reject(CallRejectedError(408, "the request did not come in time"))
            elif step is ConnectionStep.REJECT_IN_DRAIN:
                client.reject(CallRejectedError(503, "Busy"))
            else:
                if step is ConnectionStep.CLOSE_SILENT:
                    self.telemetry.count("silent_clients", FRONT)
                client.end()

    def call_abandoned(self, call: PendingCall) -> None:
        """Note that the connection of a call has ended."""
        self.registry.call_abandoned(call)
        if self.relay is not None:
            self.relay.abandon(call)

    # One call.

    def call(self, call: PendingCall, method: bytes, url: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        """Answer a whole call or submit its request to the core.

        Raises Refusal, a 4xx that ends the connection. A POST is answered 503 where clients are over the bound, a
        drain is past its time, or the core is full; GET waits for a page or the result; DELETE gives the request up.
        Calls on paths of other workers are passed on.
        """
        if not url.startswith(b"/call/"):
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
            self._post(call, url[6:], fields, body)
            return
        path, _, page = url.decode("latin-1").rpartition("/")
        opened = self.registry.open.get(path)
        if opened is None and self.relay is not None and self.relay.relay_call(call, method, path, url):
            return
        if method == b"DELETE":
            if opened is None:
                raise CallRejectedError(404, "no such request")
            self.registry.abandon(opened, DepartureReason.DELETED)
            call.reply(204)
        elif method != b"GET":
            raise CallRejectedError(405, "only POST, GET and DELETE")
        elif opened is None or not (page.isascii() and page.isdecimal()) or len(page) > 4:
            raise CallRejectedError(404, "no such request")
        else:
            call.opened, call.page = opened, int(page)
            self.registry.wait(call)

    def _post(self, call: PendingCall, class_name: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        """Check a request, and submit it to the core where there is capacity for it."""
        if class_name not in self.classes:
            raise CallRejectedError(404, "no such class")
        number = self.classes[class_name]
        class_settings = self.core.settings.classes[number]
        has_idempotency_key = class_settings.idempotency == Idempotency.WITH_KEY
        described = request_fields.read_request(
            fields,
            number,
            class_settings.deadline_ms,
            self.max_memory_mb,
            class_settings.in_order,
            has_idempotency_key,
        )
        statement = _read_statement(body)
        tenant = self._tenant_of(call, fields, statement, described.tenant)
        if described.ticket in self.registry.ids:
            raise CallRejectedError(409, "X-Request-Id: this request is already open")
        if not call.client.is_connected():
            return
        if not self._has_capacity(call, number) or not self._claim_id(call, described.ticket):
            return
        opened = self.registry.new(described.ticket, f"/call/{class_name.decode()}/{self.prefix}")
        request = ClientRequest(
            FRONT,
            number,
            described.ticket,
            statement,
            call.client.received_ms,
            described.timeout_ms,
            opened.on_response,
            described.cost_ms,
            described.memory_mb,
            table_group(statement),
            tenant=tenant,
            key=described.key,
            idempotency_key=described.idempotency_key,
            is_client_connected=lambda: self.registry.is_connected(opened),
        )
        self._mark(request, fields)
        if described.retry:
            self.telemetry.count("client_retries", FRONT, self.core.classes[number][1])
        self._submit(call, opened, request)

    def _tenant_of(self, call: PendingCall, fields: dict[bytes, bytes], statement: str, named: bytes | None) -> int:
        """Return the number of the request's tenant; CallRejectedError if it names one that is unknown."""
        if self.tenant is None:
            return 0
        peer = call.client.transport.get_extra_info("peername") or ("",)
        attributes = RequestAttributes(FRONT, peer[0], fields, schema=schema(statement))
        try:
            return self.tenant(attributes, named)
        except UnknownTenantError as unknown:
            raise CallRejectedError(400, f"X-Tenant: {unknown}") from None

    def _has_capacity(self, call: PendingCall, number: int) -> bool:
        """Return whether one more request may be submitted; if not, the call is answered."""
        client = call.client
        client.is_over_limit = client.is_over_limit and not self._make_room(
            client, connection_limits.RECLAIM_FOR_REQUEST
        )
        draining_s = self.loop.time() - self._drained_at
        if (
            not client.is_over_limit
            and len(client.pending_calls) <= MAX_PIPELINED_CALLS
            and connection_limits.accepts_requests(draining_s)
        ):
            return True
        self.telemetry.count("full", FRONT, self.core.classes[number][1])
        call.reply(503, {"failure": "Busy"}, self.retry_after_header, last=client.is_over_limit)
        return False

    def _claim_id(self, call: PendingCall, ticket: str) -> bool:
        """Reserve the request's id among the workers; if it can't be had, the call is answered or rejected."""
        rejection = self.relay.claim(ticket) if self.relay is not None else None
        if rejection is None:
            return True
        if rejection.status < 500:
            raise rejection
        call.reply(
            rejection.status, {"failure": rejection.text}, self.retry_after_header if rejection.status == 503 else ""
        )
        return False

    def _mark(self, request: ClientRequest, fields: dict[bytes, bytes]) -> None:
        """Add what optional parts read from the head; CallRejectedError if that can't be used."""
        if self.annotate_request is None:
            return
        try:
            self.annotate_request(request, fields)
        except CallRejectedError:
            self._released(request.ticket)
            raise

    def _submit(self, call: PendingCall, opened: OpenRequest, request: ClientRequest) -> None:
        if not self.core.submit(request):
            self._released(request.ticket)
            call.reply(503, {"failure": "Busy"}, self.retry_after_header)
            return
        opened.request = request
        call.opened = opened
        call.page = -1
        self.registry.ids.add(request.ticket)
        self.registry.wait(call)

    def _released(self, ticket: str) -> None:
        if self.relay is not None:
            self.relay.release(ticket)


def _read_statement(body: bytes) -> str:
    """Return the statement of a body; CallRejectedError if there is none."""
    try:
        statement = body.decode()
    except UnicodeDecodeError:
        raise CallRejectedError(400, "the statement is not UTF-8") from None
    if not statement.strip():
        raise CallRejectedError(400, "the statement is empty")
    return statement
