"""A simulated cluster for tests of the state machine and the decisions: one log in memory and a simulated clock."""

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

SETTINGS = AgreementSettings(2_000.0, 0.0, 4_000.0)


def draft(base: Version, changes, number=1, author="op", process=1):
    """Return a draft of one piece, and the version that it makes."""
    version = base.child(base.number + 1, changes, author)
    return DraftPiece(
        author, process, number, base.number, version.digest_bytes, 0, 1, pack_changes(version.changes)
    ), version


def ban(name):
    return {f"ban/{name}": Ban(name)}


class ClusterMember:
    """One coordinator's process, with its state machine and decisions."""

    def __init__(self, name, process, now, restored, settings, inapplicability_reason):
        self.name = name
        self.process = process
        self.machine = SettingsStateMachine()
        self.applied = 0  # number of applied log entries
        self.restored = restored
        self.member = MemberDecisions(name, process, settings, self.machine, now, inapplicability_reason, restored)
        self.publisher = PublisherDecisions(settings, self.machine)

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
        other.member = copy.copy(self.member)
        other.publisher = copy.copy(self.publisher)
        other.member.machine = other.publisher.machine = other.machine
        other.publisher._last_renewals = dict(self.publisher._last_renewals)
        for name in ("durable_digests", "_renewals_in_flight", "_rejection_reasons", "counts"):
            setattr(other.member, name, copy.copy(getattr(self.member, name)))
        return other


class SettingsCluster:
    """The coordinators, their disks, the log and the clock. An entry's index is its position in the log, from 1."""

    def __init__(self, count, settings=SETTINGS, inapplicability_reason=lambda name, version: ""):
        self.now = 0.0
        self.settings = settings
        self.inapplicability_reason = inapplicability_reason
        self.log: list[bytes] = []
        self.results: dict[int, bytes] = {}
        self.processes = 0
        self.nodes: dict[str, ClusterMember] = {}
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
        self.nodes[name] = ClusterMember(
            name,
            self.processes,
            self.now,
            self.disks[name],
            self.settings,
            lambda version: self.inapplicability_reason(name, version),
        )

    def crash(self, name):
        del self.nodes[name]

    def propose(self, command):
        self.log.append(command if isinstance(command, bytes) else log_commands.encode_command(command))

    def apply(self, name, max_entries=1):
        node = self.nodes[name]
        for _ in range(max_entries):
            if node.applied == len(self.log):
                return
            command = self.log[node.applied]
            node.applied += 1
            result = node.machine.apply(node.applied, command)
            assert self.results.setdefault(node.applied, result) == result, "members disagree on the result of an entry"
            node.member.on_entry_applied(self.now, command, result)
            self.refresh(name)

    def refresh(self, name):
        member = self.nodes[name].member
        member.on_rules_applied(member.current_rules(self.now))

    def renew(self, name):
        command = self.nodes[name].member.next_renewal(self.now)
        if command is not None:
            self.propose(command)
        return command

    def persist(self, name, include_removals=True):
        member = self.nodes[name].member
        versions = member.versions_to_persist(include_removals)
        if versions:
            self.disks[name] = RestoredVersions(versions, self.now)
            member.on_persisted(versions)
        return bool(versions)

    def publish(self, name):
        command = self.nodes[name].publisher.next_command(self.now)
        if command is not None:
            self.propose(command)
        return command

    def pass_time(self, ms):
        self.now += ms
        for name in self.nodes:
            self.refresh(name)

    def settle(self, rounds=12, ms=400.0):
        """Renew, publish, apply and persist at all members for some rounds."""
        for _ in range(rounds):
            for name in self.nodes:
                self.renew(name)
                self.publish(name)
            for name in self.nodes:
                self.apply(name, 1_000)
                self.persist(name)
            self.pass_time(ms)

    # Invariants.

    def active_rules(self):
        return {name: node.member.current_rules(self.now) for name, node in self.nodes.items()}

    def fault(self):
        """Return a description of the first violated invariant, None if all hold."""
        rules_by_name = self.active_rules()
        sole_rules = [(name, rules) for name, rules in rules_by_name.items() if rules.mode == RulesMode.VERSION]
        for index, (name, first) in enumerate(sole_rules):
            for other_name, second in sole_rules[index + 1 :]:
                if first.sole_version != second.sole_version and contradicts(first.rules, second.rules):
                    return f"{name} acts on {first.sole_version}, {other_name} on {second.sole_version}"
        for name, rules in rules_by_name.items():
            node = self.nodes[name]
            if rules.mode == RulesMode.VERSION and (
                self.inapplicability_reason(name, node.machine.version(rules.sole_version))
                or not node.member.has_renewed
            ):
                return f"{name} acts on {rules.sole_version} alone, though it can't apply it or has not renewed"
            if not node.member.has_renewed and any(
                not permits_no_more(rules.rules, version.rules) for version in node.restored.versions
            ):
                return f"{name} permits after its start what a restored version forbids"
        for name, restored in self.disks.items():
            if any(self.inapplicability_reason(name, version) for version in restored.versions):
                return f"{name} stored a version that it can't apply"
        return None


def active_period(node, version, begin_ms, end_ms):
    return ActivePeriod(node, version, float(begin_ms), float(end_ms))
