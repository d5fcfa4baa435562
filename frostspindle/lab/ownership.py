"""Owners in simulated time: the real holders and tables on the emulated log, one fenced sink, and faults by a script.

Owns the coordinators' clocks, what they do under their leases, how late they do it, and the lines of all of it. It must
never judge by itself: `history.check` does, from the lines. The same arguments give the same run within one process,
and among several under one PYTHONHASHSEED: the library walks over sets of names.

A coordinator looks at its lease, and its send leaves later: after nothing, or (`late`) after as long as a pause of a
process may be. Actions are lost or late on the way as messages are, and the sink is a place of its own behind no cut.
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

TOPIC, TURN_MS = "owners", 25.0


class Coordinator:
    """One life of one coordinator: its lease holder and table on the emulated log."""

    def __init__(self, lab: Lab, number: int, log: EmulatedLog) -> None:
        self.lab, self.number, self.log, self.name = lab, number, log, f"c{number}"
        self.table = LeaseTable()
        self.looked = lab.now  # true time of the last look
        lab.lives += 1
        self.holder = LeaseHolder(self.name, lab.lives, lab.terms, self.table, lab.random.getrandbits(32), self.now)
        for task in lab.tasks:
            self.holder.add_candidacy(task, 1.0)
        log.attach(TOPIC, self.table)
        log.watch(TOPIC, lambda index, command, result: self.told(command, result))

    @property
    def now(self) -> float:
        """The coordinator's own clock, ms (`Lab.clock`)."""
        return self.lab.clock(self.number)

    def told(self, command: bytes, result: bytes) -> None:
        """Pass an applied entry to the holder, and log the leases that it gained or lost by that."""
        self.holder.on_applied(self.now, command, result)
        self.tell()
        self.looked = self.lab.now

    def tell(self) -> None:
        """Log the holder's changes as owner_took and owner_lost lines, in true ms. A lease that ran out is logged at
        its end; one that was lost otherwise at the last look, as it was not acted under after that; one that was
        released or passed on at the present time."""
        turned, self.holder.changes = self.holder.changes, []
        for turn in turned:  # by true time: a lease that ended by the own clock ended so long before now
            before = (self.now - turn.at) / self.lab.replicas.rates.get(self.number, 1.0)
            # What a step of the clock ended was last acted under at the look before it.
            at = (
                self.lab.now
                if turn.held or turn.reason.startswith(("released", "passed"))
                else self.looked
                if turn.reason != "over"
                else self.lab.now - before
            )
            self.lab.lines.append(
                {
                    "event": "owner_took" if turn.held else "owner_lost",
                    "task": turn.task,
                    "token": turn.token,
                    "holder": self.name,
                    "at": round(at, 3),
                }
            )

    def turn(self) -> None:
        """Take one step: propose the holder's next command, and act under each lease that is held at this moment."""
        command = self.holder.next_command(self.now, self.log.leader is not None)
        self.tell()
        if command is not None:
            assert self.holder.pending is not None
            number, holder = self.holder.pending.number, self.holder
            self.lab.bytes += len(command)
            self.lab.commands += 1

            def done(out: Any) -> None:
                outcome = CommandOutcome.NOT_APPENDED
                if isinstance(out, AppliedEntry):
                    outcome = CommandOutcome.APPLIED
                elif isinstance(out, OutcomeUnknownError):
                    outcome = CommandOutcome.UNKNOWN
                holder.on_outcome(self.now, number, outcome)

            self.log.submit(TOPIC, command, self.lab.terms.command_timeout_ms / 1_000.0, done)
        for task, own in list(self.holder.leases.items()):
            if own.announced and self.holder.holds(task, own.token, self.now):
                self.lab.act(self, task, own.token)
        self.tell()
        self.looked = self.lab.now


