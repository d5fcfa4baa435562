"""The engine list and the bans that a node reports to other coordinators and writes to its store."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from frostspindle.recovery import wire
from frostspindle.recovery.agreement import BanTable, MemberReport
from frostspindle.recovery.engine_restarts import EngineRestarts
from frostspindle.recovery.outputs import NodeOutputs
from frostspindle.recovery.report import PagedReport, paginate
from frostspindle.recovery.wire import BanStatement, ListedEngine
from frostspindle.recovery.write_buffer import WriteBuffer

MAX_ENGINES = 4_000  # engines beyond this number are neither reported nor stored


class PublishedState:
    """One node's engine list, the engine restarts that it has seen, and all coordinators' bans. No I/O."""

    def __init__(self, name: str, outputs: NodeOutputs, buffer: WriteBuffer) -> None:
        self.last_event: int = 0  # number of the last bus event that the engine list includes
        self.engines: dict[str, ListedEngine] = {}
        self.bans: BanTable = BanTable()
        self.restarts: EngineRestarts = EngineRestarts(outputs, on_change=self.invalidate)
        self.stored: MemberReport | None = None  # the previous process's engine list, from the store
        self._name: str = name
        self._buffer: WriteBuffer = buffer
        self._paged: PagedReport | None = None  # None: to be rebuilt

    def invalidate(self) -> None:
        """Discard the cached report, as its contents may have changed."""
        self._paged = None

    def set_engines(self, last_event: int, listed: Mapping[str, ListedEngine], store: bool) -> None:
        """Set the engine list, up to MAX_ENGINES; `store`: write the changes to the store."""
        engines = dict(list(listed.items())[:MAX_ENGINES])
        if (last_event, engines) == (self.last_event, self.engines):
            return
        if store:
            self._store_engines(engines)
        self.last_event = last_event
        self.engines = engines
        self.invalidate()
        self.restarts.on_engine_list(engines)

    def store_all_engines(self) -> None:
        """Replace the previous process's engine list in the store."""
        self._store_engines(self.engines, self.stored.engines if self.stored else ())

    def _store_engines(self, engines: Mapping[str, ListedEngine], stored: Collection[str] = ()) -> None:
        """Write the differences from the last list, or all engines if the store has those of the previous process."""
        for name in (*self.engines, *stored):
            if name not in engines:
                self._buffer.delete("engines", name)
        for name, engine in engines.items():
            if stored or self.engines.get(name) != engine:
                self._buffer.put("engines", name, wire.encode(engine))

    def merge_ban(self, statement: BanStatement) -> None:
        """Merge a statement on a ban, and write it to the store if it changes the table."""
        if self.bans.merge(statement):
            self._buffer.put("bans", f"{statement.origin}/{statement.engine}", wire.encode(statement))
            self.invalidate()

    def prune(self, unix_ms: float) -> None:
        """Drop refusals and lifted bans that have expired at `unix_ms`."""
        self.restarts.prune(unix_ms)
        for origin, engine in self.bans.prune(unix_ms):
            self._buffer.delete("bans", f"{origin}/{engine}")

    def own_report(self, store_lost: bool, past_agreement: bool) -> MemberReport:
        """Return a report of the present list, or of the stored one if it is later and the agreement has not ended."""
        last_event = self.last_event
        engines: Mapping[str, ListedEngine] = self.engines
        if self.stored is not None and self.stored.last_event > last_event and not past_agreement:
            last_event = self.stored.last_event
            engines = self.stored.engines
        return MemberReport(self._name, last_event, engines, settled=False, store_lost=store_lost)

    def paged(self, own_report: MemberReport) -> PagedReport:
        """Return the pages that other coordinators may request, built from this node's report."""
        if self._paged is None:
            engines = map(self.restarts.as_reported, own_report.engines.values())
            self._paged = paginate(own_report.last_event, engines, self.bans.statements.values())
        return self._paged
