"""A model around the lease protocol: a home, coordinators, the rows of one site and the messages in flight."""

import copy

from frostspindle.predicates import compare, may_match
from frostspindle.predicates.summaries import Summary
from frostspindle.scatter import wire
from frostspindle.scatter.leases import LoadIntent, SummaryCache, SummaryHome, SummaryLeaseSettings

KEY, HOME = "east/17", "home"
HANDLERS = {
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


def clone(core):
    """Return a copy of a core. Of its contents, only what cores change in place is copied."""
    copied = copy.copy(core)
    for name in getattr(core, "__slots__", ()) or vars(core):
        value = getattr(core, name)
        if isinstance(value, dict):
            inner = value.values()
            holds_records = next(
                (hasattr(item, "__dataclass_fields__") and type(item) is not SummaryLeaseSettings for item in inner),
                False,
            )
            setattr(
                copied, name, type(value)((key, clone(item) if holds_records else item) for key, item in value.items())
            )
        elif isinstance(value, list | set):
            setattr(copied, name, value.copy())
        elif isinstance(value, Summary):
            setattr(copied, name, copy_summary(value))
    return copied


def copy_summary(summary):
    copied = Summary(summary.columns, 0)
    copied.rows = summary.rows
    for name, column in summary.columns.items():
        target = copied.columns[name]
        for field in column.__slots__:
            setattr(target, field, getattr(column, field))
        if column.sketch is not None:
            target.sketch = column.sketch.copy()
    return copied


class World:
    """The state of the model. Time is in ms; `rates`: the speed of each process's clock, relative to it."""

    def __init__(self, names, lease_ms=2_000.0, drift=0.0, rates=(), max_in_flight=99, bits=0, has_summary=True):
        self.settings = SummaryLeaseSettings(lease_ms, drift, 1, 1e9, bits)
        self.names, self.max_in_flight, self.now = names, max_in_flight, 0.0
        self.rates = dict(rates)
        self.home, self.epoch = SummaryHome(1, self.settings, {KEY: ["n"]}, self.clock(HOME)), 1
        self.holders = {name: SummaryCache(self.settings, {KEY: HOME}) for name in names}
        self.incarnations = dict.fromkeys(names, 1)
        self.in_flight: list[tuple[str, str, int, bytes]] = []  # receiver, sender, its epoch, data
        self.rows, self.answered = set(), set()  # rows at the site; those whose loads were answered
        self.loads: dict[int, tuple[str, int, int, str]] = {}  # by row: coordinator, its incarnation, number, state
        self.scanned_rows: set[int] | None = None  # result of a scan in progress
        if has_summary:  # the state after a long time without loads
            self.now = self.settings.home_lease_ms / (1.0 - drift) + 1.0
            self.home.begin_learning(KEY)
            self.home.finish_learning(self.clock(HOME), KEY, [LoadIntent(0, {"n": []})], 0.0)

    def copy(self):
        copied = copy.copy(self)
        copied.in_flight, copied.rows, copied.answered = list(self.in_flight), set(self.rows), set(self.answered)
        copied.loads, copied.incarnations, copied.holders = (
            dict(self.loads),
            dict(self.incarnations),
            dict(self.holders),
        )
        return copied

    def writable(self, name):
        """Return a copy of a process to change, as states share the cores that they have not changed."""
        if name == HOME:
            self.home = clone(self.home)
            return self.home
        self.holders[name] = clone(self.holders[name])
        return self.holders[name]

    def clock(self, name):
        return self.now * self.rates.get(name, 1.0)

    def collect(self, name):
        core = self.home if name == HOME else self.holders[name]
        epoch = self.epoch if name == HOME else self.incarnations[name]
        for receiver, data in core.outbox:
            message = receiver, name, epoch, data
            if message not in self.in_flight:
                self.in_flight.append(message)
        del self.in_flight[: -self.max_in_flight]  # beyond this the oldest messages are lost
        core.outbox = []
        if name != HOME:
            for load in core.changed_loads:
                row = next(
                    row
                    for row, (loader, incarnation, number, _) in self.loads.items()
                    if (loader, incarnation, number) == (name, self.incarnations[name], load.number)
                )
                if load.state == "kept":
                    self.answered.add(row)
                self.loads[row] = (*self.loads[row][:3], load.state)
            core.changed_loads = []

    # Events.

    def tick(self, name):
        self.writable(name).tick(self.clock(name))
        self.collect(name)

    def deliver(self, message, is_repeat=False):
        if not is_repeat:
            self.in_flight.remove(message)
        receiver, sender, epoch, data = message
        decoded = wire.decode(data)
        core = self.writable(receiver)
        if hasattr(core, HANDLERS[type(decoded)]):
            getattr(core, HANDLERS[type(decoded)])(self.clock(receiver), sender, epoch, decoded)
        self.collect(receiver)

    def mark_used(self, name):
        self.writable(name).mark_used(self.clock(name), [KEY])

    def load(self, name, row, is_known=True):
        load = self.writable(name).load(self.clock(name), KEY, 1, {"n": [(1, str(row))]} if is_known else None)
        self.loads[row] = name, self.incarnations[name], load.number, "widening"
        self.collect(name)

    def run_at_engine(self, row):
        """The engine runs a load that is ready."""
        self.rows.add(row)
        name, incarnation, number, _ = self.loads[row]
        self.loads[row] = name, incarnation, number, "landed"

    def report_served(self, row):
        """The engine's response arrives."""
        name, incarnation, number, _ = self.loads[row]
        self.loads[row] = name, incarnation, number, "confirming"
        self.writable(name).ran(self.clock(name), number)
        self.collect(name)

    def crash(self, name):
        if name == HOME:
            self.epoch += 1
            self.home = SummaryHome(self.epoch, self.settings, {KEY: ["n"]}, self.clock(HOME))
            self.scanned_rows = None
        else:
            self.incarnations[name] += 1
            self.holders[name] = SummaryCache(self.settings, {KEY: HOME})
            self.loads = {
                row: (*load[:3], "lost") if load[0] == name and load[3] not in ("ready", "landed") else load
                for row, load in self.loads.items()
            }

    def begin_learning(self):
        self.writable(HOME).begin_learning(KEY)
        self.scanned_rows = None

    def scan_site(self):
        self.scanned_rows = set(self.rows)

    def finish_learning(self):
        intents = [LoadIntent(len(self.scanned_rows), {"n": [(1, str(row)) for row in sorted(self.scanned_rows)]})]
        self.writable(HOME).finish_learning(self.clock(HOME), KEY, intents, 0.0)
        self.scanned_rows = None
        self.collect(HOME)

    def is_process_alive(self, row):
        """Return whether the process that accepted a load is still running."""
        name, incarnation, _, _ = self.loads[row]
        return self.incarnations[name] == incarnation

    def missed_row(self):
        """Return a description of an answered row that a query now would miss at some process, or None."""
        for name, holder in self.holders.items():
            summary = holder.summary(self.clock(name), KEY)
            for row in self.answered if summary is not None else ():
                if not may_match(compare("n", "=", row), summary):
                    return f"{name} skips the site in a query for {row}, whose load was answered"
        return None
