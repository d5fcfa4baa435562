"""The agreement protocol: state machine, members' and publisher's decisions, and a search of the orders of steps."""

import random
from unittest import mock

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule, run_state_machine_as_test
from settings_cluster import SETTINGS, SettingsCluster, active_period, ban, draft

from frostspindle.lab.explore import explore
from frostspindle.settings import drafts, log_commands, state_machine
from frostspindle.settings.active_rules import RulesMode
from frostspindle.settings.agreement_settings import AgreementSettings
from frostspindle.settings.audit import find_longest_contradiction, read_active_periods, read_contradictions
from frostspindle.settings.canary import HEADER_FIGURES, LATENCY_BUCKETS, CanaryCheck
from frostspindle.settings.log_commands import (
    Activate,
    Confirm,
    DraftPiece,
    MemberLeaving,
    PublishVersion,
    RemoveMember,
    RenewLease,
    Rollback,
    Withdraw,
    encode_command,
)
from frostspindle.settings.member_decisions import MemberDecisions
from frostspindle.settings.publisher_decisions import PublisherDecisions
from frostspindle.settings.schema import Ban, Engine, Limit, ListScope
from frostspindle.settings.state_machine import SettingsStateMachine
from frostspindle.settings.version_encoding import PIECE_BYTES, pack_changes, split_into_pieces
from frostspindle.settings.versions import EMPTY_VERSION, HISTORY_CAPACITY


class MachineDriver:
    """Applies commands to a state machine at increasing log indices."""

    def __init__(self):
        self.machine, self.index, self.drafts = SettingsStateMachine(), 0, 0

    def __call__(self, command):
        self.index += 2
        return self.machine.apply(
            self.index, command if isinstance(command, bytes) else encode_command(command)
        ).decode()

    def draft(self, changes):
        self.drafts += 1
        active = self.machine.version(self.machine.active_version)
        version = active.child(active.number + 1, changes)
        pieces = split_into_pieces(pack_changes(version.changes))
        for index, data in enumerate(pieces):
            assert (
                self(DraftPiece("me", 1, self.drafts, active.number, version.digest_bytes, index, len(pieces), data))
                == "ok"
            )
        return version

    def push(self, changes, token=5, activate=True, confirm=True):
        version = self.draft(changes)
        assert self(PublishVersion(token, f"me/1/{self.drafts}")) == f"ok {self.machine.last_version}"
        if activate:
            assert self(Activate(token, self.machine.last_version)) == "ok"
            if confirm:
                assert self(Confirm(token, self.machine.last_version)) == "ok"
        return version


