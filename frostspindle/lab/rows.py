"""Stand-in engines that hold rows: one sqlite3 database per site, shared by the site's engines.

Results are in the platform's text format: columns are separated by tabs, each row ends with a line feed, and null is
NULL below. A statement is executed when its query ends; `hold` delays the answers of loads that were executed. The
coordinator must not import this module.
"""

from __future__ import annotations

import asyncio
import sqlite3
from typing import Any

from frostspindle.lab.engines import Engine

NULL = "\\N"


class Site:
    """One site's rows, in an in-memory sqlite3 database."""

    def __init__(self, name: str, schema: str, tables: dict[str, str]) -> None:
        """Create the tables. `tables`: by table name the column definitions, as in CREATE TABLE."""
        self.name = name
        self.db = sqlite3.connect(":memory:", isolation_level=None)
        self.db.execute(f"ATTACH ':memory:' AS {schema}")
        for table, columns in tables.items():
            self.db.execute(f"CREATE TABLE {schema}.{table} ({columns})")
        self.loads: list[str] = []  # executed loads
        self.hold: asyncio.Event | None = None  # if given, loads are answered once it is set
        self.landed = asyncio.Event()  # set once a load was executed

    def rows(self, statement: str) -> list[tuple[Any, ...]]:
        """Run a statement and return its rows. Raise sqlite3.Error if it fails."""
        return self.db.execute(statement).fetchall()

    def run(self, statement: str) -> bytes:
        """Run a statement and return its rows in the platform's text format. Raise sqlite3.Error if it fails."""
        rows = self.rows(statement)
        return "".join("\t".join(text(value) for value in row) + "\n" for row in rows).encode()


def text(value: Any) -> str:
    """Return a value in the text format, NULL for None."""
    return NULL if value is None else str(value)


class RowsEngine(Engine):
    """A stand-in engine that executes statements on its site's rows."""

    def __init__(self, name: str, site: Site, delay_s: float = 0.001, cores: int = 0) -> None:
        super().__init__(name, delay_s, cores)
        self.site = site
        self.pending_answers: set[asyncio.Task[None]] = set()

    def answer(self, statement: str) -> bytes:
        """Run a statement and return its rows as text; an sqlite3 error gives one row, `error` and the message."""
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
            self._answer_load(ticket)
        else:
            task = asyncio.get_running_loop().create_task(self._answer_load_later(self.site.hold, ticket))
            self.pending_answers.add(task)
            task.add_done_callback(self.pending_answers.discard)

    async def _answer_load_later(self, hold: asyncio.Event, ticket: str) -> None:
        await hold.wait()
        self._answer_load(ticket)

    def _answer_load(self, ticket: str) -> None:
        self.running -= 1
        if ticket in self.results:
            self.results[ticket] = b""
            if connection := self.waiting.pop(ticket, None):
                self._respond(connection, ticket)
