"""Plays the engine faults of a run, and publishes what the endpoint list tells of them, late where the plan says so."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace

from frostspindle.lab.engines import Bus, host_entry
from frostspindle.lab.soak.engines import FaultyEngine
from frostspindle.lab.soak.plan import EngineFault, FaultKind
from frostspindle.lab.soak.records import Drain
from frostspindle.lab.soak.stepped_clock import SteppedClock

MIN_LIST_INTERVAL_S = 0.001  # between two changes that concern an engine
OperatorCall = Callable[[str], Awaitable[None]]


class FaultPlayer:
    """Plays faults at the engines; `engines` has every process that there was, `current` those that run now."""

    def __init__(self, engines: list[FaultyEngine], bus: Bus, clock: SteppedClock, seed: int) -> None:
        self.engines = engines
        self.drains: list[Drain] = []
        self._current = list(engines)
        self._bus = bus
        self._clock = clock
        self._seed = seed
        self._listed_at: dict[int, float] = {}  # by engine number: when its last change is published
        self._publishing: set[asyncio.Task[None]] = set()

    async def play(self, fault: EngineFault, operate: OperatorCall) -> None:
        """Play one fault from its start to its end; `operate` makes an operator's call."""
        await asyncio.sleep(fault.at_s)
        match fault.kind:
            case FaultKind.BAN:
                await self._ban(fault, operate)
            case FaultKind.RESTART:
                await self._current[fault.engine].restart()
                self._list_start(fault)
            case FaultKind.REPLACE:
                await self._replace(fault)
            case FaultKind.EARLY_GONE | FaultKind.EARLY_RESTART:
                await self._list_early(fault)
            case FaultKind.DRAIN | FaultKind.DRAIN_RESET:
                await self._drain(fault)
            case FaultKind.CRASH:
                await self._crash(fault)
            case FaultKind.LATE_POST:
                await self._hold_posts(fault)
            case _:
                self._current[fault.engine].begin(fault.kind)
                await asyncio.sleep(fault.length_s)
                await self._current[fault.engine].finish(fault.kind)

    async def _ban(self, fault: EngineFault, operate: OperatorCall) -> None:
        name = self._current[fault.engine].name
        await operate(f"disable-server {name}")
        await asyncio.sleep(fault.length_s)
        await operate(f"enable-server {name}")

    async def _hold_posts(self, fault: EngineFault) -> None:
        engine = self._current[fault.engine]
        engine.hold_posts(fault.held_s)
        await asyncio.sleep(fault.length_s)
        engine.hold_posts(0.0)

    async def _replace(self, fault: EngineFault) -> None:
        """End an engine and start another one, with another name, at its address."""
        before = self._current[fault.engine]
        before.close()
        before.forget_queries()
        after = FaultyEngine(f"{before.name}{fault.engine}", self._seed)
        await after.start(before.port)
        self.engines.append(after)
        self._current[fault.engine] = after
        left = host_entry(before.name, before.port, "left")
        self._list(fault, left, self._entry(after))

    async def _list_early(self, fault: EngineFault) -> None:
        """List the end or the restart of an engine at once, and end its process later."""
        engine = self._current[fault.engine]
        is_gone = fault.kind is FaultKind.EARLY_GONE
        now = replace(fault, listed_after_s=0.0)
        self._list(now, host_entry(engine.name, engine.port, "left") if is_gone else self._entry(engine))
        await asyncio.sleep(fault.length_s)
        await engine.restart()
        if is_gone:
            self._list_start(fault)

    async def _drain(self, fault: EngineFault) -> None:
        engine = self._current[fault.engine]
        engine.begin(fault.kind)
        drain = Drain(engine.name)
        self.drains.append(drain)
        self._list(fault, host_entry(engine.name, engine.port, "leaving"), on_listed=drain.announce)
        await asyncio.sleep(fault.length_s)
        self._list(fault, host_entry(engine.name, engine.port, "left"))
        await engine.finish(fault.kind)
        drain.replaced_at = time.time()
        self._list_start(fault)

    async def _crash(self, fault: EngineFault) -> None:
        engine = self._current[fault.engine]
        engine.begin(fault.kind)
        await asyncio.sleep(fault.length_s)
        self._list(fault, host_entry(engine.name, engine.port, "left"))
        await engine.finish(fault.kind)
        self._list_start(fault)

    # The endpoint list.

    def _entry(self, engine: FaultyEngine) -> dict[str, object]:
        return host_entry(engine.name, engine.port, born_ms=round(self._clock.unix_ms()))

    def _list_start(self, fault: EngineFault) -> None:
        """List an engine whose process has just started."""
        self._list(fault, self._entry(self._current[fault.engine]))

    def _list(
        self, fault: EngineFault, *entries: dict[str, object], on_listed: Callable[[], None] = lambda: None
    ) -> None:
        """Publish entries as late as the fault says, in the order of the calls for this engine."""
        now = asyncio.get_running_loop().time()
        due_at = max(now + fault.listed_after_s, self._listed_at.get(fault.engine, 0.0) + MIN_LIST_INTERVAL_S)
        if due_at <= now:
            self._bus.say(*entries)
            on_listed()
            return
        self._listed_at[fault.engine] = due_at
        task = asyncio.create_task(self._publish_at(due_at, entries, on_listed))
        self._publishing.add(task)
        task.add_done_callback(self._publishing.discard)

    async def _publish_at(
        self, due_at: float, entries: tuple[dict[str, object], ...], on_listed: Callable[[], None]
    ) -> None:
        await asyncio.sleep(due_at - asyncio.get_running_loop().time())
        self._bus.say(*entries)
        on_listed()

    def close(self) -> None:
        """Publish nothing more."""
        for task in self._publishing:
            task.cancel()
