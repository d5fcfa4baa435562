"""Work under a lease: begun when the lease is got, ended when it is lost, checked at each step and before each send.

Owns the tasks of the event loop that do such work, one a task of the fleet at most. It must never let a send begin
without a look at the lease, and never begin a job anew before its last run here has ended.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

from frostspindle.ownership.fence import StaleTokenError
from frostspindle.ownership.lease import Lease, LeaseLostError, LeaseProvider
from frostspindle.telemetry import Telemetry

Got = TypeVar("Got")
AGAIN_S, AGAIN_MOST_S = 0.2, 5.0  # after a run that ended or failed


class LeaseService(LeaseProvider, Protocol):
    """What jobs need of the service."""

    def did(self, task: str, token: int, action: str, receiver: str) -> None:
        """Note that a receiver has accepted an action under a token, for the history and the figures."""


class JobContext:
    """What a job works with: its lease, and the only way by which it may send."""

    def __init__(self, lease: Lease, owners: LeaseService) -> None:
        self.lease, self._owners = lease, owners

    async def step(self, work: Awaitable[Got]) -> Got:
        """Await a step that sends nothing, then check the lease. Raises Lost."""
        got = await work
        self.lease.check()
        return got

    async def send(self, action: str, receiver: str, call: Callable[[int], Awaitable[Got]]) -> Got:
        """Check the lease, send under its token, check again. Raises Lost, also where the receiver answers Stale.

        The action counts as accepted when `call` returns.
        """
        self.lease.check()
        try:
            got = await call(self.lease.token)
        except StaleTokenError as error:
            self._owners.refused(self.lease.task, self.lease.token, action, error.highest)
            raise LeaseLostError(str(error)) from None
        self._owners.did(self.lease.task, self.lease.token, action, receiver)
        self.lease.check()
        return got


class Job(Protocol):
    """Work on behalf of the whole fleet, under the lease of its task."""

    task: str
    every_s: float  # from the end of a run to the next, while the lease is held

    async def run(self, hand: JobContext) -> None:
        """Do the work once; what must be remembered between runs is kept by receivers or the log, not this process."""


class JobRunner:
    """All jobs of one coordinator, each run while its lease is held."""

    def __init__(
        self, owners: LeaseService, telemetry: Telemetry, jobs: list[Job], weights: dict[str, float] | None = None
    ) -> None:
        self.owners, self.telemetry = owners, telemetry
        self.jobs = {job.task: job for job in jobs}
        self.running: dict[str, set[asyncio.Task[None]]] = {}  # the last one works, others are still ending
        self.runs: dict[str, int] = dict.fromkeys(self.jobs, 0)
        owners.on_change.append(self._changed)
        for job in jobs:
            owners.want(job.task, (weights or {}).get(job.task, 1.0))

    def _changed(self, task: str, lease: Lease | None) -> None:
        if (job := self.jobs.get(task)) is None:
            return
        before = frozenset(work for work in self.running.pop(task, ()) if not work.done())
        for work in before:
            if not work.cancelling():  # once: a second time would break into its way out
                work.cancel()
        if lease is not None:
            self.running[task] = {*before, asyncio.create_task(self._work(job, lease, before))}
        elif before:
            self.running[task] = set(before)

    async def _work(self, job: Job, lease: Lease, before: frozenset[asyncio.Task[None]]) -> None:
        if before:
            await asyncio.wait(before)
        failed = 0
        while lease.holds():
            try:
                await job.run(JobContext(lease, self.owners))
                failed = 0
                self.runs[job.task] += 1
            except LeaseLostError:
                return
            except Exception as error:  # noqa: BLE001 - a job's fault is its own: the next run tries again
                failed += 1
                self.telemetry.count("owner_job_faults")
                self.telemetry.log("owner_job", task=job.task, token=lease.token, error=repr(error))
            await asyncio.sleep(max(job.every_s, min(AGAIN_MOST_S, AGAIN_S * 2.0 ** (failed - 1)) if failed else 0.0))

    def figures(self) -> dict[str, Any]:
        """Return the number of runs that were completed here, by task."""
        return dict(self.runs)

    async def close(self) -> None:
        """Cancel all running jobs and wait until they have ended."""
        works = [work for works in self.running.values() for work in works]
        for work in works:
            if not work.cancelling():
                work.cancel()
        await asyncio.gather(*works, return_exceptions=True)
