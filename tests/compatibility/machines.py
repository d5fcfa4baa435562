"""State machines of the replicated log, brought to a state by commands: what a snapshot of each holds."""

from compatibility.messages import RULES, WARMING_NOTE

from frostspindle.ownership import progress, table
from frostspindle.settings import agreement, schema
from frostspindle.settings.versions import EMPTY, pack

FIRST = EMPTY.next(number=1, changes=RULES)
BANNED = {"ban/e10": schema.Ban(engine="e10", why="fan")}
SECOND = FIRST.next(number=2, changes=BANNED)
COMMANDS = (
    agreement.Draft(by="c1", process=1, number=1, base=0, digest=FIRST.sum, data=pack(RULES)),
    agreement.Publish(token=11, draft="c1/1/1"),
    agreement.Live(token=11, version=1, usual=(0.5,)),
    agreement.Proven(token=11, version=1),
    agreement.Draft(by="c1", process=1, number=2, base=1, digest=SECOND.sum, data=pack(BANNED)),
    agreement.Publish(token=12, draft="c1/1/2"),
    agreement.Live(token=12, version=2, usual=(0.5, 1.5)),
    agreement.Hold(name="c1", process=1, number=3, acked=2, acting=2, seen=(4, 5)),
    agreement.Hold(name="c2", process=7, number=1, acked=1, acting=1, refused=2, why="class/batch", seen=(6,)),
    agreement.Back(token=12, version=2, why="errors"),
    agreement.Draft(by="c2", process=7, number=2, base=-1, digest=FIRST.sum, to=1),
)
OK = (b"ok", b"ok 1", b"ok", b"ok", b"ok", b"ok 2", b"ok", b"ok", b"ok", b"ok 3", b"ok")


def settings():
    """Three versions, the second of which was rolled back; a draft that waits and two coordinators."""
    machine = agreement.Machine()
    answers = [machine.apply(index, agreement.encode(command)) for index, command in enumerate(COMMANDS, 21)]
    assert tuple(answers) == OK
    return machine


def leases():
    """Two tasks, one renewed and then forced, of two processes."""
    machine = table.Table()
    for index, command in enumerate(
        (
            table.Ask(holder="c1", life=2, number=1, duration_ms=3_000, takes=[("export", 0, 0), ("warm/e7", 0, 0)]),
            table.Ask(holder="c1", life=2, number=2, duration_ms=4_000, renews=[("export", 31)]),
            table.Force(holder="c2", life=1, number=1, task="export", token=31),
        ),
        31,
    ):
        assert table.said(machine.apply(index, table.encode(command))).reason == ""
    return machine


def warming():
    """One engine's warming-up."""
    machine = progress.Progress()
    assert machine.apply(41, progress.encode(WARMING_NOTE)) == b"1"
    return machine
