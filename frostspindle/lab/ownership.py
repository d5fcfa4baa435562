"""Emulator of lease owners: the real holders and tables on the emulated log, one fenced sink, and a script of faults.

It simulates the coordinators' clocks and the actions under their leases with their delays, and logs all of it.
`history.check` checks the lines. The same arguments give the same run within one process, and in several processes
with the same PYTHONHASHSEED, because the library iterates over sets of names.

A coordinator checks its lease and sends the action later: within 20 ms or, for a share of the actions (`late`), after
a delay as long as a process may be paused. The sink is never cut off.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from frostspindle.lab.faults.script import parse
from frostspindle.lab.fenced import Sink
from frostspindle.lab.history import Checked, check
from frostspindle.lab.replica import EmulatedLog, EmulatedReplicas
from frostspindle.ownership.holder import LeaseHolder, LeaseSettings
from frostspindle.ownership.lease_state import CommandOutcome
from frostspindle.ownership.lease_table import LeaseTable
from frostspindle.replica.base import AppliedEntry, OutcomeUnknownError

TOPIC, STEP_MS = "owners", 25.0


class Coordinator:
    """One incarnation of one coordinator: its lease holder and table on the emulated log."""

    def __init__(self, lab: Lab, number: int, log: EmulatedLog) -> None:
        self.lab, self.number, self.log, self.name = lab, number, log, f"c{number}"
        self.table = LeaseTable()
        self.last_check_at = lab.now  # true time of the last check of the leases
        lab.incarnations += 1
        self.holder = LeaseHolder(
            self.name, lab.incarnations, lab.settings, self.table, lab.random.getrandbits(32), self.now
        )
        for task in lab.tasks:
            self.holder.add_candidacy(task, 1.0)
        log.attach(TOPIC, self.table)
        log.watch(TOPIC, lambda index, command, result: self.on_entry_applied(command, result))

    @property
    def now(self) -> float:
        """The coordinator's own clock in ms (`Lab.clock`)."""
        return self.lab.clock(self.number)

    def on_entry_applied(self, command: bytes, result: bytes) -> None:
        """Pass an applied entry to the holder, and log the leases that it acquired or lost."""
        self.holder.on_applied(self.now, command, result)
        self.log_changes()
        self.last_check_at = self.lab.now

    def log_changes(self) -> None:
        """Log the holder's changes as owner_took and owner_lost lines, in true ms.

        An expired lease is logged at its end, a released or transferred one at the present time, and one lost otherwise
        at the last check, because no action was sent under it after that.
        """
        changes, self.holder.changes = self.holder.changes, []
        for change in changes:
            # A lease that expired by the coordinator's own clock ended this long ago in true time.
            before = (self.now - change.at) / self.lab.replicas.rates.get(self.number, 1.0)
            # A lease that a clock step ended was last acted under at the check before the step.
            at = (
                self.lab.now
                if change.held or change.reason.startswith(("released", "passed"))
                else self.last_check_at
                if change.reason != "over"
                else self.lab.now - before
            )
            self.lab.lines.append(
                {
                    "event": "owner_took" if change.held else "owner_lost",
                    "task": change.task,
                    "token": change.token,
                    "holder": self.name,
                    "at": round(at, 3),
                }
            )

    def step(self) -> None:
        """Propose the holder's next command, and act under each lease that is held now."""
        command = self.holder.next_command(self.now, self.log.leader is not None)
        self.log_changes()
        if command is not None:
            assert self.holder.pending is not None
            number, holder = self.holder.pending.number, self.holder
            self.lab.bytes += len(command)
            self.lab.commands += 1

            def on_outcome(result: Any) -> None:
                outcome = CommandOutcome.NOT_APPENDED
                if isinstance(result, AppliedEntry):
                    outcome = CommandOutcome.APPLIED
                elif isinstance(result, OutcomeUnknownError):
                    outcome = CommandOutcome.UNKNOWN
                holder.on_outcome(self.now, number, outcome)

            self.log.submit(TOPIC, command, self.lab.settings.command_timeout_ms / 1_000.0, on_outcome)
        for task, lease in list(self.holder.leases.items()):
            if lease.announced and self.holder.holds(task, lease.token, self.now):
                self.lab.act(self, task, lease.token)
        self.log_changes()
        self.last_check_at = self.lab.now


