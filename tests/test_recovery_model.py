"""One load that two coordinators are asked for: every order of claims, answers, writes, frees and one loss of power.

Three homes, which are alike: states that differ only by which is which are taken for one. What was sent may come at any
time, often or never. An answer comes at once or never: a no that is late is a claim that never came, a grant that is
late changes nothing but when the load begins, which is a step of its own. The answer that waits for the disk is lost,
and the claim comes again. A claim ends at any time.
"""

import pytest

from frostspindle.lab.explore import explore
from frostspindle.recovery import tickets
from frostspindle.recovery.tickets import ClaimOutcome, TicketClaims, TicketJournal
from frostspindle.recovery.wire import TicketStatus

OF = tickets.ticket_id("the load")
HOMES, NONCES = ("x", "y", "z"), {"a": 1, "b": 2}
UNIX = 1e9


class World:
    """`rests`, `durable`: guards that may be out; `split`: others may act while a batch is on its way to the disk."""

    def __init__(self, rests=True, durable=True, split=False, losses=1):
        self.rests, self.durable, self.split, self.losses = rests, durable, split, losses
        self.journals = {home: TicketJournal((), 1e6, UNIX, False) for home in HOMES}
        self.disks = {home: {} for home in HOMES}
        self.batches = dict.fromkeys(HOMES)
        self.claims = {name: TicketClaims(1_000.0) for name in NONCES}
        self.outcomes, self.sent, self.runs = {}, frozenset(), ()
        self.begin("a")

    def copy(self):
        out = object.__new__(World)
        out.__dict__.update(self.__dict__)
        out.journals, out.claims = dict(self.journals), dict(self.claims)
        out.disks, out.batches, out.outcomes = dict(self.disks), dict(self.batches), dict(self.outcomes)
        return out

    def own(self, home):
        """A journal that may be changed."""
        old, new = self.journals[home], object.__new__(TicketJournal)
        new.__dict__.update(old.__dict__)
        new.records, new._pending, new._writing = dict(old.records), dict(old._pending), dict(old._writing)
        new._waiters = {of: list(waits) for of, waits in old._waiters.items()}
        self.journals[home] = new
        return new

    def asker(self, name):
        old, new = self.claims[name], TicketClaims(1_000.0)
        new.pending = {
            nonce: tickets._PendingClaim(c.ticket, nonce, c.replicas, c.deadline, c.resend_at, dict(c.answers))
            for nonce, c in old.pending.items()
        }
        new.granted = dict(old.granted)
        self.claims[name] = new
        return new

    def send(self, name, sends):
        """To all homes, always."""
        self.sent |= {("free" if send.release else "claim", name) for send in sends}

    def begin(self, name):
        self.send(name, self.asker(name).begin(0.0, OF, NONCES[name], list(HOMES)))

    def claim(self, name, home, heard):
        how = self.own(home).claim(UNIX, name, OF, NONCES[name])
        if how is None and not self.durable:
            how = TicketStatus.GRANTED
        if heard and how is not None and (found := self.asker(name).on_reply(1.0, home, NONCES[name], how)) is not None:
            self.over(name, *found)

    def free(self, name, home):
        self.own(home).release(name, OF, NONCES[name])

    def over(self, name, how, sends):
        self.outcomes[name] = how
        self.send(name, sends)

    def write(self, home):
        self.batches[home] = tuple((self.own(home).next_batch() or {}).items())
        if not self.split:
            self.written(home)

    def written(self, home):
        disk = {**self.disks[home], **dict(self.batches[home])}
        self.disks[home] = {key: value for key, value in disk.items() if value is not None}
        self.batches[home] = None
        self.own(home).on_batch_written(True)

    def loss(self, home, gone):
        self.losses -= 1
        if gone:
            self.disks[home] = {}
        self.batches[home] = None
        self.journals[home] = TicketJournal(self.disks[home].items(), 1e6, UNIX, gone and self.rests)

    def late(self, name):
        sends, ended = self.asker(name).tick(1_000.0)
        self.over(name, ended[0][1], sends)

    def end(self, name, ran):
        self.outcomes[name] = "ran" if ran else "refused"
        self.runs += (name,) * ran
        self.send(name, self.asker(name).on_load_ended(2.0, NONCES[name], ran))


def key(world):
    """All that matters, by home, in no order of homes."""

    def at(home):
        journal = world.journals[home]
        return tuple(str(part.get(OF)) for part in (journal.records, journal._pending, journal._writing)) + (
            OF in journal._pending,
            OF in journal._writing,
            journal.cooldown_until_ms > UNIX,
            str(world.disks[home]),
            str(world.batches[home]),
            *(c.pending[NONCES[name]].answers.get(home, -1) if c.pending else -2 for name, c in world.claims.items()),
        )

    return (
        *sorted(at(home) for home in HOMES),
        world.sent,
        tuple(sorted(world.outcomes.items())),
        tuple(sorted(world.runs)),
        world.losses,
    )


def steps(world):
    def step(label, change, *args):
        change(out := world.copy(), *args)
        return label, out

    for kind, name in sorted(world.sent):
        for home in HOMES:
            held = world.journals[home].records.get(OF)
            if kind == "free":
                if held is not None and held.claimant == name:  # else nothing changes
                    yield step("free", World.free, name, home)
            else:
                if held is None and not world.journals[home].in_cooldown(UNIX):
                    yield step("claim", World.claim, name, home, False)
                if NONCES[name] in world.claims[name].pending:
                    yield step("answer", World.claim, name, home, True)
    for home in HOMES:
        if world.batches[home] is not None:
            yield step("written", World.written, home)
        elif world.journals[home]._pending:
            yield step("write", World.write, home)
        if world.losses:
            yield step("loss", World.loss, home, False)
            yield step("lost-store", World.loss, home, True)
    if "b" not in world.outcomes and not world.claims["b"].pending:
        yield step("begin", World.begin, "b")  # the client repeats it there
    for name in NONCES:
        if world.claims[name].pending:
            yield step("late", World.late, name)
        if world.outcomes.get(name) == ClaimOutcome.GRANTED:
            yield step("ran", World.end, name, True)
            yield step("refused", World.end, name, False)


def twice(world):
    return f"it ran at {world.runs}" if len(world.runs) > 1 else None


def test_no_order_of_two_claims_a_loss_of_power_and_frees_runs_a_load_twice():
    found = explore(World(), steps, twice, 400_000, key=key)
    assert found.holds, str(found)
    assert all(
        found.labels[label]
        for label in ("claim", "answer", "free", "write", "loss", "lost-store", "late", "ran", "refused", "begin")
    ), found.labels


@pytest.mark.parametrize("out", ["rests", "durable"])
def test_without_the_rest_or_the_wait_for_the_disk_a_way_to_a_second_run_is_found(out):
    found = explore(World(**{out: False}), steps, twice, 400_000, key=key)
    assert found.fault is not None and found.trace is not None, str(found)