class TestMachine:
    def test_one_version_at_a_time_goes_from_draft_to_active(self):
        driver = MachineDriver()
        driver.push(ban("e1"), activate=False)
        assert driver.machine.candidate_versions == (0, 1)
        piece, _ = draft(EMPTY_VERSION, ban("e2"), 7)
        assert driver(piece) == "ok" and driver(PublishVersion(5, piece.key)) == "no: pending 1"
        assert (
            driver(Activate(5, 2)) == "no: not pending"
            and driver(Activate(5, 1)) == "ok"
            and driver(Activate(5, 1)) == "no: not pending"
        )
        assert driver(PublishVersion(5, piece.key)).startswith("no: base: drafted on version 0, the live one is 1")
        assert (
            driver(Confirm(5, 2)) == "no: not on trial"
            and driver(Confirm(5, 1)) == "ok"
            and driver.machine.candidate_versions == (1,)
        )
        driver.push(ban("e2"), activate=False)
        assert (
            driver(Withdraw(5, 2, "c2: engine: no")) == "ok"
            and driver.machine.candidate_versions == (1,)
            and driver.machine.last_version == 2
        )
        assert driver.machine.events[-1].reason == "c2: engine: no" and driver.machine.versions.get(2) is None
        assert driver.push(ban("e3")).rules == driver.machine.version(3).rules

    def test_stale_fencing_token_is_refused_for_every_command(self):
        driver = MachineDriver()
        driver.push(ban("e1"), token=5, confirm=False)
        driver.push(ban("e2"), token=9, activate=False)
        for command in (
            PublishVersion(8, "x"),
            Activate(8, 2),
            Withdraw(8, 2, ""),
            Confirm(8, 1),
            Rollback(8, 1, ""),
            RemoveMember(8, "c1", 1, 1),
            Activate(0, 2),
            Activate(1 << 63, 2),
            Activate(-1, 2),
        ):
            assert driver(command) == "no: stale", command
        assert (
            driver.machine.counts["stale"] == 9 and driver.machine.highest_token == 9 and driver(Activate(9, 2)) == "ok"
        )

    def test_draft_pieces_repeated_out_of_order_missing_or_corrupt_make_no_version(self):
        driver = MachineDriver()
        changes = {f"ban/e{n}": Ban(f"e{n}", random.Random(n).randbytes(90).hex()) for n in range(1_500)}
        version = EMPTY_VERSION.child(1, changes)
        pieces = split_into_pieces(pack_changes(changes))
        assert len(pieces) > 2

        def apply_piece(index, number=1, data=None, digest=version.digest_bytes):
            return driver(
                DraftPiece("op", 1, number, 0, digest, index, len(pieces), pieces[index] if data is None else data)
            )

        assert apply_piece(1) == "no: gap 0" and apply_piece(0) == "ok" and apply_piece(2) == "no: gap 1"
        assert apply_piece(0) == "no: repeat" and apply_piece(0, data=b"x") == "no: other"
        assert apply_piece(1, digest=b"x" * 16) == "no: another draft of that number"
        assert apply_piece(1, digest=b"x") == "no: bounds"
        assert driver(PublishVersion(5, "op/1/1")) == "no: unknown", "the draft is incomplete"
        for index in range(1, len(pieces)):
            assert apply_piece(index) == "ok"
        corrupt = b"".join(pieces)[:-1] + b"x"
        for number, digest, data in (
            (2, b"x" * 16, b"".join(pieces)),
            (3, version.digest_bytes, corrupt),
            (4, version.digest_bytes, corrupt[:99]),
        ):
            for index, corrupt_piece in enumerate(split_into_pieces(data)):
                assert (
                    driver(DraftPiece("op", 1, number, 0, digest, index, len(split_into_pieces(data)), corrupt_piece))
                    == "ok"
                )
            assert driver(PublishVersion(5, f"op/1/{number}")).startswith(("no: checksum", "no: the version's bytes"))
        assert driver(PublishVersion(5, "op/1/1")) == "ok 1" and driver.machine.version(1).rules == version.rules
        assert driver(PublishVersion(5, "op/1/1")) == "no: unknown", "a repeated publication has no effect"
        assert (
            driver.machine.apply(driver.index, encode_command(Activate(5, 1))) == b"no: old"
            and driver.machine.active_version == 0
        )
        assert {driver.machine.counts[counter] for counter in ("gap", "repeat", "other", "old")} >= {1}

    def test_large_version_is_built_ahead_in_slices_and_not_again_at_publication(self):
        driver, twin, changes = MachineDriver(), MachineDriver(), {f"ban/e{n}": Ban(f"e{n}") for n in range(3_000)}
        for machine_driver in (driver, twin):
            machine_driver.draft(changes)
        slices = 0
        while driver.machine.has_unbuilt_draft:
            driver.machine.build_slice()
            slices += 1
        assert slices > 60
        with mock.patch(
            "frostspindle.settings.version_build.unpack_changes_in_slices",
            side_effect=AssertionError("the version was built again"),
        ):
            assert driver(PublishVersion(5, "me/1/1")) == "ok 1"
        with mock.patch(
            "frostspindle.settings.member_decisions.intersect_with_child",
            side_effect=AssertionError("the intersection was computed again"),
        ):
            decisions = MemberDecisions("c1", 1, SETTINGS, driver.machine, 0.0)
            assert len(decisions._intersection((EMPTY_VERSION, driver.machine.version(1)), "pending").rules) == 3_000
        assert twin(PublishVersion(5, "me/1/1")) == "ok 1" and twin.machine.state() == driver.machine.state()
        assert driver(Activate(5, 1)) == "ok" and driver(Confirm(5, 1)) == "ok"
        # A return to an earlier version is not prebuilt, as its target may be removed from the history before.
        # An invalid draft is refused at its publication.
        assert (
            driver(DraftPiece("me", 1, 99, -1, b"x" * 16, 0, 1, bytes(9_000), target_version=0)) == "ok"
            and not driver.machine.has_unbuilt_draft
        )
        assert driver(PublishVersion(5, "me/1/99")).startswith("ok")
        assert driver(Withdraw(5, 2, "")) == "ok"
        version = driver.machine.version(1).child(2, {f"ban/f{n}": Ban(f"f{n}", "x" * 40) for n in range(3_000)})
        assert driver(DraftPiece("me", 1, 100, 1, b"x" * 16, 0, 1, pack_changes(version.changes))) == "ok"
        while driver.machine.has_unbuilt_draft:
            driver.machine.build_slice()
        assert driver(PublishVersion(5, "me/1/100")).startswith("no: checksum")

    def test_rollback_makes_a_new_version_and_refuses_the_failed_rules_afterwards(self):
        driver = MachineDriver()
        good, bad = driver.push(ban("e1")), driver.push(ban("e2"), confirm=False)
        assert driver(Rollback(5, 1, "")) == "no: not on trial"
        assert driver(Rollback(5, 2, "failed: 40%")) == "ok 3" and driver.machine.candidate_versions == (1, 2, 3)
        assert driver.machine.version(3).rules == good.rules and driver(Rollback(5, 2, "")) == "no: not on trial"
        assert driver(Activate(5, 3)) == "ok" and driver(Rollback(5, 3, "")).startswith(
            "no: its rules are the proven ones"
        )
        assert driver(Confirm(5, 3)) == "ok"
        piece, version = draft(driver.machine.version(3), ban("e2"), 50)
        assert version.digest == bad.digest and driver(piece) == "ok"
        assert driver(PublishVersion(5, piece.key)).startswith("no: harmful: these are the rules of version 2")
        assert driver(DraftPiece("op", 1, 51, -1, b"\0" * 16, target_version=2)) == "ok"
        assert driver(PublishVersion(5, "op/1/51")).startswith("no: harmful")
        driver.push(ban("e3"))

    def test_draft_can_return_to_any_version_of_the_history(self):
        driver = MachineDriver()
        tables = [driver.push(ban(f"e{n}")).rules for n in range(HISTORY_CAPACITY + 4)]
        assert len(driver.machine.versions) == HISTORY_CAPACITY
        for number, target in enumerate((HISTORY_CAPACITY + 3, 6, 1, HISTORY_CAPACITY + 4, 99), 100):
            assert driver(DraftPiece("op", 1, number, -1, b"\0" * 16, target_version=target)) == "ok"
        assert driver(PublishVersion(5, "op/1/100")) == f"ok {HISTORY_CAPACITY + 5}"
        assert (
            driver.machine.version(HISTORY_CAPACITY + 5).rules == tables[HISTORY_CAPACITY + 2]
            and driver(Activate(5, HISTORY_CAPACITY + 5)) == "ok"
        )
        assert (
            driver(PublishVersion(5, "op/1/101")).startswith("ok")
            and driver.machine.version(driver.machine.last_version).rules == tables[5]
        )
        assert driver(Activate(5, driver.machine.last_version)) == "ok"
        for number, reason in ((102, "version 1 is not kept"), (103, ""), (104, "version 99 is not kept")):
            assert reason in driver(PublishVersion(5, f"op/1/{number}"))
            if driver.machine.pending_version:
                driver(Activate(5, driver.machine.pending_version))

    def test_every_table_is_bounded_and_refuses_entries_when_full(self):
        driver = MachineDriver()
        for number in range(drafts.MAX_DRAFTS):
            assert driver(draft(EMPTY_VERSION, ban("e1"), number, f"op{number}")[0]) == "ok"
        assert (
            driver(draft(EMPTY_VERSION, ban("e1"), 99)[0]).startswith("no: full") and driver.machine.counts["full"] == 1
        )
        driver = MachineDriver()
        for number in range(4):  # an author that starts a new draft abandons its incomplete one
            assert driver(DraftPiece("op", 1, number, 0, b"x" * 16, 0, 9, b"y" * PIECE_BYTES)) == "ok"
        assert len(driver.machine.drafts) == 1
        for number in range(30):
            result = driver(DraftPiece(f"o{number}", 1, 1, 0, b"x" * 16, 0, 9, b"y" * PIECE_BYTES))
        assert result.startswith("no: full") and drafts.total_bytes(driver.machine.drafts) <= drafts.MAX_DRAFT_BYTES
        for number in range(state_machine.MAX_MEMBERS + 1):
            result = driver(RenewLease(f"c{number}", 1, 1))
        assert result.startswith("no: full") and len(driver.machine.members) == state_machine.MAX_MEMBERS
        assert [
            driver(command) for command in (RenewLease("c1", 1, 2), RenewLease("c1", 1, 2), RenewLease("c1", 0, 9))
        ] == [
            "ok",
            "no: old",
            "no: old",
        ]
        for command in (
            RenewLease("c" * 65, 1, 1),
            RenewLease("c1", 1, 5, reason="x" * 999),
            RenewLease("c1", 1, 5, figures=(-1,)),
            RenewLease("c1", 1, 5, figures=(0,) * 65),
        ):
            assert driver(command) == "no: bounds"
        assert driver(RemoveMember(5, "c1", 1, 1)) == "no: heard since" and driver(RemoveMember(5, "c1", 1, 2)) == "ok"
        assert (
            driver(MemberLeaving("c2", 9)) == "no: unknown"
            and driver(MemberLeaving("c2", 1)) == "ok"
            and "c2" not in driver.machine.members
        )
        for _ in range(100):
            driver.push(ban(str(driver.index)), confirm=False)
            driver(Rollback(5, driver.machine.active_version, "x"))
            driver(Activate(5, driver.machine.pending_version))
        assert (
            len(driver.machine.rolled_back_digests) == state_machine.MAX_ROLLED_BACK
            and len(driver.machine.events) == state_machine.MAX_EVENTS
        )

    def test_version_too_large_for_a_snapshot_is_refused_and_others_are_not(self):
        driver = MachineDriver()
        changes = {f"ban/e{n}": Ban(f"e{n}", "x" * 180) for n in range(9_000)}
        driver.push(changes, confirm=False)
        driver.draft({key: Ban(entry.engine, "y" * 180) for key, entry in changes.items()})
        assert driver(PublishVersion(5, f"me/1/{driver.drafts}")).startswith("no: too large a change")
        driver.push(ban("f1"))
        assert len(driver.machine.state()) < 4 << 20

    def test_apply_never_raises_for_any_bytes(self):
        driver, rng = MachineDriver(), random.Random(3)
        valid = [
            encode_command(command)
            for command in (draft(EMPTY_VERSION, ban("e1"))[0], RenewLease("c1", 1, 1), Activate(5, 1))
        ]
        for _ in range(600):
            data = bytearray(rng.choice(valid) if rng.random() < 0.8 else rng.randbytes(rng.randrange(60)))
            for _ in range(rng.randrange(4)):
                if data:
                    data[rng.randrange(len(data))] = rng.randrange(256)
            assert driver(bytes(data[: rng.randrange(len(data) + 1)])).startswith(("ok", "no: "))

    def test_restored_machine_continues_like_the_original(self):
        driver, rng = MachineDriver(), random.Random(8)
        twin = None
        for step in range(120):
            if step % 7:
                driver.push({f"ban/f{rng.randrange(step + 1)}": None} | ban(f"f{step}"), confirm=step % 3 == 0)
            else:
                driver(DraftPiece("o2", 1, step, 0, b"x" * 16, 0, 2, b"z"))
            driver(RenewLease(f"c{step % 5}", 1, step))
            if twin is not None:
                twin.restore(driver.index, driver.machine.state())
                assert twin.state() == driver.machine.state()
            if step % 10 == 0:
                twin = SettingsStateMachine()
                twin.restore(driver.index, driver.machine.state())
                piece, _ = draft(driver.machine.version(driver.machine.active_version), ban("g"), 999)
                for machine in (twin, driver.machine):
                    machine.apply(driver.index + 1, encode_command(piece))
                    result = machine.apply(driver.index + 2, encode_command(PublishVersion(5, piece.key)))
                    machine.apply(driver.index + 3, encode_command(Withdraw(5, machine.pending_version, "")))
                    assert result.startswith(b"ok")
                driver.index += 4
                assert (twin.candidate_versions, twin.members, twin.rolled_back_digests) == (
                    driver.machine.candidate_versions,
                    driver.machine.members,
                    driver.machine.rolled_back_digests,
                )
        data = driver.machine.state()
        for corrupt in (data[:-3], b"", b"x", data[:40] + b"x" + data[41:]):
            with pytest.raises(ValueError):
                twin.restore(1, corrupt)
        assert twin.active_version


