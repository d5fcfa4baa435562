"""Endpoint discovery: follows the event bus that announces engines, and reports them to the core.

Runs in the event loop, as one task. Its events go to the core before all client work, each at most once and in order.
If the bus is silent for too long the watcher reconnects, as events of the bus count as delivered after a fixed time.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import zlib
from collections.abc import Callable, Iterable

import msgspec

from frostspindle.config import HEALTH_CODES, Address, BusEvent, Config, Host, address
from frostspindle.core import Core, Driver, EngineState, from_unix_ms
from frostspindle.policy import EndpointListKind, EngineEntry, Health
from frostspindle.reserved_descriptor import NO_DESCRIPTOR_ERRORS, ReservedDescriptor
from frostspindle.telemetry import Telemetry

# The bus writes a line every second, and its events count as delivered after 7 s. The timeout grows with each
# connection without data, up to MAX_SILENCE_TIMEOUT_S, so that a slow bus is received eventually.
SILENCE_TIMEOUT_S = 1.6
MAX_SILENCE_TIMEOUT_S = 4.0
SILENCE_TIMEOUT_GROWTH = 1.5
CONNECT_TIMEOUT_S = 0.5
MAX_LINE_BYTES = 1 << 20
READ_BYTES = 16 * 1024  # handled in one turn of the event loop: of the shortest lines, some thousands
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
MAX_RETRIES_OF_INVALID_LINE = 2  # after that the line is skipped
_DECODER = msgspec.json.Decoder(BusEvent | int)


class WatchConnection(asyncio.Protocol):
    """One connection to the bus.

    Each line is processed in the turn of the event loop in which it is received, so that a pause of this process does
    not count as silence of the bus: queued data is read before the time is checked.
    """

    def __init__(
        self,
        sock: socket.socket,
        reserve: ReservedDescriptor,
        on_line: Callable[[bytes], None],
        monotonic_s: Callable[[], float],
    ) -> None:
        self.sock = sock
        self.reserve = reserve
        self.on_line = on_line
        self.monotonic_s = monotonic_s
        self.last_line_s = monotonic_s()  # time of the last line, or of the connection
        self.has_received = False
        self.closed = asyncio.Event()
        self.error = Exception()  # the reason for closing
        self._partial_line = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and limit what one turn of the event loop reads."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]  # asyncio's is 256 KB

    def data_received(self, data: bytes) -> None:
        """Pass each complete line to `on_line` and record the time of the last one.

        A line beyond MAX_LINE_BYTES, or an exception of `on_line`, closes the connection, with the error in `error`.
        """
        if self.closed.is_set():
            return
        self._partial_line += data
        try:
            if b"\n" in data:
                *lines, self._partial_line = self._partial_line.split(b"\n")
                self.last_line_s = self.monotonic_s()
                self.has_received = True
                for line in lines:
                    self.on_line(bytes(line))
            if len(self._partial_line) > MAX_LINE_BYTES:
                raise ValueError("a line is too long")
        except Exception as error:  # noqa: BLE001 - reconnect whatever the bus sends
            self._close(error)

    def connection_lost(self, error: Exception | None) -> None:
        """Close the socket, refill the descriptor reserve, and record the reason."""
        # Closed here, not later by the transport, so that the reserve is refilled before another descriptor is opened.
        self.sock.close()
        self.reserve.take()
        self._close(error or EOFError("the bus ended its connection"))

    def _close(self, error: Exception) -> None:
        if not self.closed.is_set():
            self.error = error
            self.closed.set()


class EndpointWatcher:
    """Reads the endpoint events of the bus and reports engines to the core.

    `last` is the offset of the last applied event, `bus_address` the address of the bus (None if there is none),
    `has_received_valid` whether the bus itself has sent a valid message.
    """

    def __init__(self, config: Config, core: Core, driver: Driver, telemetry: Telemetry) -> None:
        self.config = config
        self.core = core
        self.driver = driver
        self.telemetry = telemetry
        self.bus_address = config.bus
        self.last = 0  # offset of the last event received
        self.has_received_valid = False
        self.reserve = ReservedDescriptor()  # for its connection when clients use all other descriptors
        self._moved = asyncio.Event()
        self._random = random.Random(config.seed)
        self._first_line_timeout_s = SILENCE_TIMEOUT_S
        self._invalid_lines = 0  # since the last event
        self._ids: dict[str, int] = {}  # by name, without removed engines
        self._used_ids: set[int] = set()
        self._starts: dict[int, tuple[float, float]] = {}  # by id: as announced (Unix ms), and on the monotonic clock

    def start(self) -> None:
        """Apply the events of the configuration; `run` follows the bus after those."""
        for event in self.config.known:
            self._apply(event)
        self.last = max(self.last, self.config.known_offset)

    def move(self, bus_address: Address | None) -> None:
        """Change the address of the bus and reconnect at once, continuing after the last offset."""
        if bus_address != self.bus_address:
            self.bus_address = bus_address
            self._moved.set()

    def restore(self, event: BusEvent) -> None:
        """Apply the complete list received by another coordinator, if it is newer."""
        self._apply(event)

    async def run(self) -> None:
        """Follow the bus until cancelled; reconnect with backoff and jitter if it ends, moves or sends bad lines."""
        backoff_s = MIN_BACKOFF_S
        while True:
            self._moved.clear()
            last_before = self.last
            if self.bus_address is not None:
                await self._follow_until_moved(self.bus_address)
                backoff_s = MIN_BACKOFF_S if self.last != last_before else min(MAX_BACKOFF_S, backoff_s * 2)
            await self._wait_for_move(backoff_s)

    async def _follow_until_moved(self, bus_address: Address) -> None:
        async with asyncio.TaskGroup() as group:
            following = group.create_task(self._follow_once(bus_address))
            moved = group.create_task(self._moved.wait())
            await asyncio.wait((following, moved), return_when=asyncio.FIRST_COMPLETED)
            following.cancel()
            moved.cancel()

    async def _wait_for_move(self, backoff_s: float) -> None:
        """Wait for the backoff, or without an address until there is one.

        A move ends the wait, as the old bus may never send again. The jitter spreads the reconnects of coordinators,
        which all lose a bus at the same time.
        """
        timeout_s = None
        if self.bus_address is not None:
            timeout_s = backoff_s * (1 + self._random.random()) / 2
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._moved.wait()

    async def _follow_once(self, bus_address: Address) -> None:
        try:
            await self._follow(bus_address)
        except Exception as error:  # noqa: BLE001 - reconnect whatever the bus sends
            self.telemetry.count("bus_reconnects")
            self.telemetry.log("discovery_disconnected", error=repr(error), last=self.last)

    async def _follow(self, bus_address: Address) -> None:
        watch = await self._connect(bus_address)
        silent = False
        try:
            watch.transport.write(b"from %d\n" % self.last)
            while not watch.closed.is_set():
                timeout_s = SILENCE_TIMEOUT_S if watch.has_received else self._first_line_timeout_s
                remaining_s = watch.last_line_s + timeout_s - watch.monotonic_s()
                silent = remaining_s <= 0
                if silent:
                    raise TimeoutError("the bus is silent")
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(remaining_s):
                        await watch.closed.wait()
            raise watch.error
        finally:
            watch.transport.abort()
            if watch.has_received:
                self._first_line_timeout_s = SILENCE_TIMEOUT_S
            elif silent:
                grown_s = self._first_line_timeout_s * SILENCE_TIMEOUT_GROWTH
                self._first_line_timeout_s = min(MAX_SILENCE_TIMEOUT_S, grown_s)

    async def _connect(self, bus_address: Address) -> WatchConnection:
        loop = asyncio.get_running_loop()
        sock = self._open_socket(socket.AF_INET6 if ":" in bus_address[0] else socket.AF_INET)
        try:
            sock.setblocking(False)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, bus_address)
                _, watch = await loop.create_connection(
                    lambda: WatchConnection(sock, self.reserve, self._on_line, loop.time), sock=sock
                )
        except BaseException:
            sock.close()
            self.reserve.take()
            raise
        return watch

    def _open_socket(self, family: socket.AddressFamily) -> socket.socket:
        """Open a socket, using the reserved descriptor if no other is available."""
        try:
            return socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            if error.errno not in NO_DESCRIPTOR_ERRORS or not self.reserve.free():
                raise
            self.telemetry.count("bus_spare_used")
            return socket.socket(family, socket.SOCK_STREAM)

    def _on_line(self, line: bytes) -> None:
        """Process one line; an invalid one is requested again, and skipped if it stays invalid."""
        skip = self._invalid_lines >= MAX_RETRIES_OF_INVALID_LINE
        try:
            message = _DECODER.decode(line)
            if isinstance(message, int):
                self._on_heartbeat(message, skip)
                return
            if message.offset > self.last + 1 and not skip:
                raise ValueError(f"event {message.offset} received after {self.last}")
            self._apply(message)
            self.has_received_valid = True
        except ValueError as error:  # includes the exceptions of msgspec
            if not skip:
                self._invalid_lines += 1
                raise
            self.telemetry.count("bus_lines_skipped")
            self.telemetry.log("discovery_message_rejected", error=str(error), last=self.last)

    def _on_heartbeat(self, offset: int, skip: bool) -> None:
        """Compare the bus's offset with the local one; raise ValueError if events are missing, unless `skip`."""
        if offset > self.last and not skip:
            raise ValueError(f"the bus is at offset {offset}, the last event received is {self.last}")
        if offset < self.last:  # events are never withdrawn: new ones have a greater offset
            self.telemetry.count("bus_behind")
        self.has_received_valid = True

    def _apply(self, event: BusEvent) -> None:
        if event.offset <= self.last:
            return  # repeated, as after a reconnect
        self.last = event.offset
        self._invalid_lines = 0
        if event.topology is None:
            return
        states = list(self._engine_states(event.topology.hosts))
        if event.topology.whole:
            self._release_ids(self._ids.keys() - {host.host for host in event.topology.hosts})
        self._release_ids([state.name for state in states if state.entry.health == Health.GONE])
        kind = EndpointListKind.FULL if event.topology.whole else EndpointListKind.DELTA
        self.core.update_endpoints(self.driver, states, kind, event.offset)

    def _engine_states(self, hosts: Iterable[Host]) -> Iterable[EngineState]:
        for host in hosts:
            number = self._id_of(host.host)
            if host.health not in HEALTH_CODES:
                self._reject(host, health=host.health)
                continue
            try:
                engine_address = address(host.dial, host.host) if host.dial else ("", 0)
            except Exception as error:  # noqa: BLE001 - an invalid host must not hide the others
                self._reject(host, error=str(error))
                continue
            if not engine_address[1]:
                known = self.core.engines.get(number)
                engine_address = known.address if known else engine_address
            entry = self._entry(number, host, has_address=bool(engine_address[1]))
            yield EngineState(entry, host.host, engine_address, self.driver, started_unix_ms=host.born_ms)

    def _entry(self, number: int, host: Host, has_address: bool) -> EngineEntry:
        return EngineEntry(
            engine=number,
            zone=self._index(self.config.zones, host.site),
            kind=self._index(self.config.kinds, host.kind),
            cell=host.block,
            health=HEALTH_CODES[host.health] if has_address else Health.GONE,
            weight=host.share,
            since_ms=self._started_ms(number, host.born_ms),
        )

    def _started_ms(self, number: int, born_unix_ms: float) -> float:
        """Return a start time on the monotonic clock, converted when it was first announced."""
        if number in self._starts and self._starts[number][0] == born_unix_ms:
            return self._starts[number][1]
        started_ms = from_unix_ms(born_unix_ms)
        self._starts[number] = (born_unix_ms, started_ms)
        return started_ms

    def _reject(self, host: Host, **details: str) -> None:
        self.telemetry.count("bus_bad_hosts")
        self.telemetry.log("endpoint_rejected", name=host.host, **details)

    def _index(self, names: tuple[str, ...], name: str) -> int:
        if name in names:
            return names.index(name)
        self.telemetry.count("bus_unknown_places")
        return 0

    def _id_of(self, name: str) -> int:
        """Return the engine's id, equal at all coordinators; the decision module does not order engines by it."""
        if name not in self._ids:
            suffix = name.rpartition("-")[2]
            try:
                number = int(suffix, 16) & 0xFFFFFFFF
            except ValueError:
                number = zlib.crc32(name.encode())
            while number in self._used_ids:
                number = (number + 1) & 0xFFFFFFFF
            self._ids[name] = number
            self._used_ids.add(number)
        return self._ids[name]

    def _release_ids(self, names: Iterable[str]) -> None:
        """Release the ids of removed engines, as the number of names over time is unbounded."""
        for name in names:
            number = self._ids.pop(name, -1)
            self._used_ids.discard(number)
            self._starts.pop(number, None)
