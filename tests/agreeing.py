"""A few coordinators on one log, in memory and on a clock of the test's: for the model check and the state machine."""

from __future__ import annotations

import copy
from dataclasses import replace

from frostspindle.settings import agreement
from frostspindle.settings.agreement import DraftPiece, SettingsStateMachine
from frostspindle.settings.audit import ActivePeriod
from frostspindle.settings.decisions import (
    VERSION,
    AgreementSettings,
    MemberDecisions,
    PublisherDecisions,
    RestoredVersions,
)
from frostspindle.settings.meet import below, contradicts
from frostspindle.settings.schema import Ban
from frostspindle.settings.versions import Version, pack

TERMS = AgreementSettings(2_000.0, 0.0, 4_000.0)


def draft(base: Version, changes, number=1, by="op", process=1):
    """One that fits into one piece, and the version that it would make."""
    made = base.next(base.number + 1, changes, by)
    return DraftPiece(by, process, number, base.number, made.sum, 0, 1, pack(made.changes)), made


def ban(name):
    return {f"ban/{name}": Ban(name)}


class Node:
    """One coordinator's process, and its disk."""

    def __init__(self, name, process, now, kept, terms, fits):
        self.name, self.process = name, process
        self.machine, self.at = SettingsStateMachine(), 0  # entries of the log that it has applied
        self.kept = kept
        self.holder = MemberDecisions(name, process, terms, self.machine, now, fits, kept)
        self.publisher = PublisherDecisions(terms, self.machine)

    def copy(self):
        other = copy.copy(self)
        machine = self.machine
        other.machine = replace(
            machine,
            history=copy.copy(machine.history),
            drafts=copy.deepcopy(machine.drafts),
            members=dict(machine.members),
            heard=dict(machine.heard),
            bad=dict(machine.bad),
            news=list(machine.news),
            counts=machine.counts.copy(),
        )
        other.machine.history._kept = dict(machine.history._kept)
        other.holder, other.publisher = copy.copy(self.holder), copy.copy(self.publisher)
        other.holder.machine = other.publisher.machine = other.machine
        other.publisher._seen = dict(self.publisher._seen)
        for name in ("durable", "_asked", "_unfit", "counts"):
            setattr(other.holder, name, copy.copy(getattr(self.holder, name)))
        return other


class World:
    """All of them. A step of the log's index is an entry."""

    def __init__(self, count, terms=TERMS, fits=lambda name, version: ""):
        self.now, self.terms, self.fits = 0.0, terms, fits
        self.log: list[bytes] = []
        self.results: dict[int, bytes] = {}
        self.processes = 0
        self.nodes: dict[str, Node] = {}
        self.disks = {f"c{n}": RestoredVersions() for n in range(count)}
        for name in self.disks:
            self.start(name)

    def copy(self):
        other = copy.copy(self)
        other.log, other.results, other.disks = list(self.log), dict(self.results), dict(self.disks)
        other.nodes = {name: node.copy() for name, node in self.nodes.items()}
        return other

    # Steps.

    def start(self, name):
        self.processes += 1
        self.nodes[name] = Node(
            name, self.processes, self.now, self.disks[name], self.terms, lambda version: self.fits(name, version)
        )

    def crash(self, name):
        del self.nodes[name]

    def propose(self, command):
        self.log.append(command if isinstance(command, bytes) else agreement.encode(command))

    def apply(self, name, most=1):
        node = self.nodes[name]
        for _ in range(most):
            if node.at == len(self.log):
                return
            command = self.log[node.at]
            node.at += 1
            result = node.machine.apply(node.at, command)
            assert self.results.setdefault(node.at, result) == result, "the same entries, the same answers"
            node.holder.told(self.now, command, result)
            self.look(name)

    def look(self, name):
        holder = self.nodes[name].holder
        holder.took(holder.look(self.now))

    def hold(self, name):
        word = self.nodes[name].holder.holds(self.now)
        if word is not None:
            self.propose(word)
        return word

    def keep(self, name, less=True):
        holder = self.nodes[name].holder
        versions = holder.to_keep(less)
        if versions:
            self.disks[name] = RestoredVersions(versions, self.now)
            holder.was_kept(versions)
        return bool(versions)

    def publish(self, name):
        word = self.nodes[name].publisher.decide(self.now)
        if word is not None:
            self.propose(word)
        return word

    def pass_time(self, ms):
        self.now += ms
        for name in self.nodes:
            self.look(name)

    def settle(self, rounds=12, ms=400.0):
        """All is heard, kept and said, for a while."""
        for _ in range(rounds):
            for name in self.nodes:
                self.hold(name)
                self.publish(name)
            for name in self.nodes:
                self.apply(name, 1_000)
                self.keep(name)
            self.pass_time(ms)

    # What must hold.

    def acting(self):
        return {name: node.holder.look(self.now) for name, node in self.nodes.items()}

    def fault(self):
        """What is wrong now; None: nothing."""
        told = self.acting()
        plain = [(name, acting) for name, acting in told.items() if acting.mode == VERSION]
        for place, (name, one) in enumerate(plain):
            for other, two in plain[place + 1 :]:
                if one.plain != two.plain and contradicts(one.rules, two.rules):
                    return f"{name} acts on {one.plain}, {other} on {two.plain}"
        for name, acting in told.items():
            node = self.nodes[name]
            if acting.mode == VERSION and (
                self.fits(name, node.machine.version(acting.plain)) or not node.holder.heard
            ):
                return f"{name} acts on {acting.plain} plainly, which it can't take or has not heard of"
            if not node.holder.heard and any(not below(acting.rules, version.rules) for version in node.kept.versions):
                return f"{name} permits after its start what a version that may be live does not"
        for name, kept in self.disks.items():
            if any(self.fits(name, version) for version in kept.versions):
                return f"{name} keeps a version that it can't take"
        return None


def span(node, version, begins, ends):
    return ActivePeriod(node, version, float(begins), float(ends))
