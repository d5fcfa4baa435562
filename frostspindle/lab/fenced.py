"""A fenced store outside of the project, as a stand-in: a line server on loopback that keeps the highest tokens.

Owns its socket, its entries and its lines of what it accepted and refused. It must never keep an entry under a token
that is lower than one that it has seen for the task. One request a line, as JSON: {"task", "token", "holder", "action",
"key", "value"}; it answers {"ok": true}, {"stale": HIGHEST} or {"bad": WHY}.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from frostspindle.ownership.fence import FenceFullError, FenceStore, StaleTokenError, TokenFence

MOST_LINE, MOST_ENTRIES = 4_096, 100_000


class Sink:
    """The receiver without a socket, so that the emulator can use it too: checks fencing tokens and keeps entries."""

    def __init__(
        self, name: str, now: Callable[[], float], store: FenceStore | None = None, fenced: bool = True
    ) -> None:
        """`now`: a clock in ms for the lines; `fenced`: False accepts stale tokens, for tests that show what the
        check prevents."""
        self.name, self.now, self.fenced = name, now, fenced
        self.fence = TokenFence(store)
        self.entries: dict[str, Any] = {}
        self.lines: list[dict[str, Any]] = []

    def take(self, said: dict[str, Any]) -> dict[str, Any]:
        """Handle one request and return the answer: `ok`, `stale` with the highest token seen for the task, or `bad`
        with the reason (malformed, no room); it raises nothing for a malformed request.

        Accepted and stale requests get a line in `lines`, bad ones do not; only accepted ones store their key and
        value.
        """
        try:
            task, token, holder, action = said["task"], said["token"], said["holder"], said["action"]
            if not all(isinstance(text, str) for text in (task, holder, action)) or not isinstance(token, int):
                raise ValueError("not a task, token, holder and action")
            if len(self.entries) >= MOST_ENTRIES:
                raise FenceFullError("no room")
            answer: dict[str, Any] = {"ok": True}
            try:
                self.fence.check(task, token)
            except StaleTokenError as error:
                if self.fenced:
                    answer = {"stale": error.highest}
        except (KeyError, ValueError, FenceFullError) as error:
            return {"bad": str(error)[:200]}
        if "ok" in answer and "key" in said:
            self.entries[str(said["key"])[:200]] = said.get("value")
        self.lines.append(
            {
                "event": "sink_acted",
                "receiver": self.name,
                "seq": len(self.lines),
                "task": task,
                "token": token,
                "holder": holder,
                "action": action,
                "accepted": "ok" in answer,
                "at": round(self.now(), 3),
            }
        )
        return answer


class Server:
    """A sink behind a line server on loopback."""

    def __init__(self, sink: Sink) -> None:
        self.sink = sink
        self.port = 0
        self.silent = False  # takes what comes, and answers nothing
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Server:
        """Listen on a free port of 127.0.0.1, which is in `port` then, and return self."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=MOST_LINE)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                try:
                    said = json.loads(line)
                    answer = self.sink.take(said) if isinstance(said, dict) else {"bad": "not an object"}
                except ValueError:
                    answer = {"bad": "not JSON"}
                if self.silent:
                    continue
                writer.write(json.dumps(answer).encode() + b"\n")
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass  # a line that is too long, or a caller that is gone
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Stop listening and close all connections; without effect before `start`."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()
