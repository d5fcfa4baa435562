"""The export of the fleet's figures, once a period, by the lease holder of its task: to a fenced sink over TCP.

`Sink` is the client's side of the connection, `ExportJob` the job. Which period was sent is stored by the sink, so that
another lease holder goes on from there; one request is in flight at most.

One JSON object a line: {"task", "token", "holder", "action", "key", "value"}; answers are {"ok": true}, {"stale":
HIGHEST} or {"bad": WHY}. A sink takes the same key under the same or a higher token again, so a process that is killed
between an export and its answer has done no harm: its successor sends the same period once more.
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

ANSWER_TIMEOUT_S = 2.0
MAX_LINE_BYTES = 4_096


class SinkError(OwnershipError):
    """The sink can't be reached in time, rejects a line otherwise than as stale, or the line is too long."""


class Sink:
    """One connection to a fenced sink, opened when it is first needed and again after each failure."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address: tuple[str, int] = address
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def put(self, task: str, token: int, holder: str, action: str, key: str, value: Any) -> None:
        """Send one line under a fencing token and wait for the sink's answer, ANSWER_TIMEOUT_S at most.

        StaleTokenError if the sink has seen a higher token, SinkError for any other failure. If no answer came, it is
        not known whether the line was accepted.
        """
        fields = {"task": task, "token": token, "holder": holder, "action": action, "key": key, "value": value}
        data = json.dumps(fields).encode() + b"\n"
        if len(data) > MAX_LINE_BYTES:
            raise SinkError(f"{len(data)} bytes, at most {MAX_LINE_BYTES}")
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                if self._connection is None:
                    self._connection = await asyncio.open_connection(*self.address, limit=MAX_LINE_BYTES)
                reader, writer = self._connection
                writer.write(data)
                answer = json.loads(await reader.readline() or b"null")
        except (OSError, TimeoutError, ValueError) as error:
            self.close()
            raise SinkError(repr(error)) from None
        except asyncio.CancelledError:
            self.close()  # its answer would be read as the next one's
            raise
        if isinstance(answer, dict) and "ok" in answer:
            return
        if isinstance(answer, dict) and isinstance(answer.get("stale"), int):
            raise StaleTokenError(task, token, answer["stale"])
        self.close()
        raise SinkError(str(answer)[:200])

    def close(self) -> None:
        """Close the connection, if there is one; the next `put` opens another."""
        if self._connection is not None:
            self._connection[1].close()
        self._connection = None


class ExportJob:
    """The job that exports the fleet's figures once a period; see jobs.Job."""

    def __init__(
        self,
        task: str,
        address: tuple[str, int],
        every_ms: float,
        holder: str,
        figures: Callable[[], dict[str, int]],
        unix_s: Callable[[], float] = time.time,
    ) -> None:
        """`figures`: a few sums, of the fleet where there is one, else of this coordinator; `unix_s`: the clock."""
        self.task: str = task
        self.every_s: float = every_ms / 1000.0
        self.holder: str = holder
        self.figures: Callable[[], dict[str, int]] = figures
        self.unix_s: Callable[[], float] = unix_s
        self.sink: Sink = Sink(address)

    async def run(self, context: JobContext) -> None:
        """Send the figures as the present period's value; of several exports in one period the last counts.

        LeaseLostError, SinkError.
        """
        period = int(self.unix_s() / self.every_s)
        value = self.figures()

        async def put(token: int) -> None:
            await self.sink.put(self.task, token, self.holder, "export", f"{self.task}/{period}", value)

        await context.send("export", "sink", put)
