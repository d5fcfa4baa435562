"""The event bus: keeps the engine list in step.

Owns the one connection to the bus, the number of the last event that came, and the translation of its hosts
into the module's entries. It must never let its word wait behind client work (it goes to the core's urgent
side), never hand an event on twice, never wait for a bus that is silent for so long that its word counts as told
meanwhile, and never judge an engine by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import zlib
from collections.abc import Callable, Iterable

import msgspec

from frostspindle.config import STATES, Address, BusEvent, Config, Host, address
from frostspindle.core import Core, Driver, EngineState
from frostspindle.policy import EndpointListKind, EngineEntry, Health
from frostspindle.reserved_descriptor import FULL, ReservedDescriptor
from frostspindle.telemetry import Telemetry

# The bus writes a line every second, and its word counts as told after 7 s. A new connection that says nothing either
# lets the next be waited for longer, up to SILENT_MOST_S: a bus that is merely slow is heard in the end.
SILENT_S, SILENT_MOST_S, LONGER, CONNECT_S = 1.6, 4.0, 1.5, 0.5
LINE = 1 << 20  # the longest line that is read
AGAIN_S, AGAIN_MOST_S = 0.05, 0.5
DOUBTS = 2  # so often the bus is asked again for what made no sense; then it is passed over
_DECODER = msgspec.json.Decoder(BusEvent | int)


class WatchConnection(asyncio.Protocol):
    """One connection to the bus.

    Each line is handed on in the turn in which it came, so that a pause of this process is no silence of the bus: what
    waited in the system is read before the time is checked.
    """

    def __init__(
        self, sock: socket.socket, spare: ReservedDescriptor, take: Callable[[bytes], None], now: Callable[[], float]
    ) -> None:
        self.sock, self.spare, self.take, self.now = sock, spare, take, now
        self.heard_at, self.spoke = now(), False  # a line came last, and any
        self.over, self.error = asyncio.Event(), Exception()
        self._part = bytearray()  # of a line

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; asyncio calls this once connected."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Hand each whole line to `take` and note the time of the last one.

        A line beyond LINE bytes, or an exception of `take`, ends the connection, with the error in `error`.
        """
        if self.over.is_set():
            return
        self._part += data
        try:
            if b"\n" in data:
                *lines, self._part = self._part.split(b"\n")
                self.heard_at, self.spoke = self.now(), True
                for line in lines:
                    self.take(bytes(line))
            if len(self._part) > LINE:
                raise ValueError("a line is too long")
        except Exception as error:  # noqa: BLE001 - whatever the bus writes, it is joined again
            self._end(error)

    def connection_lost(self, error: Exception | None) -> None:
        """Close the socket, fill the descriptor reserve again, and end the connection if it has not ended yet."""
        # Closed here and not by the transport after this call: the reserve is filled before anybody else can open one.
        self.sock.close()
        self.spare.take()
        self._end(error or EOFError("the bus ended its connection"))

    def _end(self, error: Exception) -> None:
        if not self.over.is_set():
            self.error = error
            self.over.set()


