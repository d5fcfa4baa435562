"""A few coordinators on one log, in memory and on a clock of the test's: for the model check and the state machine."""

from __future__ import annotations

import copy
from dataclasses import replace

from frostspindle.settings import log_commands
from frostspindle.settings.active_rules import RestoredVersions, RulesMode
from frostspindle.settings.agreement_settings import AgreementSettings
from frostspindle.settings.audit import ActivePeriod
from frostspindle.settings.intersection import contradicts, permits_no_more
from frostspindle.settings.log_commands import DraftPiece
from frostspindle.settings.member_decisions import MemberDecisions
from frostspindle.settings.publisher_decisions import PublisherDecisions
from frostspindle.settings.schema import Ban
from frostspindle.settings.state_machine import SettingsStateMachine
from frostspindle.settings.version_encoding import pack_changes
from frostspindle.settings.versions import Version

TERMS = AgreementSettings(2_000.0, 0.0, 4_000.0)


def draft(base: Version, changes, number=1, by="op", process=1):
    """One that fits into one piece, and the version that it would make."""
    made = base.child(base.number + 1, changes, by)
    return DraftPiece(by, process, number, base.number, made.digest_bytes, 0, 1, pack_changes(made.changes)), made


def ban(name):
    return {f"ban/{name}": Ban(name)}


class Node:
    """One coordinator's process, and its disk."""

    def __init__(self, name, process, now, kept, terms, fits):
        self.name, self.process = name, process
        self.machine, self.at = SettingsStateMachine(), 0  # entries of the log that it has applied
        self.kept = kept
        self.member = MemberDecisions(name, process, terms, self.machine, now, fits, kept)
        self.publisher = PublisherDecisions(terms, self.machine)

    def copy(self):
        other = copy.copy(self)
        machine = self.machine
        other.machine = replace(
            machine,
            versions=copy.copy(machine.versions),
            drafts=copy.deepcopy(machine.drafts),
            members=dict(machine.members),
            updated_members=dict(machine.updated_members),
            rolled_back_digests=dict(machine.rolled_back_digests),
            events=list(machine.events),
            counts=machine.counts.copy(),
        )
        other.machine.versions._versions = dict(machine.versions._versions)
        other.member, other.publisher = copy.copy(self.member), copy.copy(self.publisher)
        other.member.machine = other.publisher.machine = other.machine
        other.publisher._last_renewals = dict(self.publisher._last_renewals)
        for name in ("durable_digests", "_renewals_in_flight", "_rejection_reasons", "counts"):
            setattr(other.member, name, copy.copy(getattr(self.member, name)))
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
        self.log.append(command if isinstance(command, bytes) else log_commands.encode_command(command))

    def apply(self, name, most=1):
        node = self.nodes[name]
        for _ in range(most):
            if node.at == len(self.log):
                return
            command = self.log[node.at]
            node.at += 1
            result = node.machine.apply(node.at, command)
            assert self.results.setdefault(node.at, result) == result, "the same entries, the same answers"
            node.member.on_entry_applied(self.now, command, result)
            self.look(name)

    def look(self, name):
        holder = self.nodes[name].member
        holder.on_rules_applied(holder.current_rules(self.now))

    def hold(self, name):
        word = self.nodes[name].member.next_renewal(self.now)
        if word is not None:
            self.propose(word)
        return word

    def keep(self, name, less=True):
        holder = self.nodes[name].member
        versions = holder.versions_to_persist(less)
        if versions:
            self.disks[name] = RestoredVersions(versions, self.now)
            holder.on_persisted(versions)
        return bool(versions)

    def publish(self, name):
        word = self.nodes[name].publisher.next_command(self.now)
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

    def active_rules(self):
        return {name: node.member.current_rules(self.now) for name, node in self.nodes.items()}

    def fault(self):
        """What is wrong now; None: nothing."""
        told = self.active_rules()
        plain = [(name, acting) for name, acting in told.items() if acting.mode == RulesMode.VERSION]
        for place, (name, one) in enumerate(plain):
            for other, two in plain[place + 1 :]:
                if one.sole_version != two.sole_version and contradicts(one.rules, two.rules):
                    return f"{name} acts on {one.sole_version}, {other} on {two.sole_version}"
        for name, acting in told.items():
            node = self.nodes[name]
            if acting.mode == RulesMode.VERSION and (
                self.fits(name, node.machine.version(acting.sole_version)) or not node.member.has_renewed
            ):
                return f"{name} acts on {acting.sole_version} plainly, which it can't take or has not heard of"
            if not node.member.has_renewed and any(
                not permits_no_more(acting.rules, version.rules) for version in node.kept.versions
            ):
                return f"{name} permits after its start what a version that may be live does not"
        for name, kept in self.disks.items():
            if any(self.fits(name, version) for version in kept.versions):
                return f"{name} keeps a version that it can't take"
        return None


def span(node, version, begins, ends):
    return ActivePeriod(node, version, float(begins), float(ends))