def agreed_cluster(count=3, **options):
    """Return a cluster whose coordinators act on version 1 alone, which bans e1."""
    cluster = SettingsCluster(count, **options)
    cluster.nodes["c0"].publisher.on_lease_acquired(0.0, 10)
    cluster.propose(draft(EMPTY_VERSION, ban("e1"))[0])
    cluster.settle(16)
    assert {rules.sole_version for rules in cluster.active_rules().values()} == {1} and cluster.nodes[
        "c0"
    ].machine.confirmed_version == 1
    return cluster


def push(cluster, changes, number, base=None):
    node = next(iter(cluster.nodes.values()))
    piece, _ = draft(base or node.machine.version(node.machine.active_version), changes, number)
    cluster.propose(piece)


class TestDecisions:
    def test_version_is_intersected_persisted_acknowledged_then_activated(self):
        cluster = agreed_cluster()
        push(cluster, ban("e2"), 2)
        cluster.apply("c0", 99)
        assert isinstance(cluster.publish("c0"), PublishVersion)
        cluster.apply("c1", 99)
        c1 = cluster.nodes["c1"].member
        assert (c1.applied.mode, c1.applied.versions, c1.applied.reason) == (RulesMode.INTERSECTION, (1, 2), "pending")
        assert c1._acknowledged_version() == 1, "not durable yet"
        assert cluster.persist("c1") and cluster.renew("c1").acknowledged == 2
        cluster.apply("c0", 99)
        assert cluster.publish("c0") is None, "c2 has not renewed and may still act on version 1"
        cluster.settle(3)
        assert {rules.sole_version for rules in cluster.active_rules().values()} == {2}

    def test_lease_counts_from_the_proposal_of_its_renewal_however_late_that_is_applied(self):
        cluster = agreed_cluster()
        decisions = cluster.nodes["c1"].member
        cluster.pass_time(500.0)
        assert cluster.renew("c1") is not None
        proposed_at = cluster.now
        cluster.pass_time(1_300.0)
        cluster.apply("c1", 99)
        assert decisions.lease_until_ms == proposed_at + SETTINGS.own_lease_ms
        cluster.pass_time(701.0)
        assert cluster.active_rules()["c1"].reason == "alone"

    def test_start_with_a_log_behind_the_store_keeps_the_stored_versions(self):
        cluster = agreed_cluster()
        push(cluster, ban("e2"), 2)
        cluster.settle(3)
        assert [version.number for version in cluster.disks["c1"].versions] == [1, 2]
        cluster.crash("c1")
        cluster.start("c1")
        node = cluster.nodes["c1"]
        while node.machine.active_version < 1:
            cluster.apply("c1")
        assert not cluster.persist("c1") and node.member.current_rules(cluster.now).versions == (1, 2)
        cluster.settle(3)
        assert cluster.active_rules()["c1"].sole_version == 2

    def test_isolated_member_stops_using_one_version_before_the_next_is_activated(self):
        cluster = agreed_cluster()
        push(cluster, ban("e2"), 2)
        connected = [name for name in cluster.nodes if name != "c2"]
        activated_at = None
        for _ in range(80):
            for name in connected:
                cluster.renew(name)
                cluster.publish(name)
            for name in connected:
                cluster.apply(name, 99)
                cluster.persist(name)
            cluster.pass_time(50.0)
            if activated_at is None and cluster.nodes["c0"].machine.active_version == 2:
                activated_at = cluster.now
                assert cluster.active_rules()["c2"].mode == RulesMode.INTERSECTION
            assert cluster.fault() is None
        assert activated_at is not None and cluster.active_rules()["c2"].reason == "alone"
        assert cluster.nodes["c2"].member.counts["leases_lost"] == 1
        cluster.settle(4)
        assert {rules.sole_version for rules in cluster.active_rules().values()} == {2}

    def test_isolated_member_rejects_in_the_strict_mode(self):
        cluster = agreed_cluster(settings=AgreementSettings(2_000.0, 0.0, 4_000.0, isolation_mode=RulesMode.REJECT))
        cluster.pass_time(2_000.0)
        assert {(rules.mode, rules.reason) for rules in cluster.active_rules().values()} == {
            (RulesMode.REJECT, "alone")
        }
        cluster.crash("c1")
        cluster.start("c1")
        assert cluster.active_rules()["c1"].mode == RulesMode.REJECT
        cluster.crash("c2")
        cluster.disks["c2"] = type(cluster.disks["c2"])()
        cluster.start("c2")
        assert cluster.active_rules()["c2"].mode == RulesMode.LOCAL_FILES, "it knows of no version"

    def test_clock_slow_by_the_drift_is_covered_by_the_publishers_wait(self):
        settings = AgreementSettings(2_000.0, 0.05)
        assert (
            settings.own_lease_ms / (1.0 - settings.drift)
            <= settings.lease_ms
            <= settings.peer_lease_ms / (1.0 + settings.drift)
        )

    def test_version_rejected_by_one_member_is_withdrawn_with_its_reason(self):
        cluster = agreed_cluster(
            inapplicability_reason=lambda name, version: (
                "limits.x: needs a new start" * (name == "c2" and "ban/e2" in version.rules)
            )
        )
        push(cluster, ban("e2"), 2)
        cluster.settle(4)
        events = cluster.nodes["c0"].machine.events
        assert [(event.kind, event.version, event.reason) for event in events][-1] == (
            "withdrawn",
            2,
            "c2: limits.x: needs a new start",
        )
        assert {rules.sole_version for rules in cluster.active_rules().values()} == {1} and cluster.fault() is None

    def test_late_member_that_can_not_apply_the_active_version_uses_the_intersection(self):
        cluster = agreed_cluster(
            inapplicability_reason=lambda name, version: "no" * (name == "c2" and "ban/e2" in version.rules)
        )
        cluster.crash("c2")
        cluster.pass_time(5_000.0)
        push(cluster, ban("e2"), 2)
        cluster.settle(20)
        assert cluster.nodes["c0"].machine.active_version == 2
        cluster.start("c2")
        cluster.settle(6)
        rules = cluster.active_rules()["c2"]
        assert (rules.mode, rules.reason) == (RulesMode.INTERSECTION, "unfit") and cluster.fault() is None
        assert cluster.nodes["c0"].machine.members["c2"].renewal.rejected == 2

    def test_next_publisher_continues_after_one_crashed_while_a_version_was_pending(self):
        cluster = agreed_cluster()
        push(cluster, ban("e2"), 2)
        cluster.apply("c0", 99)
        assert isinstance(cluster.publish("c0"), PublishVersion)
        cluster.crash("c0")
        cluster.nodes["c1"].publisher.on_lease_acquired(cluster.now, 20)
        for _ in range(12):
            cluster.settle(1)
            assert cluster.fault() is None
        assert {rules.sole_version for rules in cluster.active_rules().values()} == {2}

    def test_two_publishers_at_once_never_activate_two_versions(self):
        cluster = agreed_cluster()
        cluster.nodes["c1"].publisher.on_lease_acquired(cluster.now, 20)  # c0 still has its old token
        for number in range(2, 8):
            push(cluster, ban(f"e{number}"), number)
            cluster.settle(4)
            assert cluster.fault() is None
        assert cluster.nodes["c2"].machine.counts["stale"] and cluster.nodes["c2"].machine.active_version == 7

    def test_start_without_the_fleet_intersects_all_versions_that_may_be_active(self):
        cluster = agreed_cluster()
        push(cluster, {"ban/e1": None, **ban("e2")}, 2)
        for name in cluster.nodes:
            cluster.apply(name, 99)
        cluster.publish("c0")
        for name in cluster.nodes:
            cluster.apply(name, 99)
        assert cluster.persist("c1")
        cluster.crash("c1")
        cluster.start("c1")
        rules = cluster.active_rules()["c1"]
        assert (rules.mode, rules.versions, rules.reason) == (RulesMode.INTERSECTION, (1, 2), "start")
        assert set(rules.rules) == {"ban/e1", "ban/e2"}
        cluster.settle(4)
        assert {rules.sole_version for rules in cluster.active_rules().values()} == {2}

    def test_silent_members_are_removed_and_one_that_left_is_not_waited_for(self):
        cluster = agreed_cluster()
        cluster.crash("c2")
        push(cluster, ban("e2"), 2)
        before = cluster.now
        while cluster.nodes["c0"].machine.active_version == 1:
            cluster.settle(1, 50.0)
        assert 1_500.0 <= cluster.now - before <= 2_200.0, "the publisher waits for the silent member's lease to expire"
        cluster.settle(14)
        assert set(cluster.nodes["c0"].machine.members) == {"c0", "c1"}
        cluster.propose(cluster.nodes["c1"].member.leave())
        assert cluster.active_rules()["c1"].mode == RulesMode.INTERSECTION, "a leaving member acts on no single version"
        cluster.crash("c1")
        push(cluster, ban("e3"), 3)
        before = cluster.now
        while cluster.nodes["c0"].machine.active_version == 2:
            cluster.settle(1, 50.0)
        assert cluster.now - before <= 400.0

    def test_publisher_visits_only_updated_members_and_still_finds_silent_ones(self):
        class UnwalkableDict(dict):
            def items(self):
                raise AssertionError("all members are visited")

            values = keys = __iter__ = items

        driver = MachineDriver()
        publisher = PublisherDecisions(SETTINGS, driver.machine, CanaryCheck())
        for n in range(9):
            assert driver(RenewLease(f"c{n}", 1, 1)) == "ok"
        publisher.on_lease_acquired(0.0, 5)
        assert publisher.next_command(0.0) is None
        for n in (*range(3), *range(4, 9)):
            assert driver(RenewLease(f"c{n}", 1, 2, figures=(*range(4), *[0] * LATENCY_BUCKETS))) == "ok"
        members, driver.machine.members = driver.machine.members, UnwalkableDict(driver.machine.members)
        assert publisher.next_command(3_000.0) is None and publisher.canary._windows[-1][3] == 24
        assert publisher.next_command(4_000.0) == RemoveMember(5, "c3", 1, 1)
        driver.machine.members = members
        assert driver(RemoveMember(5, "c3", 1, 1)) == "ok" and driver(MemberLeaving("c8", 1)) == "ok"
        publisher.next_command(4_100.0)
        assert publisher._last_renewals.keys() == members.keys() and publisher.canary._windows[-1][3] == 21
        restored = SettingsStateMachine()
        for n in (1, 99):
            restored.apply(n, encode_command(RenewLease(f"c{n}", 1, 9)))
        driver.machine.restore(driver.index, restored.state())
        publisher.next_command(4_200.0)
        assert publisher._last_renewals.keys() == {"c1", "c99"} and not publisher.canary._windows[-1][3]
        publisher.on_lease_acquired(4_300.0, 6)
        assert publisher.next_command(4_300.0) is None and publisher.next_command(8_400.0).name == "c1"

    def test_version_that_fails_the_canary_check_is_rolled_back_and_the_next_accepted(self):
        cluster, figures = agreed_cluster(1), [0] * (HEADER_FIGURES + LATENCY_BUCKETS)
        node = cluster.nodes["c0"]
        node.publisher.canary = CanaryCheck()
        decisions = node.member

        def run(failed, steps):
            for _ in range(steps):
                figures[0] += 100
                figures[1] += failed
                figures[HEADER_FIGURES + 3] += 100
                renewal = decisions.next_renewal(cluster.now, tuple(figures))
                if renewal is not None:
                    cluster.propose(renewal)
                cluster.apply("c0", 99)
                cluster.publish("c0")
                cluster.apply("c0", 99)
                cluster.persist("c0")
                cluster.pass_time(100.0)

        run(0, 120)
        push(cluster, ban("e2"), 2)
        run(0, 8)
        assert node.machine.active_version == 2 and node.machine.trial_index
        run(30, 40)
        rollbacks = [event for event in node.machine.events if event.kind == "rolled back"]
        assert len(rollbacks) == 1 and rollbacks[0].reason.startswith("failed: ")
        assert node.machine.version(node.machine.active_version).rules == node.machine.version(1).rules
        push(cluster, ban("e2"), 3)
        run(0, 10)
        assert node.machine.events[-1].reason.startswith("harmful")
        push(cluster, ban("e4"), 4)
        run(0, 10)
        assert "ban/e4" in node.machine.version(node.machine.active_version).rules

    def test_next_publisher_judges_a_trial_by_the_baseline_of_its_predecessor(self):
        cluster, counts = (
            agreed_cluster(),
            {name: [0] * (HEADER_FIGURES + LATENCY_BUCKETS) for name in ("c0", "c1", "c2")},
        )

        def run(failed, reached, steps=100):
            for _ in range(steps):
                for name, node in cluster.nodes.items():
                    node.publisher.canary = node.publisher.canary or CanaryCheck()
                    for index, added in ((0, 50), (1, failed), (HEADER_FIGURES + 3, 50)):
                        counts[name][index] += added
                    if (renewal := node.member.next_renewal(cluster.now, tuple(counts[name]))) is not None:
                        cluster.propose(renewal)
                    cluster.publish(name)
                for name in cluster.nodes:
                    cluster.apply(name, 99)
                    cluster.persist(name)
                cluster.pass_time(100.0)
                if reached(next(iter(cluster.nodes.values())).machine):
                    return
            raise AssertionError("the expected state was not reached")

        run(0, lambda machine: cluster.now > 30_000.0, 400)
        push(cluster, ban("e2"), 2)
        run(0, lambda machine: machine.active_version == 2)
        baseline = cluster.nodes["c0"].machine.baseline
        assert baseline[1] > 1_000 and cluster.nodes["c0"].machine.trial_index
        # All members crash, so the next publisher has observed nothing from before the version.
        state, applied = cluster.nodes["c1"].machine.state(), cluster.nodes["c1"].applied
        for name in ("c0", "c1", "c2"):
            cluster.crash(name)
        cluster.start("c1")
        node = cluster.nodes["c1"]
        node.machine.restore(applied, state)
        node.applied = applied
        assert node.machine.baseline == baseline
        node.publisher.on_lease_acquired(cluster.now, 20)
        run(20, lambda machine: machine.pending_version)
        assert node.machine.events[-1].kind == "rolled back" and node.machine.events[-1].reason.startswith("failed: ")
        run(20, lambda machine: machine.active_version == 3)
        assert node.machine.version(3).rules == node.machine.version(1).rules and node.machine.baseline == baseline
        driver = MachineDriver()
        driver.push(ban("e1"), activate=False)
        for figures in ((1.0,) * 17, (-1.0,), (float("nan"),), (float("inf"),)):
            assert driver(Activate(5, 1, figures)) == "no: bounds"


