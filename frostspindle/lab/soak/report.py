"""Texts of the soak: a line for each run, and for violations the command, the plan and the history of the request."""

from __future__ import annotations

from frostspindle.lab.soak.plan import make_plan
from frostspindle.lab.soak.run import SoakResult

COMMAND = "frostspindle lab soak --seed {seed}"
MAX_REPORTED = 10  # violations of a run


def summary(result: SoakResult) -> str:
    """Return a line that summarizes a run."""
    plan = make_plan(result.seed)
    idle_clients = ", idle clients" if plan.has_idle_clients else ""
    outage = ", outage" if plan.outage is not None else ""
    steps = ", clock steps " + " ".join(f"{step.seconds:+.0f}" for step in plan.clock_steps) if plan.clock_steps else ""
    faults = ", socket faults" if plan.has_socket_faults else ""
    if plan.crowd is not None:
        faults += f", crowd {plan.crowd.kind} of {plan.crowd.connections}"
    if plan.has_list_faults:
        faults += ", list faults"
    deadline = f", deadline {plan.class_deadline_s} s"
    counts = ", ".join(f"{name} {count}" for name, count in sorted(result.counts.items()))
    verdict = f"{len(result.violations)} rules broken" if result.violations else "passed"
    return (
        f"seed {result.seed} ({plan.topology}{idle_clients}{outage}{steps}{faults}{deadline}): "
        f"{verdict}; {counts}; lag {result.lag_s:.3f} s"
    )


def details(result: SoakResult) -> str:
    """Return the command, plan and violations of a run; empty without violations."""
    if not result.violations:
        return ""
    lines = [COMMAND.format(seed=result.seed)]
    plan = make_plan(result.seed)
    lines += [f"  {fault}" for fault in plan.faults]
    if plan.outage is not None:
        lines.append(f"  {plan.outage}")
    lines += [f"  {step}" for step in plan.clock_steps]
    for violation in result.violations[:MAX_REPORTED]:
        lines.append(f"{violation.rule}: {violation.ticket} {violation.text}")
        lines += [f"  {line}" for line in violation.history]
    return "\n".join(lines)
