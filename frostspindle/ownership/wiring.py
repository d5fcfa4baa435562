"""Leases and their jobs in the running program: created from the configuration and connected to other components."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TYPE_CHECKING, Any

from frostspindle import config as configuration
from frostspindle.core import clock
from frostspindle.fleet.service import monotonic
from frostspindle.fleet.slow_start_service import started_ms
from frostspindle.net.operator import OperatorError
from frostspindle.ownership.export import ExportJob
from frostspindle.ownership.jobs import Job, JobRunner
from frostspindle.ownership.progress import TOPIC, WarmupProgress
from frostspindle.ownership.service import LeaseManager
from frostspindle.ownership.timing import LeaseSettings
from frostspindle.ownership.warmup import ColdEngine, WarmupJob

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext

MAX_EXPORTED_FIGURES = 32  # per export
WARMUP_TASK = "warm"


class OwnershipComponent:
    """Starts and closes the leases and their jobs; serves the operator calls `show-owners` and `release-owner`."""

    def __init__(self, program: ProgramContext) -> None:
        config = program.config.operator.ownership
        assert config is not None and program.config.operator.replica is not None
        self.program: ProgramContext = program
        self.lease_manager: LeaseManager = LeaseManager(
            program.replica,
            program.config.operator.replica.me,
            LeaseSettings(config.lease_ms, config.drift),
            program.telemetry,
            self.busy,
        )
        self.progress: WarmupProgress = WarmupProgress()
        # Attached even without a warm-up, as all coordinators must have the same topics.
        program.replica.attach(TOPIC, self.progress)
        jobs: list[Job] = [self._export_job(task) for task in config.task]
        weights = {task.name: task.weight for task in config.task}
        self.cost_ms: float = 0.0  # cost of one warm-up statement
        if config.warm is not None:
            jobs.append(self._warmup_job(config.warm))
            weights[WARMUP_TASK] = config.warm.weight
            self.cost_ms = config.warm.cost_ms
        self.runner: JobRunner = JobRunner(self.lease_manager, program.telemetry, jobs, weights)
        if program.operator_server:
            program.operator_server.handlers["show-owners"] = self.figures
            program.operator_server.handlers["release-owner"] = self.release

    def _export_job(self, task: Any) -> ExportJob:
        address = configuration.address(task.at, "ownership.task.at")
        return ExportJob(task.name, address, task.every_ms, self.lease_manager.name, self._exported_figures)

    def _warmup_job(self, config: Any) -> WarmupJob:
        def run(number: int, ticket: str, statement: str) -> Awaitable[bool]:
            return self.program.driver.warm(number, ticket, statement, config.cls, config.most_ms)

        return WarmupJob(
            WARMUP_TASK,
            config.every_ms,
            config.statement,
            self._cold_engines,
            self._spend_budget,
            run,
            self.program.replica,
            self.progress,
        )

    def busy(self) -> str:
        """Return why this coordinator must not acquire leases now (draining, recovering); empty if it may."""
        recovery = getattr(self.program, "recovery", None)
        if self.program.platform.draining:
            return "draining"
        if recovery is not None and not recovery.admission.open:
            return "recovering"
        return ""

    def _cold_engines(self) -> list[ColdEngine]:
        """Return the HTTP engines that are ready and in slow start now, as estimated by the decision module."""
        core = self.program.core
        now = clock()
        return [
            ColdEngine(number, core.engines[number].name, started_ms(core.engines[number]))
            for number, engine_state in core.controller.engines.items()
            if engine_state.ready
            and engine_state.in_slow_start(now)
            and number in core.engines
            and number in self.program.driver.pools
        ]

    def _spend_budget(self, engine: ColdEngine) -> bool:
        """Take the fleet's slow-start budget for one statement; False if there is none now."""
        now = clock()
        core = self.program.core
        warming = getattr(self.program, "warming", None)
        engine_state = core.controller.engines.get(engine.number)
        if engine_state is None or warming is None or warming.budgets is None or engine.name in core.banned:
            return False
        budget = core.controller.slow_start.budget_ms(engine_state, now)
        return bool(warming.budgets.spend(monotonic(), engine.name, engine.born_ms, now, self.cost_ms, budget))

    def _exported_figures(self) -> dict[str, int]:
        """Return a few sums: of the fleet if there is one, else of this coordinator."""
        sums = self.program.fleet.figures().get("sums", {}) if self.program.fleet else {}
        if not sums:
            calls: dict[str, Any] = self.program.core.figures()["calls"]
            sums = {f"{cls} {outcome}": count for cls, row in calls.items() for outcome, count in row.items()}
        return {str(key): int(count) for key, count in sorted(sums.items())[:MAX_EXPORTED_FIGURES]}

    def figures(self) -> dict[str, Any]:
        """Return the figures of the leases and the completed runs of the jobs, for operators."""
        return {**self.lease_manager.figures(), "runs": self.runner.figures()}

    def release(self, task: str) -> dict[str, Any]:
        """Start an operator's release of a task; `show-owners` shows its progress. Raise OperatorError without a
        holder."""
        grant = self.lease_manager.force(task)
        if grant is None:
            raise OperatorError(f"no coordinator holds {task:.64}")
        return grant

    def start(self) -> None:
        """Start requesting leases; jobs start as leases are acquired."""
        self.lease_manager.start()

    async def close(self) -> None:
        """Cancel the jobs and release all leases, early in the shutdown, so that other coordinators can take over."""
        await self.runner.close()
        await self.lease_manager.close()


def attach(program: ProgramContext) -> OwnershipComponent:
    """Create the component of a program with [ownership] configured; to be called before the log starts."""
    return OwnershipComponent(program)