class EndpointWatcher:
    """Reads the engine list's events from the bus and hands them to the core."""

    def __init__(self, config: Config, core: Core, driver: Driver, telemetry: Telemetry) -> None:
        self.config, self.core, self.driver, self.telemetry = config, core, driver, telemetry
        self.at, self.last = config.bus, 0
        self.spare = ReservedDescriptor()  # for its connection, while clients hold all other descriptors
        self._moved = asyncio.Event()
        self._random = random.Random(config.seed)
        self._patience_s = SILENT_S  # of a connection that has said nothing yet
        self.spoke = False  # the bus itself has told something that made sense
        self._doubts = 0  # lines that made no sense since the last event
        self._ids: dict[str, int] = {}  # of the engines that are not gone
        self._numbers: set[int] = set()

    def start(self) -> None:
        """Apply the events that the configuration already has; `run` follows the bus from there on."""
        for event in self.config.known:
            self._event(event)
        self.last = max(self.last, self.config.known_offset)

    def move(self, at: Address | None) -> None:
        """Change the address of the bus: reconnect there at once, from the last number on."""
        if at != self.at:
            self.at = at
            self._moved.set()

    def restore(self, event: BusEvent) -> None:
        """Apply the whole list as another coordinator has it from the bus, unless it is not newer than this one."""
        self._event(event)

    async def run(self) -> None:
        """Follow the bus until cancelled; reconnect with backoff and jitter when it ends, moves or sends bad lines."""
        wait = AGAIN_S
        while True:
            self._moved.clear()
            began = self.last
            if self.at is not None:
                async with asyncio.TaskGroup() as group:
                    following = group.create_task(self._joined(self.at))
                    moved = group.create_task(self._moved.wait())
                    await asyncio.wait((following, moved), return_when=asyncio.FIRST_COMPLETED)
                    following.cancel()
                    moved.cancel()
                wait = AGAIN_S if self.last != began else min(AGAIN_MOST_S, wait * 2)
            # A wait that a move cuts short: the old bus may never speak again, and its word counts as told. How long
            # is drawn: all coordinators lose a bus in the same moment, and must not come back in one.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait * (1 + self._random.random()) / 2 if self.at is not None else None):
                    await self._moved.wait()

    async def _joined(self, at: Address) -> None:
        try:
            await self._follow(at)
        except Exception as error:  # noqa: BLE001 - whatever the bus writes, it is joined again
            self.telemetry.count("bus_reconnects")
            self.telemetry.log("bus", error=repr(error), last=self.last)

    async def _follow(self, at: Address) -> None:
        watch = await self._connect(at)
        silent = False
        try:
            watch.transport.write(b"from %d\n" % self.last)
            while not watch.over.is_set():
                left_s = watch.heard_at + (SILENT_S if watch.spoke else self._patience_s) - watch.now()
                if silent := left_s <= 0:
                    raise TimeoutError("the bus is silent")
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left_s):
                        await watch.over.wait()
            raise watch.error
        finally:
            watch.transport.abort()
            if watch.spoke:
                self._patience_s = SILENT_S
            elif silent:
                self._patience_s = min(SILENT_MOST_S, self._patience_s * LONGER)

    async def _connect(self, at: Address) -> WatchConnection:
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in at[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            if error.errno not in FULL or not self.spare.free():
                raise
            self.telemetry.count("bus_spare_used")
            sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            async with asyncio.timeout(CONNECT_S):
                await loop.sock_connect(sock, at)
                _, watch = await loop.create_connection(
                    lambda: WatchConnection(sock, self.spare, self._take, loop.time), sock=sock
                )
        except BaseException:
            sock.close()
            self.spare.take()
            raise
        return watch

    def _take(self, line: bytes) -> None:
        """One line. What makes no sense is asked for again, and passed over if it stays as it is."""
        again = self._doubts >= DOUBTS
        try:
            word = _DECODER.decode(line)
            if isinstance(word, int):
                if word > self.last and not again:
                    raise ValueError(f"the bus is at {word}, here it is {self.last}")
                if word < self.last:  # no event is taken back: what it tells anew has a number above ours, or we had it
                    self.telemetry.count("bus_behind")
                self.spoke = True
                return
            if word.offset > self.last + 1 and not again:
                raise ValueError(f"event {word.offset} came after {self.last}")
            self._event(word)
            self.spoke = True
        except ValueError as error:  # also all that msgspec raises
            if not again:
                self._doubts += 1
                raise
            self.telemetry.count("bus_lines_skipped")
            self.telemetry.log("bus_line", error=str(error), last=self.last)

    def _event(self, event: BusEvent) -> None:
        if event.offset <= self.last:
            return  # a repeat, as after a reconnect
        self.last, self._doubts = event.offset, 0
        if event.topology is None:
            return
        states = list(self._states(event.topology.hosts))
        if event.topology.whole:
            self._free(self._ids.keys() - {host.host for host in event.topology.hosts})
        self._free([state.name for state in states if state.entry.health == Health.GONE])
        how = EndpointListKind.FULL if event.topology.whole else EndpointListKind.DELTA
        self.core.update_endpoints(self.driver, states, how, event.offset)

    def _states(self, hosts: Iterable[Host]) -> Iterable[EngineState]:
        for host in hosts:
            number = self._number(host.host)
            known = self.core.engines.get(number)
            if host.health not in STATES:
                self.telemetry.count("bus_bad_hosts")
                self.telemetry.log("bus_host", name=host.host, health=host.health)
                continue
            try:
                at = address(host.dial, host.host) if host.dial else ("", 0)
            except Exception as error:  # noqa: BLE001 - one bad host must not hide the others
                self.telemetry.count("bus_bad_hosts")
                self.telemetry.log("bus_host", name=host.host, error=str(error))
                continue
            if not at[1]:
                at = known.address if known else at
            health = STATES[host.health] if at[1] else Health.GONE
            entry = EngineEntry(
                number,
                self._index(self.config.zones, host.site),
                self._index(self.config.kinds, host.kind),
                host.block,
                health,
                host.share,
                host.born_ms,
            )
            yield EngineState(entry, host.host, at, self.driver)

    def _index(self, names: tuple[str, ...], name: str) -> int:
        if name in names:
            return names.index(name)
        self.telemetry.count("bus_unknown_places")
        return 0

    def _number(self, name: str) -> int:
        """The same number at every coordinator; the module sorts nothing by it."""
        if name not in self._ids:
            tail = name.rpartition("-")[2]
            try:
                number = int(tail, 16) & 0xFFFFFFFF
            except ValueError:
                number = zlib.crc32(name.encode())
            while number in self._numbers:
                number = (number + 1) & 0xFFFFFFFF
            self._ids[name] = number
            self._numbers.add(number)
        return self._ids[name]

    def _free(self, names: Iterable[str]) -> None:
        """New engines come under new ids for ever; the names of those that are gone are not kept."""
        for name in names:
            self._numbers.discard(self._ids.pop(name, -1))
