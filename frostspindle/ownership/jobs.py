"""Jobs that run under a lease: started when it is acquired, cancelled when it is lost.

`JobRunner` runs the jobs in tasks of the event loop, at most one per lease: a job does not start again before its
previous run in this process has ended. `JobContext` checks the lease after each step and before each send.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol, TypeVar

from frostspindle.ownership.fence import StaleTokenError
from frostspindle.ownership.lease import Lease, LeaseLostError, LeaseProvider
from frostspindle.telemetry import Telemetry

Result = TypeVar("Result")

BACKOFF_S = 0.2  # after the first failed run
MAX_BACKOFF_S = 5.0


class LeaseService(LeaseProvider, Protocol):
    """The operations of the lease manager that jobs use."""

    def record_action(self, task: str, token: int, action: str, receiver: str) -> None:
        """Record that a receiver has accepted an action under a token, for the history and the figures."""


class JobContext:
    """A job's lease, and the checked steps and sends that the job must use."""

    def __init__(self, lease: Lease, leases: LeaseService) -> None:
        self.lease: Lease = lease
        self._leases: LeaseService = leases

    async def step(self, work: Awaitable[Result]) -> Result:
        """Await a step that sends nothing, then check the lease. Raise LeaseLostError."""
        result = await work
        self.lease.check()
        return result

    async def send(self, action: str, receiver: str, call: Callable[[int], Awaitable[Result]]) -> Result:
        """Check the lease, send under its token, and check the lease again.

        Raise LeaseLostError if the lease is lost or the receiver rejects the token. The action counts as accepted when
        `call` returns.
        """
        self.lease.check()
        try:
            result = await call(self.lease.token)
        except StaleTokenError as error:
            self._leases.record_rejection(self.lease.task, self.lease.token, action, error.highest)
            raise LeaseLostError(str(error)) from error
        self._leases.record_action(self.lease.task, self.lease.token, action, receiver)
        self.lease.check()
        return result


class Job(Protocol):
    """Work for the whole fleet under the lease of its task."""

    task: str
    every_s: float  # from the end of a run to the next, while the lease is held

    async def run(self, context: JobContext) -> None:
        """Do the work once; state that must outlive a run is kept by the receivers or the log, not in this process."""


class JobRunner:
    """Runs each job of one coordinator while its lease is held."""

    def __init__(
        self, leases: LeaseService, telemetry: Telemetry, jobs: list[Job], weights: dict[str, float] | None = None
    ) -> None:
        """`weights`: by task, 1 by default; see LeaseProvider.add_candidacy."""
        self.leases: LeaseService = leases
        self.telemetry: Telemetry = telemetry
        self.jobs: dict[str, Job] = {job.task: job for job in jobs}
        self.running: dict[str, set[asyncio.Task[None]]] = {}  # by task: one runs the job, the others are ending
        self.runs: dict[str, int] = dict.fromkeys(self.jobs, 0)  # completed runs, by task
        leases.on_change.append(self._on_lease_changed)
        for job in jobs:
            leases.add_candidacy(job.task, (weights or {}).get(job.task, 1.0))

    def _on_lease_changed(self, task: str, lease: Lease | None) -> None:
        job = self.jobs.get(task)
        if job is None:
            return
        ending = frozenset(run for run in self.running.pop(task, ()) if not run.done())
        _cancel_once(ending)
        if lease is not None:
            self.running[task] = {*ending, asyncio.create_task(self._run(job, lease, ending))}
        elif ending:
            self.running[task] = set(ending)

    async def _run(self, job: Job, lease: Lease, ending: frozenset[asyncio.Task[None]]) -> None:
        """Run a job repeatedly while its lease is held, after its earlier runs have ended."""
        if ending:
            await asyncio.wait(ending)
        failures = 0
        while lease.holds():
            try:
                await job.run(JobContext(lease, self.leases))
                failures = 0
                self.runs[job.task] += 1
            except LeaseLostError:
                return
            except Exception as error:  # noqa: BLE001 - a failing job must not affect others; it is retried
                failures += 1
                self.telemetry.count("owner_job_faults")
                self.telemetry.log("lease_job_failed", task=job.task, token=lease.token, error=repr(error))
            await asyncio.sleep(max(job.every_s, _backoff_s(failures)))

    def figures(self) -> dict[str, Any]:
        """Return the number of runs completed by this process, by task."""
        return dict(self.runs)

    async def close(self) -> None:
        """Cancel all running jobs and wait until they have ended."""
        runs = [run for runs in self.running.values() for run in runs]
        _cancel_once(runs)
        await asyncio.gather(*runs, return_exceptions=True)


def _cancel_once(runs: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks that are not being cancelled yet: a second cancellation would interrupt their clean-up."""
    for run in runs:
        if not run.cancelling():
            run.cancel()


def _backoff_s(failures: int) -> float:
    """Return the backoff in seconds after this number of consecutive failures."""
    if not failures:
        return 0.0
    return min(MAX_BACKOFF_S, BACKOFF_S * 2.0 ** (failures - 1))
