"""State machines of the replicated log, after fixed commands, for the comparison of their snapshots."""

from compatibility.messages import RULES, WARMING_NOTE

from frostspindle.ownership import lease_table, progress
from frostspindle.settings import log_commands, schema, state_machine
from frostspindle.settings.version_encoding import pack_changes
from frostspindle.settings.versions import EMPTY_VERSION

FIRST = EMPTY_VERSION.child(number=1, changes=RULES)
BANNED = {"ban/e10": schema.Ban(engine="e10", why="fan")}
SECOND = FIRST.child(number=2, changes=BANNED)
COMMANDS = (
    log_commands.DraftPiece(
        author="c1", process=1, number=1, base_version=0, digest=FIRST.digest_bytes, data=pack_changes(RULES)
    ),
    log_commands.PublishVersion(token=11, draft="c1/1/1"),
    log_commands.Activate(token=11, version=1, baseline=(0.5,)),
    log_commands.Confirm(token=11, version=1),
    log_commands.DraftPiece(
        author="c1", process=1, number=2, base_version=1, digest=SECOND.digest_bytes, data=pack_changes(BANNED)
    ),
    log_commands.PublishVersion(token=12, draft="c1/1/2"),
    log_commands.Activate(token=12, version=2, baseline=(0.5, 1.5)),
    log_commands.RenewLease(name="c1", process=1, number=3, acknowledged=2, active=2, figures=(4, 5)),
    log_commands.RenewLease(
        name="c2", process=7, number=1, acknowledged=1, active=1, rejected=2, reason="class/batch", figures=(6,)
    ),
    log_commands.Rollback(token=12, version=2, reason="errors"),
    log_commands.DraftPiece(
        author="c2", process=7, number=2, base_version=-1, digest=FIRST.digest_bytes, target_version=1
    ),
)
OK = (b"ok", b"ok 1", b"ok", b"ok", b"ok", b"ok 2", b"ok", b"ok", b"ok", b"ok 3", b"ok")


def settings():
    """Return three versions, the second of which was rolled back, a pending draft and two coordinators."""
    machine = state_machine.SettingsStateMachine()
    results = [machine.apply(index, log_commands.encode_command(command)) for index, command in enumerate(COMMANDS, 21)]
    assert tuple(results) == OK
    return machine


def leases():
    """Return two leases of one process, one of them renewed and then force-released by another."""
    machine = lease_table.LeaseTable()
    for index, command in enumerate(
        (
            lease_table.RenewLeases(
                holder="c1",
                incarnation=2,
                number=1,
                duration_ms=3_000,
                acquisitions=[("export", 0, 0), ("warm/e7", 0, 0)],
            ),
            lease_table.RenewLeases(holder="c1", incarnation=2, number=2, duration_ms=4_000, renewals=[("export", 31)]),
            lease_table.ForceRelease(holder="c2", incarnation=1, number=1, task="export", token=31),
        ),
        31,
    ):
        assert lease_table.decode_result(machine.apply(index, lease_table.encode(command))).reason == ""
    return machine


def warming():
    """Return the warm-up progress of one engine."""
    machine = progress.WarmupProgress()
    assert machine.apply(41, progress.encode(WARMING_NOTE)) == b"1"
    return machine
