"""Owners in a running coordinator: the timer, the replicated log, and what jobs and operators are told.

Owns when the holder is called and where its outcomes go. It must never decide about a lease by itself, never hold the
event loop for the log, and have one command under way at most, besides an operator's.

Lines of the log, one an event: `owner_took`, `owner_lost`, `owner_released`, `owner_refused`, `owner_acted` with task,
token, holder, action, accepted and `at`, ms of CLOCK_BOOTTIME (lab/history.py reads them); `owner_waits` and
`owner_stands` when this coordinator stops and begins to stand for its tasks, with the reason.
"""

from __future__ import annotations

import asyncio
import re
import secrets
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from frostspindle.ownership import lease_table
from frostspindle.ownership.holder import LeaseChanged, LeaseHolder, LeaseSettings
from frostspindle.ownership.lease import Changed, Lease
from frostspindle.replica.base import LogUnavailableError, OutcomeUnknownError, ReplicatedLog
from frostspindle.telemetry import Telemetry

TOPIC = "owners"
TICK_S = 0.05  # under holder.PATIENCE_MS: a candidate's wait counts only what it watched
FORCE_S, LEAVE_S = 2.0, 0.5
REFUSALS = 32  # are kept for operators
SHOWN = 1_000  # rows told to operators
SINGLE, MANY = 16, 256  # so many turns at once have lines of their own; so many fit into one line
_NAME = re.compile(lease_table.NAME)


