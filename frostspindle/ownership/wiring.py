"""Owners in the running program: what the operator's file asks for, hung into the program's parts.

Owns which jobs there are and where their figures come from. It must never start anything by itself: the program does.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from frostspindle import config as configuration
from frostspindle.core import clock
from frostspindle.fleet.service import monotonic
from frostspindle.fleet.slow_start_service import started_ms
from frostspindle.net.operator import OperatorError
from frostspindle.ownership.export import ExportJob
from frostspindle.ownership.holder import LeaseSettings
from frostspindle.ownership.jobs import Job, JobRunner
from frostspindle.ownership.progress import TOPIC, WarmupProgress
from frostspindle.ownership.service import LeaseManager
from frostspindle.ownership.warmup import ColdEngine, WarmupJob

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext

SUMS = 32  # figures of one export


class OwnershipComponent:
    """Owners and their jobs as the program starts and ends them; its calls `show-owners` and `release-owner`."""

    def __init__(self, program: ProgramContext) -> None:
        config = program.config.operator.ownership
        assert config is not None and program.config.operator.replica is not None
        self.program = program
        self.owners = LeaseManager(
            program.replica,
            program.config.operator.replica.me,
            LeaseSettings(config.lease_ms, config.drift),
            program.telemetry,
            self.busy,
        )
        warmed = WarmupProgress()  # also where nothing is warmed up: all coordinators hold the same topics
        program.replica.attach(TOPIC, warmed)
        jobs: list[Job] = [
            ExportJob(
                task.name,
                configuration.address(task.at, "ownership.task.at"),
                task.every_ms,
                self.owners.name,
                self._sums,
            )
            for task in config.task
        ]
        weights = {task.name: task.weight for task in config.task}
        if config.warm is not None:
            warm = config.warm
            jobs.append(
                WarmupJob(
                    "warm",
                    warm.every_ms,
                    warm.statement,
                    self._cold,
                    self._pay,
                    lambda number, ticket, statement: program.driver.warm(
                        number, ticket, statement, warm.cls, warm.most_ms
                    ),
                    program.replica,
                    warmed,
                )
            )
            weights["warm"] = warm.weight
        self.cost_ms = config.warm.cost_ms if config.warm is not None else 0.0
        self.runner = JobRunner(self.owners, program.telemetry, jobs, weights)
        if program.operator_server:
            program.operator_server.handlers["show-owners"] = self.figures
            program.operator_server.handlers["release-owner"] = self.release

    def busy(self) -> str:
        """Return why this coordinator may take no lease now (draining, recovering); empty if it may."""
        recovery = getattr(self.program, "recovery", None)
        if self.program.platform.draining:
            return "draining"
        if recovery is not None and not recovery.admission.open:
            return "recovering"
        return ""

    def _cold(self) -> list[ColdEngine]:
        """HTTP engines that the module believes cold and ready now."""
        core = self.program.core
        now = clock()
        return [
            ColdEngine(number, core.engines[number].name, started_ms(core.engines[number]))
            for number, believed in core.controller.engines.items()
            if believed.ready
            and believed.in_slow_start(now)
            and number in core.engines
            and number in self.program.driver.pools
        ]

    def _pay(self, engine: ColdEngine) -> bool:
        """The fleet's rights for one statement."""
        now, core, warming = clock(), self.program.core, getattr(self.program, "warming", None)
        believed = core.controller.engines.get(engine.number)
        if believed is None or warming is None or warming.budgets is None or engine.name in core.banned:
            return False
        return bool(
            warming.budgets.spend(
                monotonic(),
                engine.name,
                engine.born_ms,
                now,
                self.cost_ms,
                core.controller.slow_start.budget_ms(believed, now),
            )
        )

    def _sums(self) -> dict[str, int]:
        sums = self.program.fleet.figures().get("sums", {}) if self.program.fleet else {}
        if not sums:
            calls: dict[str, Any] = self.program.core.figures()["calls"]
            sums = {f"{cls} {how}": count for cls, row in calls.items() for how, count in row.items()}
        return {str(key): int(count) for key, count in sorted(sums.items())[:SUMS]}

    def figures(self) -> dict[str, Any]:
        """Return the owners' figures and the completed runs of the jobs here, for operators."""
        return {**self.owners.figures(), "runs": self.runner.figures()}

    def release(self, task: str) -> dict[str, Any]:
        """Begin an operator's release of a task, to be seen in `show-owners`; Nak if nobody holds it."""
        found = self.owners.force(task)
        if found is None:
            raise OperatorError(f"nobody holds {task:.64}")
        return found

    def start(self) -> None:
        """Start asking for leases; jobs run as leases are got."""
        self.owners.start()

    async def close(self) -> None:
        """Cancel the jobs and release all leases, early in the program's end, so that others take over meanwhile."""
        await self.runner.close()
        await self.owners.close()


def attach(program: ProgramContext) -> OwnershipComponent:
    """Make the part of a program that has [ownership] configured; to be called before the log starts."""
    return OwnershipComponent(program)
