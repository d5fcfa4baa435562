"""Export of the fleet's figures to a fenced sink over TCP, once per period, by the lease holder of its task.

`Sink` is the client side of the connection, `ExportJob` the job. The sink stores which period was sent, so that the
next lease holder continues from there. At most one request is in flight.

The protocol has one JSON object per line: {"task", "token", "holder", "action", "key", "value"}. Responses are {"ok":
true}, {"stale": HIGHEST} or {"bad": REASON}. A sink accepts the same key again under the same or a higher token, so a
process may be killed between an export and its response: its successor sends the same period again.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from frostspindle.ownership.fence import StaleTokenError
from frostspindle.ownership.jobs import JobContext
from frostspindle.ownership.lease import OwnershipError

RESPONSE_TIMEOUT_S = 2.0
MAX_LINE_BYTES = 4_096


class SinkError(OwnershipError):
    """The sink can't be reached in time, rejects a line for a reason other than a stale token, or the line is too
    long."""


class Sink:
    """One connection to a fenced sink, opened on first use and again after each failure."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address: tuple[str, int] = address
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def put(self, task: str, token: int, holder: str, action: str, key: str, value: Any) -> None:
        """Send one line under a fencing token and wait for the sink's response, RESPONSE_TIMEOUT_S at most.

        Raise StaleTokenError if the sink has seen a higher token, and SinkError for any other failure. Without a
        response it is unknown whether the line was accepted.
        """
        fields = {"task": task, "token": token, "holder": holder, "action": action, "key": key, "value": value}
        data = json.dumps(fields).encode() + b"\n"
        if len(data) > MAX_LINE_BYTES:
            raise SinkError(f"{len(data)} bytes in a line, the limit is {MAX_LINE_BYTES}")
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                if self._connection is None:
                    self._connection = await asyncio.open_connection(*self.address, limit=MAX_LINE_BYTES)
                reader, writer = self._connection
                writer.write(data)
                response = json.loads(await reader.readline() or b"null")
        except (OSError, TimeoutError, ValueError) as error:
            self.close()
            raise SinkError(repr(error)) from None
        except asyncio.CancelledError:
            self.close()  # otherwise the next request would read this one's response
            raise
        if isinstance(response, dict) and "ok" in response:
            return
        if isinstance(response, dict) and isinstance(response.get("stale"), int):
            raise StaleTokenError(task, token, response["stale"])
        self.close()
        raise SinkError(str(response)[:200])

    def close(self) -> None:
        """Close the connection, if it is open; the next `put` opens another."""
        if self._connection is not None:
            self._connection[1].close()
        self._connection = None


class ExportJob:
    """The job that exports the fleet's figures once per period; see jobs.Job."""

    def __init__(
        self,
        task: str,
        address: tuple[str, int],
        every_ms: float,
        holder: str,
        figures: Callable[[], dict[str, int]],
        unix_s: Callable[[], float] = time.time,
    ) -> None:
        """`figures` returns a few sums: of the fleet if there is one, else of this coordinator. `unix_s`: the clock."""
        self.task: str = task
        self.every_s: float = every_ms / 1000.0
        self.holder: str = holder
        self.figures: Callable[[], dict[str, int]] = figures
        self.unix_s: Callable[[], float] = unix_s
        self.sink: Sink = Sink(address)

    async def run(self, context: JobContext) -> None:
        """Send the figures as the current period's value; of several exports in one period the last one counts.

        Raise LeaseLostError or SinkError.
        """
        period = int(self.unix_s() / self.every_s)
        value = self.figures()

        async def put(token: int) -> None:
            await self.sink.put(self.task, token, self.holder, "export", f"{self.task}/{period}", value)

        await context.send("export", "sink", put)