class TestAudit:
    def test_the_longest_contradiction_is_found_over_all_pairs(self):
        always = lambda first, second: True  # noqa: E731
        assert (
            find_longest_contradiction([active_period("a", 1, 0, 10), active_period("b", 2, 10, 20)], always).longest_ms
            == 0
        )
        found = find_longest_contradiction(
            [active_period("a", 1, 0, 10), active_period("b", 2, 6, 20), active_period("c", 1, 9, 13)], always
        )
        assert (found.longest_ms, found.total_ms) == (7.0, 7.0)
        assert (
            find_longest_contradiction([active_period("a", 1, 0, 10), active_period("a", 2, 5, 20)], always).longest_ms
            == 0
        )
        assert (
            find_longest_contradiction(
                [active_period("a", 1, 0, 10), active_period("b", 2, 5, 20)], lambda first, second: False
            ).longest_ms
            == 0
        )
        found = find_longest_contradiction(
            [active_period("a", 1, 0, 4), active_period("b", 2, 2, 9), active_period("c", 3, 8, 20)], always
        )
        assert (found.longest_ms, found.total_ms, found.pair[0].node) == (2.0, 3.0, "a")

    def test_audit_reads_expired_leases_and_killed_processes_from_log_lines(self):
        def line(node, mono_ms, mode, version, until_ms=None):
            return {
                "event": "settings_rules_activated",
                "node": node,
                "mono_ms": mono_ms,
                "mode": mode,
                "versions": [version],
                "until_ms": until_ms,
            }

        lines = [
            {"event": "coordinator_started"},
            line("a", 0, "version", 1),
            line("b", 5, "version", 1),
            line("a", 50, "meet", 1, 40),
            line("a", 60, "version", 2),
        ]
        assert sorted(
            read_active_periods(lines, {"b": 30.0}, 100.0), key=lambda period: (period.node, period.begins)
        ) == [
            active_period("a", 1, 0, 40),
            active_period("a", 2, 60, 100),
            active_period("b", 1, 5, 30),
        ]
        contradict = read_contradictions(
            [
                {"event": "settings_version_received", "version": number, "parent": parent, "contradicts": keys}
                for number, parent, keys in ((1, 0, []), (2, 1, ["ban/e1"]), (3, 2, []), (2, -1, []), (5, -1, []))
            ]
        )
        assert [contradict(1, 2), contradict(2, 3), contradict(1, 3), contradict(2, 2)] == [True, False, True, True]
        assert contradict(3, 5), "the parent of a version from a snapshot is unknown"


