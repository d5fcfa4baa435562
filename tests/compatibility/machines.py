"""State machines of the replicated log, brought to a state by commands: what a snapshot of each holds."""

from compatibility.messages import RULES, WARMING_NOTE

from frostspindle.ownership import lease_table, progress
from frostspindle.settings import agreement, schema
from frostspindle.settings.versions import EMPTY, pack

FIRST = EMPTY.next(number=1, changes=RULES)
BANNED = {"ban/e10": schema.Ban(engine="e10", why="fan")}
SECOND = FIRST.next(number=2, changes=BANNED)
COMMANDS = (
    agreement.DraftPiece(by="c1", process=1, number=1, base=0, digest=FIRST.sum, data=pack(RULES)),
    agreement.PublishVersion(token=11, draft="c1/1/1"),
    agreement.Activate(token=11, version=1, usual=(0.5,)),
    agreement.Confirm(token=11, version=1),
    agreement.DraftPiece(by="c1", process=1, number=2, base=1, digest=SECOND.sum, data=pack(BANNED)),
    agreement.PublishVersion(token=12, draft="c1/1/2"),
    agreement.Activate(token=12, version=2, usual=(0.5, 1.5)),
    agreement.RenewLease(name="c1", process=1, number=3, acked=2, acting=2, seen=(4, 5)),
    agreement.RenewLease(name="c2", process=7, number=1, acked=1, acting=1, refused=2, why="class/batch", seen=(6,)),
    agreement.Rollback(token=12, version=2, why="errors"),
    agreement.DraftPiece(by="c2", process=7, number=2, base=-1, digest=FIRST.sum, to=1),
)
OK = (b"ok", b"ok 1", b"ok", b"ok", b"ok", b"ok 2", b"ok", b"ok", b"ok", b"ok 3", b"ok")


def settings():
    """Three versions, the second of which was rolled back; a draft that waits and two coordinators."""
    machine = agreement.SettingsStateMachine()
    answers = [machine.apply(index, agreement.encode(command)) for index, command in enumerate(COMMANDS, 21)]
    assert tuple(answers) == OK
    return machine


def leases():
    """Two tasks, one renewed and then forced, of two processes."""
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
    """One engine's warming-up."""
    machine = progress.WarmupProgress()
    assert machine.apply(41, progress.encode(WARMING_NOTE)) == b"1"
    return machine