class Lab:
    """One run. Times are in true ms."""

    def __init__(
        self,
        nodes: int,
        seed: int,
        script: str,
        tasks: int = 3,
        voters: int = 3,
        lease_ms: int = 3_000,
        drift: float = 0.02,
        late: float = 0.1,
        fenced: bool = True,
        make: Callable[..., Coordinator] = Coordinator,
    ) -> None:
        """Set up a run. `late`: share of the actions that are sent up to two lease times after the check."""
        self.random = random.Random(f"ownership {seed}")
        self.settings = LeaseSettings(lease_ms, drift)
        self.tasks = [f"t{n}" for n in range(tasks)]
        self.late, self.incarnations, self.bytes, self.commands = late, 0, 0, 0
        self.lines: list[dict[str, Any]] = []
        self.killed_at: dict[str, list[float]] = {}
        self.jumps: dict[int, float] = {}
        self.coordinators: dict[int, Coordinator] = {}
        self._first, self._fenced, self._make = True, fenced, make
        self.sent: list[tuple[float, int, dict[str, Any]]] = []
        voters = min(voters, nodes - (nodes + 1) % 2)
        self._began = 0.0
        self.replicas: EmulatedReplicas = None  # type: ignore[assignment]  # set below; `now` is read before that
        self.sink = Sink("sink", lambda: self.now, fenced=fenced)
        self.replicas = EmulatedReplicas(nodes, voters, seed, parse(script, nodes), self._attach)
        self.script = self.replicas.network.message_faults.script
        self.count = nodes

    @property
    def now(self) -> float:
        """True time in ms; 0 while the run is being set up."""
        return self.replicas.now if self.replicas is not None else 0.0

    def clock(self, number: int) -> float:
        """Return a coordinator's own clock in ms: true time at its rate, plus its jumps."""
        rate = dict(self.script.clocks).get(number, 1.0) if self.replicas is not None else 1.0
        return 1e6 + self.now * rate + self.jumps.get(number, 0.0)

    def _attach(self, number: int, log: EmulatedLog) -> None:
        self._remove(number)
        self.coordinators[number] = self._make(self, number, log)

    def _remove(self, number: int) -> None:
        if (coordinator := self.coordinators.pop(number, None)) is not None:
            # A stopped process did nothing after its last check.
            self.killed_at.setdefault(f"c{number}", []).append(coordinator.last_check_at)

    def act(self, coordinator: Coordinator, task: str, token: int) -> None:
        """Queue an action that a check of the lease has just allowed.

        It is sent within 20 ms or, for the share `late`, up to two lease times later.
        """
        delay_ms = (
            self.random.uniform(0.0, 2.0 * self.settings.lease_ms)
            if self.random.random() < self.late
            else (self.random.uniform(0.0, 20.0))
        )
        self.sent.append(
            (
                self.now + delay_ms,
                coordinator.number,
                {
                    "task": task,
                    "token": token,
                    "holder": coordinator.name,
                    "action": "late" if delay_ms > 20.0 else "mark",
                },
            )
        )

    def run(self, seconds: float) -> Lab:
        """Simulate until `seconds` of true time in steps of STEP_MS, send due actions to the sink, and return self."""
        network = self.replicas.network
        while self.now < seconds * 1_000.0:
            self.replicas.advance(STEP_MS)
            for number in range(self.count):
                if not network.up[number] and number in self.coordinators:
                    self._remove(number)
                elif (coordinator := self.coordinators.get(number)) is not None and not network.paused[number]:
                    coordinator.step()
            due = sorted((action for action in self.sent if action[0] <= self.now), key=lambda action: action[0])
            self.sent = [action for action in self.sent if action[0] > self.now]
            for _, _, request in due:
                self.sink.take(request)
        return self

    def checked(self, expect: int = 1) -> Checked:
        """Check the run's lines with `history.check`. `expect`: minimum number of accepted actions."""
        return check([*self.lines, *self.sink.lines], self.killed_at, slack_ms=0.0, expect=expect)


def drawn(nodes: int, seed: int, seconds: float, lease_ms: float) -> str:
    """Return a script drawn from the seed with the faults that are hard for leases.

    Coordinators are stopped or cut off for up to 2.5 lease times or killed, clocks differ, and messages are lost.
    """
    rng = random.Random(f"script {seed}")
    statements, begin, lease_s = [], 2.0, lease_ms / 1_000.0
    if rng.random() < 0.5:
        statements.append(f"loss {rng.uniform(0.0, 0.1):.3f}")
    if rng.random() < 0.5:
        statements += [f"clock {n} {rng.uniform(0.98, 1.02):.4f}" for n in range(nodes)]
    while begin < seconds - 3.0 * lease_s:
        node, length_s = rng.randrange(nodes), rng.uniform(1.0, 2.5) * lease_s
        kind = rng.choice(("stop", "kill", "cut", "oneway", "most"))
        others = ",".join(str(n) for n in range(nodes) if n != node)
        if kind == "stop":
            statements.append(f"{begin:.2f} stop {node}; {begin + length_s:.2f} cont {node}")
        elif kind == "kill":
            statements.append(f"{begin:.2f} kill {node}; {begin + rng.uniform(0.1, 1.5) * lease_s:.2f} start {node}")
        elif kind == "cut":
            statements.append(f"{begin:.2f}-{begin + length_s:.2f} cut {node}|{others}")
        elif kind == "oneway":
            statements.append(f"{begin:.2f}-{begin + length_s:.2f} oneway {node}>{others}")
        else:
            statements.append(f"{begin:.2f}-{begin + length_s:.2f} cut 0|1|{','.join(str(n) for n in range(2, nodes))}")
        begin += rng.uniform(0.3, 1.2) * length_s
    return "; ".join(statements)


def play(nodes: int, seed: int, faults: str, seconds: float, **options: Any) -> Lab:
    """Run a lab to its end and return it.

    `faults`: a script, or `drawn` for one from the seed; InvalidScriptError if it can't be parsed.
    """
    lease_ms = options.get("lease_ms", 3_000)
    return Lab(nodes, seed, drawn(nodes, seed, seconds, lease_ms) if faults == "drawn" else faults, **options).run(
        seconds
    )


def measure(lab: Lab) -> dict[str, Any]:
    """Return the run's figures, with at most 5 faults of the history and 3 of the log."""
    found = lab.checked()
    return {
        "good": found.good,
        "faults": found.faults[:5],
        "stale_accepted": found.stale_accepted,
        "accepted": found.accepted,
        "refused": found.refused,
        "grants": found.grants,
        "commands": lab.commands,
        "bytes": lab.bytes,
        "log_faults": lab.replicas.faults[:3],
    }