# Exhaustive search of interleavings.


def model(count, ticks, crashes, grants, renewals, rejecting=""):
    """Return the start, the steps and the key of a small cluster with a waiting draft that contradicts version 1.

    Coordinators renew, apply, persist, crash and start; publishers publish; time passes by half a lease. To limit the
    search, a member that is not the publisher applies others' renewals together with the entry before them, as these
    only affect the publisher's decisions.
    """
    cluster = agreed_cluster(
        count, inapplicability_reason=lambda name, version: "no" * (name == rejecting and "ban/e2" in version.rules)
    )
    names = list(cluster.disks)
    for name in names:
        cluster.renew(name)
    active = cluster.nodes["c0"].machine.version(1)
    cluster.propose(draft(active, {"ban/e1": None, **ban("e2")}, 99)[0])
    for name in names:
        cluster.apply(name, 99)
    start = len(cluster.log)
    cluster.left = {"ticks": ticks, "crashes": crashes, "grants": grants, **dict.fromkeys(names, renewals)}

    def apply_renewals_of_others(cluster, name):
        node = cluster.nodes[name]
        while (
            node.applied < len(cluster.log)
            and not node.publisher.token
            and isinstance(command := log_commands.decode_command(cluster.log[node.applied]), RenewLease)
            and command.name != name
        ):
            cluster.apply(name)

    def steps(cluster):
        def branch(budget=None):
            other = cluster.copy()
            other.left = dict(cluster.left)
            if budget is not None:
                other.left[budget] -= 1
            return other

        if cluster.left["ticks"]:
            other = branch("ticks")
            other.pass_time(1_000.0)
            yield "tick", other
        for name in names:
            node = cluster.nodes.get(name)
            if node is None:
                other = branch()
                other.start(name)
                apply_renewals_of_others(other, name)
                yield f"start {name}", other
                continue
            if node.applied < len(cluster.log):
                other = branch()
                other.apply(name)
                apply_renewals_of_others(other, name)
                yield f"apply {name}", other
            else:
                other = branch()
                if node.publisher.token and other.publish(name) is not None:
                    yield f"publish {name}", other
            has_pending_renewal = any(
                isinstance(command := log_commands.decode_command(entry), RenewLease)
                and command.name == name
                and command.process == node.process
                for entry in cluster.log[node.applied :]
            )
            if cluster.left[name] and not has_pending_renewal:
                other = branch(name)
                if other.renew(name) is not None:
                    yield f"renew {name}", other
            if cluster.left["grants"] and not node.publisher.token:
                other = branch("grants")
                other.nodes[name].publisher.on_lease_acquired(other.now, 20)
                yield f"grant {name}", other
            other = branch()
            if other.persist(name):
                yield f"persist {name}", other
            if cluster.left["crashes"]:
                other = branch("crashes")
                other.crash(name)
                yield f"crash {name}", other

    def key(cluster):
        def member_key(node):
            if node is None:
                return None
            decisions, publisher, machine = node.member, node.publisher, node.machine
            return (
                node.applied,
                node.process,
                decisions.has_renewed,
                max(-1.0, decisions.lease_until_ms - cluster.now),
                decisions._last_reported,
                tuple(sorted(decisions.durable_digests)),
                max(-1.0, decisions._renewal_due_ms - cluster.now),
                machine.candidate_versions,
                machine.highest_token,
                tuple((n, proposed_at - cluster.now) for n, proposed_at in decisions._renewals_in_flight.items()),
                publisher.token,
                publisher._pending_since[0],
                max(-3e3, publisher._pending_since[1] - cluster.now),
            )

        return (
            tuple(cluster.log[start:]),
            tuple(cluster.left.values()),
            tuple(
                (member_key(cluster.nodes.get(name)), tuple(v.number for v in cluster.disks[name].versions))
                for name in names
            ),
        )

    return cluster, steps, key


