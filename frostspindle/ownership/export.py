"""The export of the fleet's figures, once a period, by the one that holds its task: to a fenced sink over TCP.

Owns the client's side of the sink's lines and when a period is due. It must never send without a lease, never keep by
itself which period was sent (the sink does: another owner goes on from there), and never hold more than one answer.

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

ANSWER_S, MOST_LINE = 2.0, 4_096


class SinkError(Exception):
    """The sink can't be reached in time, refuses a line otherwise than as stale, or the line is too long."""


class Sink:
    """One connection to a fenced sink, opened when it is first needed and again after each failure."""

    def __init__(self, at: tuple[str, int]) -> None:
        self.at = at
        self._line: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def put(self, task: str, token: int, holder: str, action: str, key: str, value: Any) -> None:
        """Send one line under a fencing token and wait for the sink's answer, ANSWER_S at most.

        Raises Stale if the sink has seen a higher token, SinkError for any other failure. If no answer came, it is not
        known whether the line was taken.
        """
        said = {"task": task, "token": token, "holder": holder, "action": action, "key": key, "value": value}
        data = json.dumps(said).encode() + b"\n"
        if len(data) > MOST_LINE:
            raise SinkError(f"{len(data)} bytes, at most {MOST_LINE}")
        try:
            async with asyncio.timeout(ANSWER_S):
                if self._line is None:
                    self._line = await asyncio.open_connection(*self.at, limit=MOST_LINE)
                reader, writer = self._line
                writer.write(data)
                answer = json.loads(await reader.readline() or b"null")
        except (OSError, TimeoutError, ValueError) as error:
            self.close()
            raise SinkError(repr(error)) from None
        except asyncio.CancelledError:
            self.close()  # its answer would be taken for the next one's
            raise
        if not isinstance(answer, dict) or "ok" not in answer:
            if isinstance(answer, dict) and isinstance(answer.get("stale"), int):
                raise StaleTokenError(task, token, answer["stale"])
            self.close()
            raise SinkError(str(answer)[:200])

    def close(self) -> None:
        """Close the connection, if there is one; the next `put` opens another."""
        if self._line is not None:
            self._line[1].close()
        self._line = None


class ExportJob:
    """The job that exports the fleet's figures once a period; see jobs.Job."""

    def __init__(
        self,
        task: str,
        at: tuple[str, int],
        every_ms: float,
        holder: str,
        figures: Callable[[], dict[str, int]],
        unix: Callable[[], float] = time.time,
    ) -> None:
        """`figures`: a few sums, of the fleet where there is one, else of this coordinator; `unix`: seconds."""
        self.task, self.every_s, self.holder, self.figures, self.unix = task, every_ms / 1000.0, holder, figures, unix
        self.sink = Sink(at)

    async def run(self, hand: JobContext) -> None:
        """Send the figures as the present period's value; of several exports in one period the last stands. Lost,
        SinkError."""
        period = int(self.unix() / self.every_s)
        value = self.figures()

        async def put(token: int) -> None:
            await self.sink.put(self.task, token, self.holder, "export", f"{self.task}/{period}", value)

        await hand.send("export", "sink", put)
