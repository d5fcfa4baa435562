"""Model check of one load that two coordinators receive: no interleaving may run it twice.

Explores every order of claims, answers, writes, releases and one power loss with three replicas; states that differ
only in the order of the replicas are explored once. A message may arrive at any time, several times or never. An answer
arrives at once or never: a late refusal is equivalent to a claim that did not arrive, and a late grant only changes
when the load starts, which is a separate step. The answer that waits for the disk is lost, and the claim is sent again.
A claim may time out at any time.
"""

import pytest

from frostspindle.lab.explore import explore
from frostspindle.recovery import tickets
from frostspindle.recovery.tickets import ClaimOutcome, TicketClaims, TicketJournal
from frostspindle.recovery.wire import TicketStatus

TICKET = tickets.ticket_id("the load")
REPLICAS, NONCES = ("x", "y", "z"), {"a": 1, "b": 2}
UNIX = 1e9


class Model:
    """`cooldown`, `durable`: guards that may be disabled; `split_writes`: other steps may happen during a write."""

    def __init__(self, cooldown=True, durable=True, split_writes=False, power_losses=1):
        self.cooldown, self.durable, self.split_writes, self.power_losses = (
            cooldown,
            durable,
            split_writes,
            power_losses,
        )
        self.journals = {replica: TicketJournal((), 1e6, UNIX, False) for replica in REPLICAS}
        self.disks = {replica: {} for replica in REPLICAS}
        self.batches = dict.fromkeys(REPLICAS)
        self.claims = {name: TicketClaims(1_000.0) for name in NONCES}
        self.outcomes, self.sent, self.runs = {}, frozenset(), ()
        self.begin("a")

    def copy(self):
        clone = object.__new__(Model)
        clone.__dict__.update(self.__dict__)
        clone.journals, clone.claims = dict(self.journals), dict(self.claims)
        clone.disks, clone.batches, clone.outcomes = dict(self.disks), dict(self.batches), dict(self.outcomes)
        return clone

    def writable_journal(self, replica):
        """Return a copy of the journal that may be changed."""
        old, new = self.journals[replica], object.__new__(TicketJournal)
        new.__dict__.update(old.__dict__)
        new.records, new._pending, new._writing = dict(old.records), dict(old._pending), dict(old._writing)
        new._waiters = {ticket: list(waiters) for ticket, waiters in old._waiters.items()}
        self.journals[replica] = new
        return new

    def writable_claims(self, name):
        old, new = self.claims[name], TicketClaims(1_000.0)
        new.pending = {
            nonce: tickets._PendingClaim(
                pending_claim.ticket,
                nonce,
                pending_claim.replicas,
                pending_claim.deadline,
                pending_claim.resend_at,
                dict(pending_claim.answers),
            )
            for nonce, pending_claim in old.pending.items()
        }
        new.granted = dict(old.granted)
        self.claims[name] = new
        return new

    def send(self, name, messages):
        """Add messages in transit; each is sent to all replicas."""
        self.sent |= {("release" if message.release else "claim", name) for message in messages}

    def begin(self, name):
        self.send(name, self.writable_claims(name).begin(0.0, TICKET, NONCES[name], list(REPLICAS)))

    def claim(self, name, replica, answer_received):
        status = self.writable_journal(replica).claim(UNIX, name, TICKET, NONCES[name])
        if status is None and not self.durable:
            status = TicketStatus.GRANTED
        if (
            answer_received
            and status is not None
            and (result := self.writable_claims(name).on_reply(1.0, replica, NONCES[name], status)) is not None
        ):
            self.on_outcome(name, *result)

    def release_at(self, name, replica):
        self.writable_journal(replica).release(name, TICKET, NONCES[name])

    def on_outcome(self, name, outcome, messages):
        self.outcomes[name] = outcome
        self.send(name, messages)

    def write(self, replica):
        self.batches[replica] = tuple((self.writable_journal(replica).next_batch() or {}).items())
        if not self.split_writes:
            self.on_written(replica)

    def on_written(self, replica):
        disk = {**self.disks[replica], **dict(self.batches[replica])}
        self.disks[replica] = {key: value for key, value in disk.items() if value is not None}
        self.batches[replica] = None
        self.writable_journal(replica).on_batch_written(True)

    def lose_power(self, replica, store_lost):
        self.power_losses -= 1
        if store_lost:
            self.disks[replica] = {}
        self.batches[replica] = None
        self.journals[replica] = TicketJournal(self.disks[replica].items(), 1e6, UNIX, store_lost and self.cooldown)

    def time_out(self, name):
        messages, ended = self.writable_claims(name).tick(1_000.0)
        self.on_outcome(name, ended[0][1], messages)

    def end_load(self, name, ran):
        self.outcomes[name] = "ran" if ran else "refused"
        self.runs += (name,) * ran
        self.send(name, self.writable_claims(name).on_load_ended(2.0, NONCES[name], ran))


