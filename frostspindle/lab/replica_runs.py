"""Runs of the replicated log in simulated time under random faults, with a check of the log's guarantees.

The state of the machines is a digest of all applied entries. The check: no entry differs between members or restarts,
no acknowledged entry is lost, no refused entry is in the log, no entry is duplicated, and all members recover. It uses
only what machines applied and proposers were answered.
"""

from __future__ import annotations

import collections
import hashlib
import random
from typing import Any

from frostspindle.lab.replica import EmulatedLog, EmulatedReplicas
from frostspindle.replica.base import AppliedEntry, LogUnavailableError
from frostspindle.replica.proposals import Outcome


class DigestMachine:
    """A state machine whose state is a digest of all that it applied; it reports each entry to the run."""

    def __init__(self, run: Any) -> None:
        self.run, self.sum, self.last = run, b"", 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Add the entry to the digest and return the command.

        A different entry or digest at this index, at another member or before a restart, is added to the run's `bad`.
        """
        self.last, self.sum = index, hashlib.sha256(self.sum + b"%d:" % index + command).digest()
        if (
            self.run.entries.setdefault(index, command) != command
            or self.run.sums.setdefault(index, self.sum) != self.sum
        ):
            self.run.bad.append(f"entry {index} differs")
        return command

    def state(self) -> bytes:
        """Return the digest (32 bytes) and the last index in decimal."""
        return self.sum + b"%d" % self.last

    def restore(self, index: int, state: bytes) -> None:
        """Restore the digest and the last index from a snapshot. Raise ValueError if it has no index."""
        self.sum, self.last = state[:32], int(state[32:])


class Run:
    """A run of members in simulated time under random faults; `bad` lists violated guarantees."""

    def __init__(self, seed: int, seconds: int = 14, nodes: int = 5, voters: int = 3, keep: int = 40) -> None:
        self.entries: dict[int, bytes] = {}  # by index: the command, as applied by the first member
        self.sums: dict[int, bytes] = {}
        self.bad: list[str] = []
        self.lost = 0  # deleted journals
        self.machines: dict[int, DigestMachine] = {}
        self.answers: dict[bytes, list[Outcome]] = {}
        rng = random.Random(seed * 7_919)
        self.script = self.draw(rng, seconds, nodes, voters)
        self.lab = EmulatedReplicas(nodes, voters, seed, self.script, self.attach, keep=keep)
        for _ in range(seconds * 20):
            self.lab.advance(50.0)
            self.lose(rng, voters)
            for _ in range(rng.choice((0, 1, 1, 4))):
                self.propose(rng.randrange(nodes))
        for number in range(nodes):
            if self.lab.nodes[number].member is None:
                self.lab.start(number)
        self.lab.advance(8_000.0)
        self.check(nodes)

    def lose(self, rng: random.Random, voters: int) -> None:
        """With probability 0.03 delete the journal of a voter that is down.

        It must be the only voter that is down, and all others must vote: the log tolerates the loss of one vote.
        """
        nodes = self.lab.nodes[:voters]
        down = [number for number, node in enumerate(nodes) if node.member is None]
        all_vote = all(node.member is None or node.member.voter for node in nodes)
        if len(down) == 1 and all_vote and nodes[down[0]].records and rng.random() < 0.03:
            self.lab.lose(down[0])
            self.lost += 1

    @staticmethod
    def draw(rng: random.Random, seconds: int, nodes: int, voters: int) -> str:
        """Return a script of random faults (cuts, kills, stops, loss, delays) within the run's `seconds`."""
        statements: list[str] = []
        begin = 2.0
        while begin < seconds - 3:
            until, target = begin + rng.uniform(0.5, 3.0), rng.randrange(voters)
            side = rng.sample(range(nodes), rng.randrange(1, nodes))
            others = [number for number in range(nodes) if number not in side]
            statements.append(
                rng.choice(
                    (
                        f"{begin:.2f}-{until:.2f} cut {','.join(map(str, side))}|{','.join(map(str, others))}",
                        f"{begin:.2f}-{until:.2f} oneway {target}>{(target + 1) % nodes}",
                        f"{begin:.2f} kill {target}; {until:.2f} start {target}",
                        f"{begin:.2f} kill {target}; {until:.2f} start {target}",
                        f"{begin:.2f} stop {target}; {until:.2f} cont {target}",
                        f"{begin:.2f}-{until:.2f} loss {rng.uniform(0.05, 0.4):.2f}",
                        f"{begin:.2f}-{until:.2f} delay 0-{rng.choice((20, 100, 400))}",
                    )
                )
            )
            begin += rng.uniform(0.2, 1.5)
        return "; ".join(statements)

    def attach(self, number: int, log: EmulatedLog) -> None:
        """Attach a new machine for the topic `t` to a member that starts."""
        self.machines[number] = DigestMachine(self)
        log.attach("t", self.machines[number])

    def propose(self, number: int) -> None:
        """Propose the next numbered command at a member with a timeout of 1.5 s, unless it is down or stopped."""
        if self.lab.nodes[number].member is None or self.lab.network.paused[number]:
            return
        outcomes: list[Outcome] = []
        self.answers[b"%d" % len(self.answers)] = outcomes
        self.lab.member(number).submit("t", b"%d" % (len(self.answers) - 1), 1.5, outcomes.append)

    def check(self, nodes: int) -> None:
        """Check the run after all faults and add violations to `bad`.

        All members must answer a barrier and have the same state, and each proposal must have one answer. No entry may
        be lost, refused but present, or duplicated.
        """
        barrier_outcomes: list[Outcome] = []
        for number in range(nodes):
            if not self.lab.faults:
                self.lab.member(number).submit("", b"", 5.0, barrier_outcomes.append)
        self.lab.advance(6_000.0)
        self.bad += self.lab.faults
        if [type(outcome) for outcome in barrier_outcomes] != [AppliedEntry] * nodes:
            self.bad.append(f"not all members answered the barrier: {barrier_outcomes}")
        if len({machine.sum for machine in self.machines.values()}) > 1:
            self.bad.append("the states of the members differ")
        occurrences = collections.Counter(self.entries.values())
        for command, outcomes in self.answers.items():
            if len(outcomes) != 1:
                self.bad.append(f"{len(outcomes)} answers to {command!r}")
            elif isinstance(outcomes[0], AppliedEntry) and self.entries.get(outcomes[0].index) != command:
                self.bad.append(f"{command!r} was acknowledged and is lost")
            elif isinstance(outcomes[0], LogUnavailableError) and occurrences[command] or occurrences[command] > 1:
                self.bad.append(f"{command!r} is in the log {occurrences[command]} times after {outcomes[0]!r}")