class Lab:
    """One run. Times: true ms."""

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
        """`late`: so many actions leave up to two leases after the look at the lease."""
        self.random = random.Random(f"ownership {seed}")
        self.terms = LeaseSettings(lease_ms, drift)
        self.tasks = [f"t{n}" for n in range(tasks)]
        self.late, self.lives, self.bytes, self.commands = late, 0, 0, 0
        self.lines: list[dict[str, Any]] = []
        self.died: dict[str, list[float]] = {}
        self.jumps: dict[int, float] = {}
        self.coordinators: dict[int, Coordinator] = {}
        self._first, self._fenced, self._make = True, fenced, make
        self.sent: list[tuple[float, int, dict[str, Any]]] = []
        voters = min(voters, nodes - (nodes + 1) % 2)
        self._began = 0.0
        self.replicas: EmulatedReplicas = None  # type: ignore[assignment]  # its makers ask for the time already
        self.sink = Sink("sink", lambda: self.now, fenced=fenced)
        self.replicas = EmulatedReplicas(nodes, voters, seed, parse(script, nodes), self._attach)
        self.script = self.replicas.network.message_faults.script
        self.count = nodes

    @property
    def now(self) -> float:
        """True time in ms, 0 while the run is being set up."""
        return self.replicas.now if self.replicas is not None else 0.0

    def clock(self, number: int) -> float:
        """Return a coordinator's own clock in ms: true time at its rate, plus its jumps."""
        rate = dict(self.script.clocks).get(number, 1.0) if self.replicas is not None else 1.0
        return 1e6 + self.now * rate + self.jumps.get(number, 0.0)

    def _attach(self, number: int, log: EmulatedLog) -> None:
        self._gone(number)
        self.coordinators[number] = self._make(self, number, log)

    def _gone(self, number: int) -> None:
        if (who := self.coordinators.pop(number, None)) is not None:  # one that was stopped did nothing since its look
            self.died.setdefault(f"c{number}", []).append(who.looked)

    def act(self, who: Coordinator, task: str, token: int) -> None:
        """Queue an action that a look at the lease has just allowed: it leaves within 20 ms or, for the share
        `late`, up to two lease times later."""
        wait = (
            self.random.uniform(0.0, 2.0 * self.terms.lease_ms)
            if self.random.random() < self.late
            else (self.random.uniform(0.0, 20.0))
        )
        self.sent.append(
            (
                self.now + wait,
                who.number,
                {"task": task, "token": token, "holder": who.name, "action": "late" if wait > 20.0 else "mark"},
            )
        )

    def run(self, seconds: float) -> Lab:
        """Play `seconds` of true time in turns of TURN_MS, hand actions to the sink once they are due, and return
        self."""
        network = self.replicas.network
        while self.now < seconds * 1_000.0:
            self.replicas.advance(TURN_MS)
            for number in range(self.count):
                if not network.up[number] and number in self.coordinators:
                    self._gone(number)
                elif (who := self.coordinators.get(number)) is not None and not network.paused[number]:
                    who.turn()
            due = sorted((one for one in self.sent if one[0] <= self.now), key=lambda one: one[0])
            self.sent = [one for one in self.sent if one[0] > self.now]
            for _, _, said in due:
                self.sink.take(said)
        return self

    def checked(self, expect: int = 1) -> Checked:
        """Judge the run's lines with `history.check`; `expect`: the least number of accepted actions."""
        return check([*self.lines, *self.sink.lines], self.died, slack_ms=0.0, expect=expect)


def drawn(nodes: int, seed: int, seconds: float, lease_ms: float) -> str:
    """Return a script of this package's hard cases, drawn from the seed: coordinators stopped or cut off for up to
    2.5 leases, kills, clock rates, message loss."""
    rng = random.Random(f"script {seed}")
    parts, at, lease = [], 2.0, lease_ms / 1_000.0
    if rng.random() < 0.5:
        parts.append(f"loss {rng.uniform(0.0, 0.1):.3f}")
    if rng.random() < 0.5:
        parts += [f"clock {n} {rng.uniform(0.98, 1.02):.4f}" for n in range(nodes)]
    while at < seconds - 3.0 * lease:
        node, long = rng.randrange(nodes), rng.uniform(1.0, 2.5) * lease
        kind = rng.choice(("stop", "kill", "cut", "oneway", "most"))
        rest = ",".join(str(n) for n in range(nodes) if n != node)
        if kind == "stop":
            parts.append(f"{at:.2f} stop {node}; {at + long:.2f} cont {node}")
        elif kind == "kill":
            parts.append(f"{at:.2f} kill {node}; {at + rng.uniform(0.1, 1.5) * lease:.2f} start {node}")
        elif kind == "cut":
            parts.append(f"{at:.2f}-{at + long:.2f} cut {node}|{rest}")
        elif kind == "oneway":
            parts.append(f"{at:.2f}-{at + long:.2f} oneway {node}>{rest}")
        else:
            parts.append(f"{at:.2f}-{at + long:.2f} cut 0|1|{','.join(str(n) for n in range(2, nodes))}")
        at += rng.uniform(0.3, 1.2) * long
    return "; ".join(parts)


def play(nodes: int, seed: int, faults: str, seconds: float, **more: Any) -> Lab:
    """Run a lab to its end and return it. `faults`: a script, or `drawn` for one from the seed; BadScript if it
    can't be read."""
    lease_ms = more.get("lease_ms", 3_000)
    return Lab(nodes, seed, drawn(nodes, seed, seconds, lease_ms) if faults == "drawn" else faults, **more).run(seconds)


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