def clock() -> float:
    """Return CLOCK_BOOTTIME in ms: monotonic, and goes on while the process is stopped or the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class LeaseManager:
    """The service of lease.OwnersLike. To be made before the log starts, as it attaches its topic."""

    def __init__(
        self,
        log: ReplicatedLog,
        name: str,
        terms: LeaseSettings,
        telemetry: Telemetry,
        busy: Callable[[], str] = lambda: "",
        now: Callable[[], float] = clock,
        seed: int | None = None,
    ) -> None:
        """`busy` returns why this coordinator may take no lease now, or an empty string if it may."""
        if not _NAME.match(name):
            raise ValueError(f"a name of 1 to 64 printable ASCII characters: {name!r:.80}")
        self.log, self.name, self.terms, self.telemetry, self.busy, self.now = log, name, terms, telemetry, busy, now
        self.table = lease_table.LeaseTable()
        self.on_change: list[Changed] = []
        self.acted = self.stale = 0
        self.refusals: deque[dict[str, Any]] = deque(maxlen=REFUSALS)
        self.holder = LeaseHolder(
            name, secrets.randbits(52), terms, self.table, secrets.randbits(60) if seed is None else seed, now()
        )
        self._leases: dict[str, Lease] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._run: asyncio.Task[None] | None = None
        self._why: str | None = None
        self._closed = False
        log.attach(TOPIC, self.table)
        log.watch(TOPIC, self._told)

    # What other parts use.

    def want(self, task: str, weight: float = 1.0) -> None:
        """See OwnersLike; ValueError unless the name has 1 to 64 printable ASCII characters without spaces."""
        if not _NAME.match(task):
            raise ValueError(f"a task's name has 1 to 64 printable ASCII characters: {task!r:.80}")
        self.holder.want(task, weight)

    def unwant(self, task: str) -> None:
        """See OwnersLike; `on_change` is called before this returns, if the lease was held."""
        self.holder.unwant(task)
        self._tell()

    def lease(self, task: str) -> Lease | None:
        """Return the task's lease after a look at the clock; None: it is not held here now."""
        lease = self._leases.get(task)
        return lease if lease is not None and lease.holds() else None

    def refused(self, task: str, token: int, action: str, highest: int) -> None:
        """Count and log an action that a receiver refused as stale; the last REFUSALS are kept for operators."""
        self.stale += 1
        self.telemetry.count("owner_refused")
        self.refusals.append(
            {"task": task, "token": token, "action": action, "highest": highest, "at_unix": round(time.time(), 3)}
        )
        self._line("owner_refused", task, token, action, False, highest=highest)

    def did(self, task: str, token: int, action: str, receiver: str) -> None:
        """Count and log an action that a receiver accepted under a token, or that it can't refuse (an engine's)."""
        self.acted += 1
        self._line("owner_acted", task, token, action, True, receiver=receiver)

    # Timer and log.

    def start(self) -> None:
        """Start the timer that asks for leases every TICK_S; the event loop must run."""
        self._run = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            try:
                self._step()
            except Exception as error:  # noqa: BLE001 - the next look goes over all again
                self.telemetry.count("faults")
                self.telemetry.log("fault", error=repr(error), of="owners")
            await asyncio.sleep(TICK_S)

    def _step(self) -> None:
        now = self.now()
        why = self.busy() or ("" if self.log.leader is not None else "no leader is heard of")
        if why != self._why and self.holder.wants:
            self._why = why
            if why:
                self.telemetry.log("owner_waits", holder=self.name, why=why, wants=len(self.holder.wants))
            else:
                self.telemetry.log("owner_stands", holder=self.name, wants=len(self.holder.wants))
        command = self.holder.ask(now, not why)
        self._tell()
        if command is not None and self.holder.pending is not None:
            self._spawn(self._propose(self.holder.pending.number, command))

    async def _propose(self, number: int, command: bytes) -> None:
        well, appended = True, None
        try:
            await self.log.propose(TOPIC, command, self.terms.within_ms / 1000.0)
        except LogUnavailableError:
            well, appended = False, False
        except OutcomeUnknownError:
            well = False
        finally:
            self.holder.outcome(self.now(), number, well, appended)
        if not self._closed:
            self._step()

    def _told(self, index: int, command: bytes, result: bytes) -> None:
        self.holder.told(self.now(), command, result)
        self._tell()

    def _tell(self) -> None:
        """Pass on what has turned, in order."""
        turned, self.holder.turned = self.holder.turned, []
        for turn in turned:
            if turn.held:
                lease = self._leases.get(turn.task)
                if lease is None or lease.token != turn.token:
                    self._leases[turn.task] = lease = Lease(turn.task, turn.token, self._holding(turn))
            else:
                self._leases.pop(turn.task, None)
                lease = None
            for changed in self.on_change:
                changed(turn.task, lease)
        for event, turns in self._grouped(turned):
            if len(turns) <= SINGLE:
                for turn in turns:
                    self._line(
                        event,
                        turn.task,
                        turn.token,
                        event[6:],
                        True,
                        at=round(turn.at, 3),
                        **({"why": turn.why} if turn.why else {}),
                    )
            else:
                for at in range(0, len(turns), MANY):
                    part = turns[at : at + MANY]
                    self.telemetry.log(
                        event,
                        holder=self.name,
                        action=event[6:],
                        accepted=True,
                        many=[[turn.task, turn.token, round(turn.at, 3)] for turn in part],
                    )

    @staticmethod
    def _grouped(turned: list[LeaseChanged]) -> list[tuple[str, list[LeaseChanged]]]:
        out: list[tuple[str, list[LeaseChanged]]] = []
        for turn in turned:
            event = "owner_took" if turn.held else "owner_released" if turn.why.startswith("released") else "owner_lost"
            if not out or out[-1][0] != event:
                out.append((event, []))
            out[-1][1].append(turn)
        return out

    def _holding(self, turn: LeaseChanged) -> Callable[[], bool]:
        def holds() -> bool:
            held = not self._closed and self.holder.holds(turn.task, turn.token, self.now())
            if self.holder.turned:
                self._tell()
            return held

        return holds

    def _line(self, event: str, task: str, token: int, action: str, accepted: bool, **more: Any) -> None:
        self.telemetry.log(
            event,
            **{
                "task": task,
                "token": token,
                "holder": self.name,
                "action": action,
                "accepted": accepted,
                "at": round(self.now(), 3),
                **more,
            },
        )

    def _spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.telemetry.count("faults")
            self.telemetry.log("fault", error=repr(error), of="owners")

    # Operators.

    def figures(self) -> dict[str, Any]:
        """Return the table of leases as applied here, with counts, for operators; SHOWN rows at most.

        `left_ms`: of own leases until their end, of others until they may be taken over, both by the own clock.
        """
        now = self.now()
        self.holder.look(now)
        self._tell()
        rows = sorted(self.table.rows.items())[:SHOWN]
        waits = self.holder.left_ms([task for task, _ in rows], now)
        counts = Counter(row.holder for row in self.table.rows.values())
        owners = []
        for task, row in rows:
            own = self.holder.own.get(task)
            left = max(0.0, own.end - now) if own is not None else waits.get(task, 0.0)
            owners.append(
                {
                    "task": task,
                    "holder": row.holder,
                    "token": row.token,
                    "renewals": row.renewals,
                    "lease_ms": row.duration_ms,
                    "left_ms": round(left, 1),
                    "here": own is not None,
                    "forced": row.forced,
                }
            )
        return {
            "name": self.name,
            "leader": self.log.leader,
            "index": self.log.index,
            "waits": self._why or "",
            "wants": len(self.holder.wants),
            "tasks": len(self.table.rows),
            "holders": dict(sorted(counts.items())),
            "free": sorted(task for task in self.holder.wants if task not in self.table.rows)[:SHOWN],
            "owners": owners,
            "refused": self.stale,
            "acted": self.acted,
            "refusals": list(self.refusals),
            "counts": dict(sorted(self.holder.counts.items())),
        }

    def force(self, task: str) -> dict[str, Any] | None:
        """Propose an operator's release and return at once which grant it is for; None: nobody holds the task."""
        row = self.table.rows.get(task)
        command = self.holder.force(task)
        if row is None or command is None:
            return None

        async def propose() -> None:
            try:
                await self.log.propose(TOPIC, command, FORCE_S)
            except (LogUnavailableError, OutcomeUnknownError) as error:
                self.telemetry.log("owner_force", task=task, token=row.token, holder=row.holder, error=str(error))
            else:
                self.telemetry.log("owner_force", task=task, token=row.token, holder=row.holder)

        self._spawn(propose())
        return {"task": task, "holder": row.holder, "token": row.token}

    # The end.

    async def close(self) -> None:
        """Give up all leases, first here, then in the table, waiting LEAVE_S at most; later calls do nothing."""
        if self._closed:
            return
        command = self.holder.leave()
        self._tell()
        self._closed = True
        if self._run is not None:
            self._run.cancel()
        if self.holder.number > 1 and self.log.leader is not None:
            try:
                await self.log.propose(TOPIC, command, LEAVE_S)
            except (LogUnavailableError, OutcomeUnknownError) as error:
                self.telemetry.log("owner_left", holder=self.name, error=str(error))
        for task in list(self._tasks):
            task.cancel()
