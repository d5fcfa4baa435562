"""One load that two coordinators are asked for: every order of claims, answers, writes, frees and one loss of power.

Three replicas, which are alike: states that differ only by which is which are taken for one. What was sent may come at
any time, often or never. An answer comes at once or never: a no that is late is a claim that never came, a grant that
is late changes nothing but when the load begins, which is a step of its own. The answer that waits for the disk is
lost, and the claim comes again. A claim ends at any time.
"""

import pytest

from frostspindle.lab.explore import explore
from frostspindle.recovery import tickets
from frostspindle.recovery.tickets import ClaimOutcome, TicketClaims, TicketJournal
from frostspindle.recovery.wire import TicketStatus

OF = tickets.ticket_id("the load")
REPLICAS, NONCES = ("x", "y", "z"), {"a": 1, "b": 2}
UNIX = 1e9


class World:
    """`cooldown`, `durable`: guards, may be off; `split`: others may act while a batch is on its way to the disk."""

    def __init__(self, cooldown=True, durable=True, split=False, losses=1):
        self.cooldown, self.durable, self.split, self.losses = cooldown, durable, split, losses
        self.journals = {replica: TicketJournal((), 1e6, UNIX, False) for replica in REPLICAS}
        self.disks = {replica: {} for replica in REPLICAS}
        self.batches = dict.fromkeys(REPLICAS)
        self.claims = {name: TicketClaims(1_000.0) for name in NONCES}
        self.outcomes, self.sent, self.runs = {}, frozenset(), ()
        self.begin("a")

    def copy(self):
        out = object.__new__(World)
        out.__dict__.update(self.__dict__)
        out.journals, out.claims = dict(self.journals), dict(self.claims)
        out.disks, out.batches, out.outcomes = dict(self.disks), dict(self.batches), dict(self.outcomes)
        return out

    def own(self, replica):
        """A journal that may be changed."""
        old, new = self.journals[replica], object.__new__(TicketJournal)
        new.__dict__.update(old.__dict__)
        new.records, new._pending, new._writing = dict(old.records), dict(old._pending), dict(old._writing)
        new._waiters = {of: list(waits) for of, waits in old._waiters.items()}
        self.journals[replica] = new
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
        """To all replicas, always."""
        self.sent |= {("free" if send.release else "claim", name) for send in sends}

    def begin(self, name):
        self.send(name, self.asker(name).begin(0.0, OF, NONCES[name], list(REPLICAS)))

    def claim(self, name, replica, heard):
        how = self.own(replica).claim(UNIX, name, OF, NONCES[name])
        if how is None and not self.durable:
            how = TicketStatus.GRANTED
        if (
            heard
            and how is not None
            and (found := self.asker(name).on_reply(1.0, replica, NONCES[name], how)) is not None
        ):
            self.over(name, *found)

    def free(self, name, replica):
        self.own(replica).release(name, OF, NONCES[name])

    def over(self, name, how, sends):
        self.outcomes[name] = how
        self.send(name, sends)

    def write(self, replica):
        self.batches[replica] = tuple((self.own(replica).next_batch() or {}).items())
        if not self.split:
            self.written(replica)

    def written(self, replica):
        disk = {**self.disks[replica], **dict(self.batches[replica])}
        self.disks[replica] = {key: value for key, value in disk.items() if value is not None}
        self.batches[replica] = None
        self.own(replica).on_batch_written(True)

    def loss(self, replica, gone):
        self.losses -= 1
        if gone:
            self.disks[replica] = {}
        self.batches[replica] = None
        self.journals[replica] = TicketJournal(self.disks[replica].items(), 1e6, UNIX, gone and self.cooldown)

    def late(self, name):
        sends, ended = self.asker(name).tick(1_000.0)
        self.over(name, ended[0][1], sends)

    def end(self, name, ran):
        self.outcomes[name] = "ran" if ran else "refused"
        self.runs += (name,) * ran
        self.send(name, self.asker(name).on_load_ended(2.0, NONCES[name], ran))


def key(world):
    """All that matters, by replica, in no order of replicas."""

    def at(replica):
        journal = world.journals[replica]
        return tuple(str(part.get(OF)) for part in (journal.records, journal._pending, journal._writing)) + (
            OF in journal._pending,
            OF in journal._writing,
            journal.cooldown_until_ms > UNIX,
            str(world.disks[replica]),
            str(world.batches[replica]),
            *(
                c.pending[NONCES[name]].answers.get(replica, -1) if c.pending else -2
                for name, c in world.claims.items()
            ),
        )

    return (
        *sorted(at(replica) for replica in REPLICAS),
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
        for replica in REPLICAS:
            held = world.journals[replica].records.get(OF)
            if kind == "free":
                if held is not None and held.claimant == name:  # else nothing changes
                    yield step("free", World.free, name, replica)
            else:
                if held is None and not world.journals[replica].in_cooldown(UNIX):
                    yield step("claim", World.claim, name, replica, False)
                if NONCES[name] in world.claims[name].pending:
                    yield step("answer", World.claim, name, replica, True)
    for replica in REPLICAS:
        if world.batches[replica] is not None:
            yield step("written", World.written, replica)
        elif world.journals[replica]._pending:
            yield step("write", World.write, replica)
        if world.losses:
            yield step("loss", World.loss, replica, False)
            yield step("lost-store", World.loss, replica, True)
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


def test_no_interleaving_of_two_claims_power_loss_and_releases_runs_a_load_twice():
    found = explore(World(), steps, twice, 400_000, key=key)
    assert found.holds, str(found)
    assert all(
        found.labels[label]
        for label in ("claim", "answer", "free", "write", "loss", "lost-store", "late", "ran", "refused", "begin")
    ), found.labels


@pytest.mark.parametrize("out", ["cooldown", "durable"])
def test_without_cooldown_or_durable_records_a_second_run_is_found(out):
    found = explore(World(**{out: False}), steps, twice, 400_000, key=key)
    assert found.fault is not None and found.trace is not None, str(found)
