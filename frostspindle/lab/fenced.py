"""Stand-in for an external store with fencing: a line server on loopback that checks fencing tokens.

It logs accepted and refused requests and stores no entry under a token lower than the highest that it has seen for the
task. Each line is one JSON request: {"task", "token", "holder", "action", "key", "value"}. The response is
{"ok": true}, {"stale": HIGHEST} or {"bad": REASON}.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from frostspindle.ownership.fence import FenceFullError, FenceStore, StaleTokenError, TokenFence

MAX_LINE_BYTES, MAX_ENTRIES = 4_096, 100_000


class Sink:
    """The store without a socket, which the emulator uses too: checks fencing tokens and keeps entries."""

    def __init__(
        self, name: str, now: Callable[[], float], store: FenceStore | None = None, fenced: bool = True
    ) -> None:
        """Set up an empty store.

        `now`: clock in ms for the lines; `fenced`: False accepts stale tokens, for tests that show what the check
        prevents.
        """
        self.name, self.now, self.fenced = name, now, fenced
        self.fence = TokenFence(store)
        self.entries: dict[str, Any] = {}
        self.lines: list[dict[str, Any]] = []

    def take(self, request: dict[str, Any]) -> dict[str, Any]:
        """Handle one request and return the response; it raises no exception for a malformed request.

        The response has `ok`, `stale` with the highest token seen for the task, or `bad` with the reason (malformed
        request, store full). Accepted and stale requests are logged in `lines`; only accepted ones store their value.
        """
        try:
            task, token, holder, action = request["task"], request["token"], request["holder"], request["action"]
            if not all(isinstance(text, str) for text in (task, holder, action)) or not isinstance(token, int):
                raise ValueError("not a task, token, holder and action")
            if len(self.entries) >= MAX_ENTRIES:
                raise FenceFullError("no room")
            response: dict[str, Any] = {"ok": True}
            try:
                self.fence.check(task, token)
            except StaleTokenError as error:
                if self.fenced:
                    response = {"stale": error.highest}
        except (KeyError, ValueError, FenceFullError) as error:
            return {"bad": str(error)[:200]}
        if "ok" in response and "key" in request:
            self.entries[str(request["key"])[:200]] = request.get("value")
        self.lines.append(
            {
                "event": "sink_acted",
                "receiver": self.name,
                "seq": len(self.lines),
                "task": task,
                "token": token,
                "holder": holder,
                "action": action,
                "accepted": "ok" in response,
                "at": round(self.now(), 3),
            }
        )
        return response


class Server:
    """A sink behind a line server on loopback."""

    def __init__(self, sink: Sink) -> None:
        self.sink = sink
        self.port = 0
        self.silent = False  # handle requests without responding
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Server:
        """Listen on a free port of 127.0.0.1, which is stored in `port`, and return self."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=MAX_LINE_BYTES)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                try:
                    request = json.loads(line)
                    response = self.sink.take(request) if isinstance(request, dict) else {"bad": "not an object"}
                except ValueError:
                    response = {"bad": "not JSON"}
                if self.silent:
                    continue
                writer.write(json.dumps(response).encode() + b"\n")
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass  # a line that is too long, or a closed connection
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Stop listening and close all connections; without effect before `start`."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()
