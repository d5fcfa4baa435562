"""Stand-in engines that hold real rows: one sqlite3 database a site, shared by the site's engines.

Owns the rows and their text form in the platform's answers: columns are separated by tabs, each row ends with a line
feed, null is NULL below. A statement runs when the engine ends it; `hold` delays the answers of loads whose rows are
in. It must never be imported by the coordinator.
"""

from __future__ import annotations

import asyncio
import sqlite3
from typing import Any

from frostspindle.lab.engines import Engine

NULL = "\\N"


class Site:
    """One site's rows, in a sqlite3 database in memory."""

    def __init__(self, name: str, schema: str, tables: dict[str, str]) -> None:
        """`tables`: the columns of each table by its name, as in CREATE TABLE."""
        self.name = name
        self.db = sqlite3.connect(":memory:", isolation_level=None)
        self.db.execute(f"ATTACH ':memory:' AS {schema}")
        for table, columns in tables.items():
            self.db.execute(f"CREATE TABLE {schema}.{table} ({columns})")
        self.loads: list[str] = []  # that have run
        self.hold: asyncio.Event | None = None  # loads are answered once this is set
        self.landed = asyncio.Event()  # a load has run

    def rows(self, statement: str) -> list[tuple[Any, ...]]:
        """Run a statement and return its rows; sqlite3.Error if it can't run."""
        return self.db.execute(statement).fetchall()

    def run(self, statement: str) -> bytes:
        """Run a statement and return its rows in the platform's text form; sqlite3.Error if it can't run."""
        rows = self.rows(statement)
        return "".join("\t".join(text(value) for value in row) + "\n" for row in rows).encode()


def text(value: Any) -> str:
    """Return a value's text form, NULL for None."""
    return NULL if value is None else str(value)


class RowsEngine(Engine):
    """A stand-in engine that runs statements on its site's rows."""

    def __init__(self, name: str, site: Site, delay_s: float = 0.001, cores: int = 0) -> None:
        super().__init__(name, delay_s, cores)
        self.site = site
        self.late: set[asyncio.Task[None]] = set()

    def answer(self, statement: str) -> bytes:
        """Run a statement and return its rows as text; an sqlite3 error becomes one row, `error` and the message."""
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
                self._respond(line, ticket)