@pytest.mark.parametrize(
    "count, ticks, crashes, grants, renewals, rejecting, limit",
    [(2, 2, 0, 0, 1, "", 4_000), (2, 1, 1, 1, 1, "", 1_200), (3, 1, 1, 0, 1, "c1", 800)],
)
def test_no_order_of_apply_persist_and_crash_lets_two_act_on_contradicting_versions(
    count, ticks, crashes, grants, renewals, rejecting, limit
):
    cluster, steps, key = model(count, ticks, crashes, grants, renewals, rejecting)
    found = explore(cluster, steps, SettingsCluster.fault, limit, key=key)
    assert found.fault is None, str(found)
    assert found.holds or found.states == limit, str(found)  # bench/settings.py runs longer searches
    assert found.labels["publish"] and found.labels["apply"] and found.labels["renew"] and found.labels["persist"]


# Random sequences of more kinds of steps.


class SettingsModel(RuleBasedStateMachine):
    """A cluster with valid and invalid drafts, leases, crashes and snapshots."""

    def __init__(self):
        super().__init__()
        self.cluster, self.number, self.tokens = SettingsCluster(3, SETTINGS), 0, 10
        self.cluster.nodes["c0"].publisher.on_lease_acquired(0.0, 10)

    names = st.sampled_from(["c0", "c1", "c2"])

    @rule(
        kind=st.sampled_from(
            ["valid", "valid", "valid", "checksum", "truncated", "gap", "repeated", "base", "return", "over_capacity"]
        ),
        engine=st.integers(1, 4),
        node=names,
    )
    def draft(self, kind, engine, node):
        node = self.cluster.nodes.get(node)
        if node is None or len(self.cluster.log) > 400:
            return
        self.number += 1
        active = node.machine.version(node.machine.active_version)
        changes = {f"ban/e{engine}": None if f"ban/e{engine}" in active.rules else Ban(f"e{engine}")}
        if kind == "over_capacity":
            changes = {
                "scope/http": ListScope(),
                "scope/coordinator": ListScope(),
                "limit/out": Limit(9.0),
                "engine/http/e1": Engine("e1", "127.0.0.1:1", most=4),
            }
        piece, _ = draft(active, changes, self.number)
        if kind in ("checksum", "truncated", "gap", "base"):
            piece = DraftPiece(
                piece.author,
                1,
                piece.number,
                piece.base_version + (kind == "base"),
                b"x" * 16 if kind == "checksum" else piece.digest,
                kind == "gap",
                1 + (kind == "gap"),
                piece.data[:-3] if kind == "truncated" else piece.data,
            )
        elif kind == "return":
            piece = DraftPiece("op", 1, self.number, -1, piece.digest, target_version=max(0, active.number - engine))
        for _ in range(2 if kind == "repeated" else 1):
            self.cluster.propose(piece)

    @rule(name=names, max_entries=st.integers(1, 6))
    def apply(self, name, max_entries):
        if name in self.cluster.nodes:
            self.cluster.apply(name, max_entries)

    @rule(name=names)
    def renew(self, name):
        if name in self.cluster.nodes:
            self.cluster.renew(name)

    @rule(name=names, include_removals=st.booleans())
    def persist(self, name, include_removals):
        if name in self.cluster.nodes:
            self.cluster.persist(name, include_removals)

    @rule(name=names)
    def publish(self, name):
        if name in self.cluster.nodes:
            self.cluster.publish(name)

    @rule(name=names)
    def acquire_lease(self, name):
        if name in self.cluster.nodes:
            self.tokens += 1
            self.cluster.nodes[name].publisher.on_lease_acquired(self.cluster.now, self.tokens)

    @rule(ms=st.sampled_from([10.0, 300.0, 900.0, 2_500.0]))
    def pass_time(self, ms):
        self.cluster.pass_time(ms)

    @rule(rounds=st.integers(1, 4))
    def settle(self, rounds):
        self.cluster.settle(rounds, 200.0)

    @precondition(lambda self: len(self.cluster.nodes) > 1)
    @rule(name=names)
    def crash(self, name):
        if name in self.cluster.nodes:
            self.cluster.crash(name)

    @rule(name=names)
    def start(self, name):
        if name not in self.cluster.nodes:
            self.cluster.start(name)

    @rule(name=names)
    def snapshot(self, name):
        """Restore a member that is behind from another's snapshot."""
        if name not in self.cluster.nodes:
            return
        behind, donor = self.cluster.nodes[name], max(self.cluster.nodes.values(), key=lambda node: node.applied)
        if donor.applied > behind.applied:
            behind.machine.restore(donor.applied, donor.machine.state())
            behind.applied = donor.applied
            behind.member.on_entry_applied(self.cluster.now, b"", b"")
            self.cluster.refresh(name)

    @invariant()
    def invariants_hold(self):
        assert self.cluster.fault() is None
        for node in self.cluster.nodes.values():
            machine = node.machine
            assert (
                machine.confirmed_version <= machine.active_version <= machine.last_version
                and machine.pending_version in (0, machine.last_version)
            )
            assert machine.pending_version == 0 or machine.pending_version > machine.active_version
            for number in machine.candidate_versions:
                machine.version(number)

    def teardown(self):
        if not self.cluster.nodes:
            self.cluster.start("c0")
        self.tokens += 1
        next(iter(self.cluster.nodes.values())).publisher.on_lease_acquired(self.cluster.now, self.tokens)
        self.cluster.settle(30)
        rules_by_name = self.cluster.active_rules()
        assert len({rules.sole_version for rules in rules_by_name.values()}) == 1 and all(
            rules.mode in (RulesMode.VERSION, RulesMode.LOCAL_FILES) for rules in rules_by_name.values()
        ), rules_by_name


def test_random_pushes_leases_crashes_and_snapshots_converge_to_one_version():
    run_state_machine_as_test(
        SettingsModel,
        settings=hypothesis_settings(
            max_examples=40, stateful_step_count=30, deadline=None, derandomize=True, database=None
        ),
    )
