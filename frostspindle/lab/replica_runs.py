"""Runs of the replicated log in simulated time under drawn faults, and a judge of what must hold of each.

Owns the faults' drawing, a machine whose state tells all that it was given, and the judgement: no entry differs between
members or lives, none that was answered is lost, none that was refused is there, none is there twice, all come back. It
must never look into a member: it goes by what machines applied and proposers were answered.
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
        """Add the entry to the digest and return the command. If another member or life had a different entry or
        digest at this index, that is added to the run's `bad`."""
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
        """Take the digest and the last index from a snapshot; ValueError if it has no index."""
        self.sum, self.last = state[:32], int(state[32:])


class Run:
    """A whole run of members in simulated time under drawn faults; `bad` lists what did not hold."""

    def __init__(self, seed: int, seconds: int = 14, nodes: int = 5, voters: int = 3, keep: int = 40) -> None:
        self.entries: dict[int, bytes] = {}  # by index, as the first member that applied it has it
        self.sums: dict[int, bytes] = {}
        self.bad: list[str] = []
        self.lost = 0  # journals
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
        self.judge(nodes)

    def lose(self, rng: random.Random, voters: int) -> None:
        """With probability 0.03 delete the journal of a voter that is down. Only if it is the only one down and all
        others vote again: the loss of one vote is what the log must survive."""
        nodes = self.lab.nodes[:voters]
        down = [number for number, node in enumerate(nodes) if node.member is None]
        back = all(node.member is None or node.member.voter for node in nodes)
        if len(down) == 1 and back and nodes[down[0]].records and rng.random() < 0.03:
            self.lab.lose(down[0])
            self.lost += 1

    @staticmethod
    def draw(rng: random.Random, seconds: int, nodes: int, voters: int) -> str:
        """Return a script of faults drawn from `rng` (cuts, kills, stops, loss, delays), all within the run's
        `seconds`."""
        parts: list[str] = []
        at = 2.0
        while at < seconds - 3:
            until, one = at + rng.uniform(0.5, 3.0), rng.randrange(voters)
            side = rng.sample(range(nodes), rng.randrange(1, nodes))
            rest = [number for number in range(nodes) if number not in side]
            parts.append(
                rng.choice(
                    (
                        f"{at:.2f}-{until:.2f} cut {','.join(map(str, side))}|{','.join(map(str, rest))}",
                        f"{at:.2f}-{until:.2f} oneway {one}>{(one + 1) % nodes}",
                        f"{at:.2f} kill {one}; {until:.2f} start {one}",
                        f"{at:.2f} kill {one}; {until:.2f} start {one}",
                        f"{at:.2f} stop {one}; {until:.2f} cont {one}",
                        f"{at:.2f}-{until:.2f} loss {rng.uniform(0.05, 0.4):.2f}",
                        f"{at:.2f}-{until:.2f} delay 0-{rng.choice((20, 100, 400))}",
                    )
                )
            )
            at += rng.uniform(0.2, 1.5)
        return "; ".join(parts)

    def attach(self, number: int, log: EmulatedLog) -> None:
        """Give a member that starts a new machine for the topic `t`."""
        self.machines[number] = DigestMachine(self)
        log.attach("t", self.machines[number])

    def propose(self, number: int) -> None:
        """Propose the next numbered command at a member, to be answered within 1.5 s; without effect if it is down
        or stopped."""
        if self.lab.nodes[number].member is None or self.lab.network.paused[number]:
            return
        told: list[Outcome] = []
        self.answers[b"%d" % len(self.answers)] = told
        self.lab.member(number).submit("t", b"%d" % (len(self.answers) - 1), 1.5, told.append)

    def judge(self, nodes: int) -> None:
        """Check the healed run and add faults to `bad`: all members answer a barrier and have one state, each
        proposal has one answer, and no entry is lost, refused yet there, or there twice."""
        last: list[Outcome] = []
        for number in range(nodes):
            if not self.lab.faults:
                self.lab.member(number).submit("", b"", 5.0, last.append)
        self.lab.advance(6_000.0)
        self.bad += self.lab.faults
        if [type(one) for one in last] != [AppliedEntry] * nodes:
            self.bad.append(f"not all are back: {last}")
        if len({machine.sum for machine in self.machines.values()}) > 1:
            self.bad.append("the states differ")
        times = collections.Counter(self.entries.values())
        for command_, told in self.answers.items():
            if len(told) != 1:
                self.bad.append(f"{len(told)} answers to {command_!r}")
            elif isinstance(told[0], AppliedEntry) and self.entries.get(told[0].index) != command_:
                self.bad.append(f"{command_!r} was answered and is lost")
            elif isinstance(told[0], LogUnavailableError) and times[command_] or times[command_] > 1:
                self.bad.append(f"{command_!r} is there {times[command_]} times after {told[0]!r}")
