"""A small world around the lease cores: a home, coordinators, one site's rows and what is under way between them."""

import copy

from frostspindle.predicates import compare, may_match
from frostspindle.predicates.summaries import Summary
from frostspindle.scatter import wire
from frostspindle.scatter.leases import LoadIntent, SummaryCache, SummaryHome, SummaryLeaseSettings

KEY, HOME = "east/17", "home"
HEARS = {
    wire.LeaseRequest: "on_lease_request",
    wire.UpdateAcknowledged: "on_update_acknowledged",
    wire.LoadAnnounced: "on_load_announced",
    wire.LoadEnded: "on_load_ended",
    wire.ReleaseLease: "on_release_lease",
    wire.LeaseUnchanged: "on_lease_unchanged",
    wire.SummaryPiece: "on_summary_piece",
    wire.SummaryUpdated: "on_summary_updated",
    wire.LoadPermitted: "on_load_permitted",
    wire.LoadRecorded: "on_load_recorded",
}


def clone(part):
    """A core of its own to change. Of what is within, only what cores change in place is copied."""
    out = copy.copy(part)
    for name in getattr(part, "__slots__", ()) or vars(part):
        value = getattr(part, name)
        if isinstance(value, dict):
            inner = value.values()
            deep = next(
                (hasattr(one, "__dataclass_fields__") and type(one) is not SummaryLeaseSettings for one in inner), False
            )
            setattr(out, name, type(value)((key, clone(one) if deep else one) for key, one in value.items()))
        elif isinstance(value, list | set):
            setattr(out, name, value.copy())
        elif isinstance(value, Summary):
            setattr(out, name, copied(value))
    return out


def copied(summary):
    out = Summary(summary.columns, 0)
    out.rows = summary.rows
    for name, column in summary.columns.items():
        into = out.columns[name]
        for field in column.__slots__:
            setattr(into, field, getattr(column, field))
        if column.sketch is not None:
            into.sketch = column.sketch.copy()
    return out


class World:
    """True time in ms; `rates`: how much faster each process's clock runs."""

    def __init__(self, names, lease_ms=2_000.0, drift=0.0, rates=(), most=99, bits=0, learnt=True):
        self.settings = SummaryLeaseSettings(lease_ms, drift, 1, 1e9, bits)
        self.names, self.most, self.now = names, most, 0.0
        self.rates = dict(rates)
        self.home, self.epoch = SummaryHome(1, self.settings, {KEY: ["n"]}, self.clock(HOME)), 1
        self.holders = {name: SummaryCache(self.settings, {KEY: HOME}) for name in names}
        self.lives = dict.fromkeys(names, 1)
        self.wire: list[tuple[str, str, int, bytes]] = []  # to, from, its epoch, what
        self.rows, self.answered = set(), set()  # at the site; loads that were answered
        self.loads: dict[int, tuple[str, int, int, str]] = {}  # by row: coordinator, its life, number, state
        self.scan: set[int] | None = None  # what a scan under way has read
        if learnt:  # as after a long time without loads
            self.now = self.settings.home_lease_ms / (1.0 - drift) + 1.0
            self.home.begin_learning(KEY)
            self.home.finish_learning(self.clock(HOME), KEY, [LoadIntent(0, {"n": []})], 0.0)

    def copy(self):
        out = copy.copy(self)
        out.wire, out.rows, out.answered = list(self.wire), set(self.rows), set(self.answered)
        out.loads, out.lives, out.holders = dict(self.loads), dict(self.lives), dict(self.holders)
        return out

    def of(self, name):
        """A process of our own to change: states share what they have not changed."""
        if name == HOME:
            self.home = clone(self.home)
            return self.home
        self.holders[name] = clone(self.holders[name])
        return self.holders[name]

    def clock(self, name):
        return self.now * self.rates.get(name, 1.0)

    def collect(self, name):
        part = self.home if name == HOME else self.holders[name]
        epoch = self.epoch if name == HOME else self.lives[name]
        for to, data in part.outbox:
            message = to, name, epoch, data
            if message not in self.wire:
                self.wire.append(message)
        del self.wire[: -self.most]  # more are not under way: the oldest is lost
        part.outbox = []
        if name != HOME:
            for load in part.changed_loads:
                row = next(
                    row
                    for row, (who, life, number, _) in self.loads.items()
                    if (who, life, number) == (name, self.lives[name], load.number)
                )
                if load.state == "kept":
                    self.answered.add(row)
                self.loads[row] = (*self.loads[row][:3], load.state)
            part.changed_loads = []

    # What can happen.

    def tick(self, name):
        self.of(name).tick(self.clock(name))
        self.collect(name)

    def deliver(self, message, again=False):
        if not again:
            self.wire.remove(message)
        to, source, epoch, data = message
        word = wire.decode(data)
        part = self.of(to)
        if hasattr(part, HEARS[type(word)]):
            getattr(part, HEARS[type(word)])(self.clock(to), source, epoch, word)
        self.collect(to)

    def mark_used(self, name):
        self.of(name).mark_used(self.clock(name), [KEY])

    def load(self, name, row, told=True):
        load = self.of(name).load(self.clock(name), KEY, 1, {"n": [(1, str(row))]} if told else None)
        self.loads[row] = name, self.lives[name], load.number, "widening"
        self.collect(name)

    def land(self, row):
        """A load that may go has run."""
        self.rows.add(row)
        name, life, number, _ = self.loads[row]
        self.loads[row] = name, life, number, "landed"

    def ran(self, row):
        """Its engine has said so."""
        name, life, number, _ = self.loads[row]
        self.loads[row] = name, life, number, "confirming"
        self.of(name).ran(self.clock(name), number)
        self.collect(name)

    def crash(self, name):
        if name == HOME:
            self.epoch += 1
            self.home = SummaryHome(self.epoch, self.settings, {KEY: ["n"]}, self.clock(HOME))
            self.scan = None
        else:
            self.lives[name] += 1
            self.holders[name] = SummaryCache(self.settings, {KEY: HOME})
            self.loads = {
                row: (*load[:3], "lost") if load[0] == name and load[3] not in ("ready", "landed") else load
                for row, load in self.loads.items()
            }

    def begin(self):
        self.of(HOME).begin_learning(KEY)
        self.scan = None

    def read(self):
        self.scan = set(self.rows)

    def learnt(self):
        told = [LoadIntent(len(self.scan), {"n": [(1, str(row)) for row in sorted(self.scan)]})]
        self.of(HOME).finish_learning(self.clock(HOME), KEY, told, 0.0)
        self.scan = None
        self.collect(HOME)

    def mine(self, row):
        """Whether the process that took a load still lives."""
        name, life, _, _ = self.loads[row]
        return self.lives[name] == life

    def missed(self):
        """What a query taken at this moment anywhere would miss."""
        for name, holder in self.holders.items():
            summary = holder.summary(self.clock(name), KEY)
            for row in self.answered if summary is not None else ():
                if not may_match(compare("n", "=", row), summary):
                    return f"{name} leaves the site out of a query for {row}, whose load was answered"
        return None
