"""The event bus: keeps the engine list in step.

Owns the one connection to the bus, the number of the last event that came, and the translation of its hosts
into the module's entries. It must never let its word wait behind client work (it goes to the core's urgent
side), never hand an event on twice, and never judge an engine by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import zlib
from collections.abc import Iterable

import msgspec

from frostspindle.config import STATES, Address, BusEvent, Config, Host, address
from frostspindle.core import Core, Driver, EngineState
from frostspindle.events import Events
from pinstage.interface import EngineEntry, Health, ListKind

SILENT_S, CONNECT_S = 2.2, 0.5  # the bus writes a line every second; its word counts as told after 7 s
LINE = 1 << 20  # the longest line that is read
AGAIN_S, AGAIN_MOST_S = 0.05, 0.5
DOUBTS = 2  # so often the bus is asked again for what made no sense; then it is passed over
_DECODER = msgspec.json.Decoder(BusEvent | int)


class Bus:
    """Reads the events of the bus and hands them to the core."""

    def __init__(self, config: Config, core: Core, driver: Driver, events: Events) -> None:
        self.config, self.core, self.driver, self.events = config, core, driver, events
        self.at, self.last = config.bus, 0
        self._moved = asyncio.Event()
        self.spoke = False  # the bus itself has told something that made sense
        self._doubts = 0  # lines that made no sense since the last event
        self._ids: dict[str, int] = {}  # of the engines that are not gone
        self._numbers: set[int] = set()

    def start(self) -> None:
        """Hand on what the configuration already knows."""
        for event in self.config.known:
            self._event(event)
        self.last = max(self.last, self.config.known_offset)

    def move(self, at: Address | None) -> None:
        """The bus has another address: follow it there at once, from the last number on."""
        if at != self.at:
            self.at = at
            self._moved.set()

    def restore(self, event: BusEvent) -> None:
        """The whole list as other coordinators have it from the bus; what is not newer than ours is passed over."""
        self._event(event)

    async def run(self) -> None:
        """Follow the bus until cancelled, connecting again whenever it ends, moves or makes no sense."""
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
            # A wait that a move cuts short: the old bus may never speak again, and its word counts as told.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait if self.at is not None else None):
                    await self._moved.wait()

    async def _joined(self, at: Address) -> None:
        try:
            await self._follow(at)
        except Exception as error:  # noqa: BLE001 - whatever the bus writes, it is joined again
            self.events.count("bus_reconnects")
            self.events.log("bus", error=repr(error), last=self.last)

    async def _follow(self, at: Address) -> None:
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(*at, limit=LINE)
        try:
            writer.write(b"from %d\n" % self.last)
            while True:
                async with asyncio.timeout(SILENT_S):
                    line = await reader.readline()
                if not line.endswith(b"\n"):
                    raise EOFError("the bus ended its connection")
                self._take(line)
        finally:
            writer.close()

    def _take(self, line: bytes) -> None:
        """One line. What makes no sense is asked for again, and passed over if it stays as it is."""
        again = self._doubts >= DOUBTS
        try:
            word = _DECODER.decode(line)
            if isinstance(word, int):
                if word > self.last and not again:
                    raise ValueError(f"the bus is at {word}, here it is {self.last}")
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
            self.events.count("bus_lines_skipped")
            self.events.log("bus_line", error=str(error), last=self.last)

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
        how = ListKind.FULL if event.topology.whole else ListKind.DELTA
        self.core.list_engines(self.driver, states, how, event.offset)

    def _states(self, hosts: Iterable[Host]) -> Iterable[EngineState]:
        for host in hosts:
            number = self._number(host.host)
            known = self.core.engines.get(number)
            if host.health not in STATES:
                self.events.count("bus_bad_hosts")
                self.events.log("bus_host", name=host.host, health=host.health)
                continue
            try:
                at = address(host.dial, host.host) if host.dial else ("", 0)
            except Exception as error:  # noqa: BLE001 - one bad host must not hide the others
                self.events.count("bus_bad_hosts")
                self.events.log("bus_host", name=host.host, error=str(error))
                continue
            if not at[1]:
                at = known.address if known else at
            health = STATES[host.health] if at[1] else Health.GONE
            entry = EngineEntry(number, self._index(self.config.zones, host.site),
                                self._index(self.config.kinds, host.kind), host.block, health, host.share,
                                host.born_ms)
            yield EngineState(entry, host.host, at, self.driver)

    def _index(self, names: tuple[str, ...], name: str) -> int:
        if name in names:
            return names.index(name)
        self.events.count("bus_unknown_places")
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
