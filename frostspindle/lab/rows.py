"""Stand-in engines that hold real rows: one sqlite3 database a site, shared by the site's engines.

Owns the rows and their text form in the platform's answers: columns end with a tab, rows with a line feed, null is NULL
below. A statement runs when the engine ends it; `hold` keeps the answers of loads back once their rows are in. It must
never be imported by the coordinator.
"""

from __future__ import annotations

import asyncio
import sqlite3
from typing import Any

from frostspindle.lab.engines import Engine

NULL = "\\N"


class Site:
    """One site's rows."""

    def __init__(self, name: str, schema: str, tables: dict[str, str]) -> None:
        """`tables`: by name their columns as CREATE TABLE has them."""
        self.name = name
        self.db = sqlite3.connect(":memory:", isolation_level=None)
        self.db.execute(f"ATTACH ':memory:' AS {schema}")
        for table, columns in tables.items():
            self.db.execute(f"CREATE TABLE {schema}.{table} ({columns})")
        self.loads: list[str] = []  # that have run
        self.hold: asyncio.Event | None = None  # loads are answered once this is set
        self.landed = asyncio.Event()  # a load has run

    def rows(self, statement: str) -> list[tuple[Any, ...]]:
        return self.db.execute(statement).fetchall()

    def run(self, statement: str) -> bytes:
        rows = self.rows(statement)
        return "".join("\t".join(text(value) for value in row) + "\n" for row in rows).encode()


def text(value: Any) -> str:
    return NULL if value is None else str(value)


class RowsEngine(Engine):
    """An engine at a site."""

    def __init__(self, name: str, site: Site, delay_s: float = 0.001, cores: int = 0) -> None:
        super().__init__(name, delay_s, cores)
        self.site = site
        self.late: set[asyncio.Task[None]] = set()

    def answer(self, statement: str) -> bytes:
        try:
            return self.site.run(statement)
        except sqlite3.Error as error:
            return f"error\t{error}\n".encode()

    def _done(self, ticket: str, statement: str) -> None:
        if not statement.upper().startswith("INSERT"):
            super()._done(ticket, statement)
            return
        self.site.loads.append(statement)
        self.site.run(statement)
        self.site.landed.set()
        if self.site.hold is None:
            self._loaded(ticket)
        else:
            task = asyncio.get_running_loop().create_task(self._kept(self.site.hold, ticket))
            self.late.add(task)
            task.add_done_callback(self.late.discard)

    async def _kept(self, hold: asyncio.Event, ticket: str) -> None:
        await hold.wait()
        self._loaded(ticket)

    def _loaded(self, ticket: str) -> None:
        self.running -= 1
        if ticket in self.results:
            self.results[ticket] = b""
            if line := self.waiting.pop(ticket, None):
                self._news(line, ticket)
