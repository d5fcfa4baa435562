"""What one coordinator decides about leases: which tasks it stands for, when it asks, renews and gives up.

Owns what this process holds and until when, by its own clock, and how long it has watched the rows of others. It must
never do I/O or read a clock, never count a lease beyond `asked + duration` less the drift, never ask for another's task
before that lease is over for certain, and never take credit for time that it did not watch.

The clock is the process's own and monotonic (ms), and need not agree with anybody's. Of its rate it must hold that it
is within `drift` of true time. With D the duration, d the drift:

    the holder stops at  asked + D(1 - d)         on its clock, asked: before the command was proposed
    a candidate asks at  applied + D(1+d)/(1-d) + PATIENCE_MS     on its clock, applied: the last grant or renewal here

The command is applied anywhere only after it was asked, so the holder's end is before the candidate's ask in true time,
whoever's clock is the faster. A candidate that was late to apply waits longer, and a take is a compare-and-set on the
row that was seen, so a renewal that it did not see refuses it.

Clocks that jump: between two looks a candidate counts PATIENCE_MS at most and nothing for a step back, so that one jump
can't shorten its wait by more than the PATIENCE_MS that it waits besides; to a holder a step back, or one greater than
`step_ms`, ends all its leases until they are renewed. (Also true of a process that was stopped: it finds out late, and
what it sends before it looks is for the receivers' fences.)

Evening out. Who holds too little says so by a bid, a take of a held task as if it were free: the table refuses it while
the task is held, and all read it in the log. The holder gives the task up if it holds more than the bidder by a margin
(`margin_of`), has renewed it KEEP_RENEWALS times, and has given no more than MOST_MOVES in this lease; the bidder takes
what falls free by it at once. Each move brings the two nearer by more than the next could undo, so none goes back, and
no task is let go of for which nobody else stands. Safety is untouched: a row is gone only after its holder has stopped.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from frostspindle.ownership import lease_table
from frostspindle.ownership.lease_table import NONE, CommandResult, LeaseTable, RenewLeases

PATIENCE_MS = 100.0  # of watching, at most between two looks
SPREAD_PART, SPREAD_MS = 0.1, 300.0  # who asks first: spread over a part of the lease, at most so long
TURN_PART = 0.5  # of the spread, for a turn of 1
LOAD = 4.0  # spreads, for as many tasks more than the mean of those who hold any as the mean; one lease at most
MOST_TAKES = 64  # of one ask: when many fall free, all who stand come to their turn
RENEW_PART = 1.0 / 3.0
BACK_MS, BACK_MOST_MS = 50.0, 2_000.0
REST_LEASES = 2.0  # what an operator released is not asked for here for so long
MARGIN, MARGIN_PART = 2.0, 0.1  # who holds more than another by this, or this part of the mean, gives
MOST_MOVES = 16  # bids of one ask, an ask of them a lease, and gifts a lease
KEEP_RENEWALS = 9  # what was renewed less often is kept, and not bid for: about three leases
MOST_BID_LEASES = 8.0
GIVEN_SPREADS = 4.0  # what was given is not asked for here for so long
OPEN_ASKS = 16  # numbers of asks whose outcome may still come, remembered with when they were asked


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """Terms of the leases, times in ms; all coordinators must have them alike, but for `spread_ms` and `step_ms`."""

    lease_ms: int = 3_000
    drift: float = 0.01
    spread_ms: float = 0.0  # 0: by the lease

    @property
    def spread(self) -> float:
        """Time in ms over which candidates spread their asks, so that not all take a free task at once."""
        return self.spread_ms or min(SPREAD_MS, SPREAD_PART * self.lease_ms)

    @property
    def step_ms(self) -> float:
        """Step of the clock in ms; a greater one between two looks ends all own leases until they are renewed."""
        return self.lease_ms / 2.0

    @property
    def within_ms(self) -> float:
        """Time limit of one command on the log, in ms."""
        return self.lease_ms * RENEW_PART


def end_of(asked: float, duration_ms: float, drift: float) -> float:
    """Return until when a holder counts a lease asked for at `asked`, in ms of its own clock."""
    return asked + duration_ms * (1.0 - drift)


def wait_of(duration_ms: float, drift: float) -> float:
    """Return how long a candidate must watch an unchanged row before it may take the task, in ms."""
    return duration_ms * (1.0 + drift) / (1.0 - drift) + PATIENCE_MS


def margin_of(tasks: int, holders: int) -> float:
    """Return by how many tasks two holders may differ before tasks are moved: a part of the mean, at least MARGIN."""
    return max(MARGIN, MARGIN_PART * tasks / max(1, holders))


def draw(task: str, holder: str) -> float:
    """Return a number within (0, 1), evenly distributed over pairs of task and holder and the same everywhere."""
    return (int.from_bytes(blake2b(f"{task}\0{holder}".encode(), digest_size=7).digest(), "big") + 1) / (2**56 + 1)


def turn(task: str, holder: str, weight: float) -> float:
    """Return a candidate's rank for a task; the candidate with the smallest should have it.

    Weighted rendezvous hashing, as an exponential race (the least of exponentials with rates w is the i-th with
    probability w_i / sum w).
    """
    return -math.log(draw(task, holder)) / weight


@dataclass(slots=True)
class ObservedRow:
    """The version of a row, and since when this process has watched it unchanged."""

    version: tuple[int, int]
    since: float  # on the clock of patience


@dataclass(slots=True)
class HeldLease:
    """A lease granted to this process; times in ms of its own clock."""

    token: int
    asked: float
    end: float  # -inf: over until it is renewed
    told: bool = False  # those who work were told of it, and not yet of its end


@dataclass(slots=True)
class LeaseChanged:
    """A lease that was got or lost, for those who work under it."""

    task: str
    token: int
    held: bool
    why: str = ""
    at: float = 0.0  # from when it was held, or until when, on the own clock


@dataclass(slots=True)
class PendingCommand:
    """The one command that is under way."""

    number: int
    asked: float


@dataclass(slots=True)
class Backoff:
    """Exponential backoff with jitter after asks that failed, in ms."""

    until: float = -math.inf
    times: int = 0

    def fail(self, now: float, rng: random.Random, most_ms: float) -> None:
        """Note a failure at `now`: wait from BACK_MS up, doubled with each, `most_ms` at most, times 0.5 to 1."""
        self.times = min(self.times + 1, 10)
        self.until = now + min(most_ms, BACK_MS * 2.0 ** (self.times - 1)) * rng.uniform(0.5, 1.0)

    def well(self) -> None:
        """Note a success: the wait ends and begins anew with the shortest."""
        self.until, self.times = -math.inf, 0


class LeaseHolder:
    """One process's decisions about leases. `leases`: its copy of the table, already changed when `told` is called."""

    def __init__(self, name: str, life: int, terms: LeaseSettings, leases: LeaseTable, seed: int, now: float) -> None:
        self.name, self.life, self.terms, self.table = name, life, terms, leases
        self.wants: dict[str, float] = {}  # by task its turn here: the smallest of all candidates' should have it
        self.own: dict[str, HeldLease] = {}
        self.rng = random.Random(seed)
        self.number = 0
        self.pending: PendingCommand | None = None
        self.turned: list[LeaseChanged] = []  # for the service, which empties it
        self.counts: Counter[str] = Counter()
        self._asked: dict[int, float] = {}
        self._watched: dict[str, ObservedRow] = {}
        self._drops: dict[str, int] = {}
        self._rests: dict[str, float] = {}  # on the clock of patience
        self._back, self._shy = Backoff(), Backoff()  # of the log; of takes that others were faster at
        self._now, self._patience = now, 0.0
        self._stood, self._settled = False, 0.0  # who begins to stand waits for others that do, once
        self.weights: dict[str, float] = {}
        self._bid: set[str] = set()  # tasks of others that this process asked for last, by this number
        self._bid_number = -1
        self._next_bid, self._bid_leases = 0.0, 1.0  # when again, and after how many leases the next time
        self._gifts, self._gifts_from = 0, -math.inf
        self._next_take = math.inf  # on the clock of patience: nothing is to be taken before
        self._renew_part = RENEW_PART * self.rng.uniform(0.8, 1.0)
        self._leaving = False
        # A process whose commands reach the log and that does not hear of it must not keep others out by renewing what
        # it can't hold: after an outcome that is uncertain it renews what is over, and takes, only once it has heard
        # the log again; an empty ask finds that out.
        self._deaf = False
        for task in leases.rows:
            self._watch(task)

    # The clock.

    def look(self, now: float) -> None:
        """Advance the clock to `now` (ms) and give up leases that are over; call it often, and before using a lease."""
        self._clock(now)
        for task, own in self.own.items():
            if own.told and now >= own.end:
                self._lose(task, own, "over")

    def _clock(self, now: float) -> None:
        before, step = self._now, now - self._now
        self._now = now
        self._patience += min(max(step, 0.0), PATIENCE_MS)
        if 0.0 <= step <= self.terms.step_ms:
            return
        self.counts["clock_steps"] += 1
        for task, own in self.own.items():
            own.end = min(own.end, before)
            self._lose(task, own, "the clock stepped")
            own.end = -math.inf
        if step < 0.0:  # what was asked before, by a clock that has gone back since, proves nothing
            self._asked.clear()
            self._back.until, self._shy.until = (min(b.until, now + BACK_MOST_MS) for b in (self._back, self._shy))

    def holds(self, task: str, token: int, now: float) -> bool:
        """Return whether the task's lease is held under this token at `now`, in ms; asked before each send.

        A lease that is over is given up here, not only at the next `look`.
        """
        self._clock(now)
        own = self.own.get(task)
        if own is None or own.token != token:
            return False
        if now >= own.end:
            self._lose(task, own, "over")
        return now < own.end

    def _lose(self, task: str, own: HeldLease, why: str) -> None:
        if own.told:
            own.told = False
            self.turned.append(LeaseChanged(task, own.token, False, why, min(self._now, own.end)))

    # Wishes.

    def want(self, task: str, weight: float) -> None:
        """Stand for a task from now on, or with another weight; the lease follows by way of `ask`.

        ValueError: more than MOST_TASKS tasks, or a weight outside (0, 1e6].
        """
        if task not in self.wants and len(self.wants) >= lease_table.MOST_TASKS:
            raise ValueError(f"{lease_table.MOST_TASKS} tasks at most")
        if not 0.0 < weight <= 1e6:
            raise ValueError(f"a weight above 0 and up to a million: {weight!r}")
        self.wants[task], self.weights[task] = turn(task, self.name, weight), weight
        self._watch(task)
        self._next_take = min(self._next_take, self._patience)

    def unwant(self, task: str) -> None:
        """Stand for a task no longer; its lease ends here at once and is released with the next command."""
        self.wants.pop(task, None)
        if task in self.own:
            self._drop(task)

    def leave(self) -> bytes:
        """End all own leases and return the process's last command, which releases them in the table."""
        self._leaving = True
        for task in list(self.own):
            self._drop(task)
        self.number += 1
        return lease_table.encode(lease_table.ReleaseAll(self.name, self.life, self.number))

    def force(self, task: str) -> bytes | None:
        """Return the command of an operator's release of a task; None: nobody holds it."""
        row = self.table.rows.get(task)
        if row is None:
            return None
        self.number += 1
        return lease_table.encode(lease_table.ForceRelease(self.name, self.life, self.number, task, row.token))

    def _drop(self, task: str, why: str = "released") -> None:
        own = self.own.pop(task)
        self._lose(task, own, why)
        self._drops[task] = own.token

    # What the log says.

    def told(self, now: float, command: bytes, result: bytes) -> None:
        """Take in an entry that was applied to the table; an empty command stands for a whole state (a snapshot)."""
        self.look(now)
        self._deaf = False
        found = lease_table.read(command) if command else None
        changed = lease_table.tasks(found) if found is not None else None
        if command and found is None:
            return
        if isinstance(found, RenewLeases) and (found.holder, found.life) == (self.name, self.life):
            self._answered(found, lease_table.said(result))
        elif isinstance(found, RenewLeases):
            self._bidden(found, lease_table.said(result))
        for task in list({**self._watched, **self.table.rows, **self.own}) if changed is None else changed:
            self._seen(task)

    def _answered(self, ask: RenewLeases, said: CommandResult) -> None:
        """Our own ask has come to be, maybe long after we gave its outcome up."""
        asked = self._asked.pop(ask.number, None)
        if said.reason:
            return
        for (task, _, _), done in zip(ask.takes, said.takes, strict=True):
            row = self.table.rows.get(task)
            self.counts["takes" if done else "takes_refused" if ask.number != self._bid_number else "bids"] += 1
            if done and row is not None:
                self.own[task] = HeldLease(row.token, 0.0 if asked is None else asked, -math.inf)
                self._extend(task, row.token, ask, asked)
            if done and task in self._bid:
                self._bid.discard(task)
                self._bid_leases = 1.0
            if task in self.own and (task not in self.wants or self._leaving):
                self._drop(task)
        for (task, token), done in zip(ask.renews, said.renews, strict=True):
            self.counts["renewals" if done else "renewals_refused"] += 1
            if done:
                self._extend(task, token, ask, asked)
        if ask.takes and all(said.takes):
            self._shy.well()
        elif 2 * sum(said.takes) < len(ask.takes) and ask.number != self._bid_number:
            # Others were faster, or the table is full. Once an ask: counted by tasks, one ask would last for seconds.
            self._shy.fail(self._now, self.rng, BACK_MOST_MS)

    def _bidden(self, ask: RenewLeases, said: CommandResult) -> None:
        """Another asks for tasks that it saw held."""
        bids = [
            task
            for (task, *version), done in zip(ask.takes, said.takes, strict=False)
            if not done and tuple(version) == NONE and task in self.own
        ]
        if not bids or self._leaving:
            return
        if self._patience >= self._gifts_from + self.terms.lease_ms:
            self._gifts, self._gifts_from = 0, self._patience
        held = Counter(row.holder for row in self.table.rows.values())
        margin, theirs = margin_of(len(self.table.rows), len({*held, ask.holder})), held[ask.holder]
        for task in bids:
            weight = self.weights.get(task, 1.0)
            if (
                self._gifts < MOST_MOVES
                and len(self.own) / max(1.0, weight) - theirs >= margin
                and self.table.rows[task].renewals >= KEEP_RENEWALS
            ):
                self._drop(task, "released to even out")
                self._rests[task] = self._patience + GIVEN_SPREADS * self.terms.spread
                self._gifts, theirs = self._gifts + 1, theirs + 1
                self.counts["given"] += 1

    def _extend(self, task: str, token: int, ask: RenewLeases, asked: float | None) -> None:
        own = self.own.get(task)
        if own is None or own.token != token:
            return  # given up meanwhile: the drop is under way
        if asked is None:
            return  # nobody knows when: it is not held until a renewal of its own
        own.asked, own.end = asked, end_of(asked, ask.duration_ms, self.terms.drift)
        if self._now < own.end and not own.told:
            own.told = True
            self.turned.append(LeaseChanged(task, token, True, at=self._now))

    def _seen(self, task: str) -> None:
        self._watch(task)
        row = self.table.rows.get(task)
        own = self.own.get(task)
        if own is not None and (row is None or row.token != own.token or row.forced or row.life != self.life):
            del self.own[task]
            self._lose(task, own, "released by an operator" if row is not None and row.forced else "passed on")
            if row is not None and row.token == own.token and row.forced:
                self._drops[task] = own.token  # nothing is done under it any more: the next need not wait it out
                self._rests[task] = self._patience + REST_LEASES * self.terms.lease_ms
        if (token := self._drops.get(task)) is not None and (row is None or row.token != token):
            del self._drops[task]
        mine = row is not None and (row.holder, row.life) == (self.name, self.life)
        if mine and own is None and task not in self._drops:
            self._drops[task] = row.token  # a grant that came with a snapshot: nobody knows when it was asked for

    def _watch(self, task: str) -> None:
        version = self.table.version(task)
        known = self._watched.get(task)
        if version == NONE and task not in self.wants:
            self._watched.pop(task, None)
        elif known is None or known.version != version:
            self._watched[task] = ObservedRow(version, self._patience)
            row = self.table.rows.get(task)
            self._next_take = min(
                self._next_take,
                self._patience if row is None else self._patience + wait_of(row.duration_ms, self.terms.drift),
            )

    # What to ask.

    def ask(self, now: float, stands: bool) -> bytes | None:
        """Return the next command to propose, if one is due; its outcome must be given to `outcome`.

        `stands`: not draining, not recovering, and in touch with the log; a coordinator that does not stand takes
        nothing new. One command is under way at most.
        """
        self.look(now)
        if stands and not self._stood:
            self._settled = self._patience + self.terms.spread
            self._next_bid = max(self._next_bid, self._patience + self.terms.lease_ms)
        self._stood = stands
        if self.pending is not None or now < self._back.until or self._leaving:
            return None
        drops = list(self._drops.items())[: lease_table.MOST_ITEMS]
        renews = self._renewals(now)[: lease_table.MOST_ITEMS - len(drops)]
        room = lease_table.MOST_ITEMS - len(drops) - len(renews)
        may_take = stands and room and not self._deaf and now >= self._shy.until
        takes = self._takes()[:room] if may_take else []
        if may_take and not takes and self._patience >= self._next_bid:
            takes = self._bids()[:room]
            self._bid, self._bid_number = {task for task, _, _ in takes}, self.number + 1
        if not (drops or renews or takes) and not (self._deaf and self.wants):
            return None
        self.number += 1
        self.pending = PendingCommand(self.number, now)
        self._asked[self.number] = now
        while len(self._asked) > OPEN_ASKS:
            del self._asked[next(iter(self._asked))]
        return lease_table.encode(
            RenewLeases(self.name, self.life, self.number, self.terms.lease_ms, takes, renews, drops)
        )

    def _renewals(self, now: float) -> list[tuple[str, int]]:
        """All that are due within the next part of a lease go along with the first: one entry for many."""
        due = RENEW_PART * self.terms.lease_ms
        live = {task: own for task, own in self.own.items() if own.end > now or not self._deaf}
        if not any(
            now >= own.asked + self._renew_part * self.terms.lease_ms or own.end <= now for own in live.values()
        ):
            return []
        first = sorted(
            (own.asked if own.end > now else -math.inf, task)
            for task, own in live.items()
            if now >= own.asked + due / 2.0 or own.end <= now
        )
        return [(task, self.own[task].token) for _, task in first]

    def _takes(self) -> list[tuple[str, int, int]]:
        """Tasks whose lease is over for certain, or that are free, and whose turn it is here."""
        if self._patience < self._next_take:
            return []
        free, spread, patience, rows = [], self.terms.spread, self._patience, self.table.rows
        self._next_take = math.inf
        for task, rank in self.wants.items():
            if task in self.own or (watched := self._watched.get(task)) is None or task in self._drops:
                continue
            due = watched.since + min(spread, TURN_PART * spread * rank)
            if (row := rows.get(task)) is not None:
                due += wait_of(row.duration_ms, self.terms.drift)
            if task in self._bid and row is None:
                due = watched.since  # its holder gave it up for us
            due = max(due, self._settled + min(spread, TURN_PART * spread * rank), self._rests.get(task, -math.inf))
            if due <= patience:
                free.append((due, task, watched.version))
            else:
                self._next_take = min(self._next_take, due)
        if not free:
            return []
        self._next_take = patience  # those that are not asked for now
        held = Counter(row.holder for row in rows.values())
        mine, most = held[self.name], len({*held, self.name})
        mean = sum(held.values()) / most
        excess = mine - mean
        out = []
        for due, task, version in sorted(free):
            late = min(float(self.terms.lease_ms), max(0.0, LOAD * spread * excess / (mean + LOAD)))
            if due + late > patience or len(out) == MOST_TAKES:
                break
            out.append((task, *version))
            excess += (most - 1) / most
        return out

    def _bids(self) -> list[tuple[str, int, int]]:
        """Tasks of those who hold more than this process by the margin, as if they were free. Asked for more and more
        seldom while nothing comes of it: of one with a greater weight, or that does not hear it."""
        held = Counter(row.holder for row in self.table.rows.values())
        mine = held[self.name]
        margin, out = margin_of(len(self.table.rows), len({*held, self.name})), []
        self._next_bid = self._patience + self.terms.lease_ms * self._bid_leases * self.rng.uniform(0.8, 1.0)
        if max(held.values(), default=0) - mine < margin:
            self._bid_leases = 1.0
            return []
        for _, task in sorted((rank, task) for task, rank in self.wants.items() if task in self.table.rows):
            row = self.table.rows[task]
            if held[row.holder] - mine >= margin and row.holder != self.name and row.renewals >= KEEP_RENEWALS:
                out.append((task, *NONE))
                held[row.holder], mine = held[row.holder] - 1, mine + 1
                if len(out) == MOST_MOVES:
                    break
        if out:
            self._bid_leases = min(MOST_BID_LEASES, 2.0 * self._bid_leases)
        return out

    def outcome(self, now: float, number: int, well: bool, appended: bool | None = True) -> None:
        """Take in what became of proposing a command. `appended`: None: uncertain, False: it certainly never comes."""
        if self.pending is not None and self.pending.number == number:
            self.pending = None
        if not well:
            self.counts["uncertain" if appended is None else "unavailable"] += 1
            if appended is False:
                self._asked.pop(number, None)
            # Who holds something must not sleep over its renewal.
            self._back.fail(now, self.rng, self.terms.lease_ms / 8.0 if self.own else BACK_MOST_MS)
            self._deaf = self._deaf or appended is None
        else:
            self._back.well()
            self._deaf = False

    # For the service and operators.

    def ends(self) -> float:
        """Return the earliest end of the leases that are held, in ms of the own clock; infinity if there are none."""
        return min((own.end for own in self.own.values() if own.told), default=math.inf)

    def held(self, now: float) -> dict[str, HeldLease]:
        """Return this process's leases that are not over at `now`, by task."""
        return {task: own for task, own in self.own.items() if now < own.end}

    def left_ms(self, tasks: Iterable[str], now: float) -> dict[str, float]:
        """Return, for tasks that are held, how long this process would have to wait until it may take them, in ms."""
        out = {}
        for task in tasks:
            row, watched = self.table.rows.get(task), self._watched.get(task)
            if row is not None and watched is not None:
                out[task] = max(0.0, wait_of(row.duration_ms, self.terms.drift) - (self._patience - watched.since))
        return out