def state_key(model):
    """Return the state that distinguishes two models, regardless of the order of the replicas."""

    def replica_state(replica):
        journal = model.journals[replica]
        return tuple(str(table.get(TICKET)) for table in (journal.records, journal._pending, journal._writing)) + (
            TICKET in journal._pending,
            TICKET in journal._writing,
            journal.cooldown_until_ms > UNIX,
            str(model.disks[replica]),
            str(model.batches[replica]),
            *(
                claims.pending[NONCES[name]].answers.get(replica, -1) if claims.pending else -2
                for name, claims in model.claims.items()
            ),
        )

    return (
        *sorted(replica_state(replica) for replica in REPLICAS),
        model.sent,
        tuple(sorted(model.outcomes.items())),
        tuple(sorted(model.runs)),
        model.power_losses,
    )


def steps(model):
    def step(label, change, *args):
        change(copy_ := model.copy(), *args)
        return label, copy_

    for kind, name in sorted(model.sent):
        for replica in REPLICAS:
            record = model.journals[replica].records.get(TICKET)
            if kind == "release":
                if record is not None and record.claimant == name:  # otherwise a release has no effect
                    yield step("release", Model.release_at, name, replica)
            else:
                if record is None and not model.journals[replica].in_cooldown(UNIX):
                    yield step("claim", Model.claim, name, replica, False)
                if NONCES[name] in model.claims[name].pending:
                    yield step("answer", Model.claim, name, replica, True)
    for replica in REPLICAS:
        if model.batches[replica] is not None:
            yield step("written", Model.on_written, replica)
        elif model.journals[replica]._pending:
            yield step("write", Model.write, replica)
        if model.power_losses:
            yield step("loss", Model.lose_power, replica, False)
            yield step("lost-store", Model.lose_power, replica, True)
    if "b" not in model.outcomes and not model.claims["b"].pending:
        yield step("begin", Model.begin, "b")  # the client repeats the load at the other coordinator
    for name in NONCES:
        if model.claims[name].pending:
            yield step("timeout", Model.time_out, name)
        if model.outcomes.get(name) == ClaimOutcome.GRANTED:
            yield step("ran", Model.end_load, name, True)
            yield step("refused", Model.end_load, name, False)


def ran_twice(model):
    return f"it ran at {model.runs}" if len(model.runs) > 1 else None


def test_no_interleaving_of_two_claims_power_loss_and_releases_runs_a_load_twice():
    result = explore(Model(), steps, ran_twice, 400_000, key=state_key)
    assert result.holds, str(result)
    assert all(
        result.labels[label]
        for label in ("claim", "answer", "release", "write", "loss", "lost-store", "timeout", "ran", "refused", "begin")
    ), result.labels


@pytest.mark.parametrize("disabled", ["cooldown", "durable"])
def test_without_cooldown_or_durable_records_a_second_run_is_found(disabled):
    result = explore(Model(**{disabled: False}), steps, ran_twice, 400_000, key=state_key)
    assert result.fault is not None and result.trace is not None, str(result)
