"""Summaries, leases and loads of many coordinators under faults: the lease cores on the simulated network.

Owns the processes' lives and clocks, the sites' rows, the demand, and what is measured. The oracle scans every row: of
each query it knows which sites hold a row whose load was answered before the query was taken. The same arguments give
the same run. It must never look into a core to make a figure that the program could not show.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from frostspindle.catalogue import CELL_SUFFIX, Column, home_of, key_of
from frostspindle.lab.faults.script import Script, parse
from frostspindle.lab.network import Network
from frostspindle.predicates import Predicate, all_of, between, compare, match, may_match
from frostspindle.scatter import wire
from frostspindle.scatter.leases import LoadIntent, SummaryCache, SummaryHome, SummaryLeaseSettings
from frostspindle.scatter.plan import step_cells, with_step_cells

GROUP, STEP = 17, 5
N = Column("n", "integer", step=STEP)
COLUMNS = (N.name, N.name + CELL_SUFFIX, "s")
WIDTH = 1_000  # numbers of one site
AGENT = 20  # numbers of one agent
LOOK_MS = 250.0  # how often homes look for what to learn
LOAD_MS, LEARN_MS = (2.0, 60.0), (10.0, 200.0)  # how long an engine takes
LATE_MS = 6_000.0  # a load that could not be announced for so long is refused, one not confirmed fails
HANDLERS = {
    wire.LeaseRequest: SummaryHome.on_lease_request,
    wire.UpdateAcknowledged: SummaryHome.on_update_acknowledged,
    wire.LoadAnnounced: SummaryHome.on_load_announced,
    wire.LoadEnded: SummaryHome.on_load_ended,
    wire.ReleaseLease: SummaryHome.on_release_lease,
    wire.LeaseUnchanged: SummaryCache.on_lease_unchanged,
    wire.SummaryPiece: SummaryCache.on_summary_piece,
    wire.SummaryUpdated: SummaryCache.on_summary_updated,
    wire.LoadPermitted: SummaryCache.on_load_permitted,
    wire.LoadRecorded: SummaryCache.on_load_recorded,
}
AT_HOME = (wire.LeaseRequest, wire.UpdateAcknowledged, wire.LoadAnnounced, wire.LoadEnded, wire.ReleaseLease)


@dataclass(slots=True, eq=False)
class Row:
    """A row of a site. `landed`: an engine has run the load, so that a scan finds it."""

    site: str
    values: dict[str, Any]
    answered_at: float = math.inf  # true time; inf: nobody was told that it is there
    landed: bool = False


@dataclass(slots=True)
class Process:
    """One coordinator: its cores while it lives (`home`, `holder`), and its clock, which runs at `rate` from
    `offset` ms."""

    name: str
    rate: float
    offset: float
    epoch: int = 1
    home: SummaryHome | None = None
    holder: SummaryCache | None = None
    next_tick_ms: float = math.inf  # true time of its next turn
    loads: dict[int, tuple[Row, float]] = field(default_factory=dict)  # its core's number: what, taken when
    later: list[Any] = field(default_factory=list)  # what clients asked for while it was stopped


class Emulator:
    """One run of so many coordinators at so many sites. `queries`, `loads`: a second, at each coordinator."""

    def __init__(
        self,
        count: int,
        seed: int,
        script: Script,
        seconds: float = 30.0,
        sites: int = 4,
        queries: float = 10.0,
        loads: float = 1.0,
        rows: int = 60,
        lease_ms: float = 3_000.0,
        drift: float = 0.055,
        bits: int = 4_096,
    ) -> None:
        self.random, self.seconds, self.seed = random.Random(seed), seconds, seed
        self.network = Network(count, script, seed + 1)
        clocks = dict(script.clocks)
        self.processes = [Process(f"c{n}", clocks.get(n, 1.0), self.random.uniform(0.0, 1e6)) for n in range(count)]
        self.numbers = {process.name: n for n, process in enumerate(self.processes)}
        self.settings = SummaryLeaseSettings(lease_ms, drift, 1, 60_000.0, bits)
        self.sites = [f"s{n}" for n in range(sites)]
        self.homes = {
            key_of(site, GROUP): home_of(key_of(site, GROUP), [p.name for p in self.processes[:3]])
            for site in self.sites
        }
        self.rows: dict[str, list[Row]] = {site: [] for site in self.sites}
        for site in self.sites:
            for _ in range(rows):
                row = self._row(site)
                row.answered_at, row.landed = 0.0, True
                self.rows[site].append(row)
        self.rate = queries, loads
        self.counted: Counter[str] = Counter()
        self.waits: list[tuple[float, float]] = []  # of each load: taken when, announced so long after
        self.seen: list[tuple[float, int, int]] = []  # of each query: when, sites left out, sites that could be
        for n in range(count):
            self._begin(n)
            self.network.at(self.random.uniform(0.0, 1_000.0), n, "query")
            self.network.at(self.random.uniform(0.0, 1_000.0), n, "load")
            self.network.at(self.random.uniform(0.0, LOOK_MS), n, "look")

    def _row(self, site: str) -> Row:
        """Mostly of the site's own numbers; one in twenty beyond them."""
        base = self.sites.index(site) * WIDTH
        number = (
            base + self.random.randrange(WIDTH)
            if self.random.random() < 0.95
            else self.random.randrange(len(self.sites) * WIDTH)
        )
        return Row(site, {"n": number, "n" + CELL_SUFFIX: number // STEP, "s": f"agent-{number // AGENT}"})

    # Processes.

    def clock(self, process: Process) -> float:
        """Return the process's own clock, ms."""
        return process.offset + self.network.now * process.rate

    def _begin(self, n: int) -> None:
        process = self.processes[n]
        own = {key: COLUMNS for key, home in self.homes.items() if home == process.name}
        process.home = SummaryHome(process.epoch, self.settings, own, self.clock(process))
        process.holder = SummaryCache(self.settings, self.homes)
        process.loads, process.later, process.next_tick_ms = {}, [], math.inf

    def run(self) -> None:
        """Play the run until `seconds` of simulated time."""
        for _, n, what in self.network.deliver(self.seconds * 1_000.0):
            process = self.processes[n]
            if isinstance(what, tuple):
                self._hear(n, process, *what)
            elif what == "kill":
                process.epoch += 1
                process.home = process.holder = None
            elif what == "start":
                self._begin(n)
            elif what == "cont":  # what waited comes before any message: clients' calls lie in the socket too
                late, process.later = process.later, []
                for call in late:
                    self._do(n, process, call)
                if process.home is not None:  # not killed meanwhile
                    self._turn(n, process)
            elif what != "stop":
                self._do(n, process, what)

    def _do(self, n: int, process: Process, what: Any) -> None:
        kind, _, text = what.partition(" ") if isinstance(what, str) else what
        if kind in ("query", "load") and what in ("query", "load"):
            rate = self.rate[kind == "load"]
            if rate > 0:
                self.network.at(self.network.now + self.random.expovariate(rate / 1_000.0), n, kind)
        elif what == "look":
            self.network.at(self.network.now + LOOK_MS, n, "look")
        if process.home is None or process.holder is None:
            return
        if self.network.paused[n]:
            if len(process.later) < 100:
                process.later.append(_Late(kind) if what == kind else what)
            return
        if kind == "query":
            self._query(process)
        elif kind == "load":
            self._load(process)
        elif kind == "tick":
            if self.network.now < process.next_tick_ms:
                return
            self._turn(n, process)
            return
        elif kind == "look":
            self._learn(n, process)
        elif kind == "done":
            self._loaded(n, process, text)
        elif kind == "read":
            self._read(n, process, text)
        elif kind == "late":
            self._late(process, text)
        self._flush(n, process)

    def _turn(self, n: int, process: Process) -> None:
        assert process.home is not None and process.holder is not None
        process.next_tick_ms = math.inf
        process.home.tick(self.clock(process))
        process.holder.tick(self.clock(process))
        self._flush(n, process)

    def _flush(self, n: int, process: Process) -> None:
        home, holder = process.home, process.holder
        if home is None or holder is None:
            return
        while home.outbox or holder.outbox or holder.changed_loads:
            sending = home.outbox + holder.outbox
            home.outbox, holder.outbox = [], []
            changed, holder.changed_loads = holder.changed_loads, []
            for load in changed:
                self._moved(n, process, load)
            for name, data in sending:
                if name == process.name:
                    self._word(process, process.name, process.epoch, data)
                else:  # the epoch as the fleet's packets carry it
                    self.network.send(n, self.numbers[name], process.epoch.to_bytes(8) + data)
        at = (min(home.next_tick_ms(self.clock(process)), holder.next_tick_ms()) - process.offset) / process.rate + 1e-5
        if at < process.next_tick_ms:
            process.next_tick_ms = max(at, self.network.now)
            self.network.at(process.next_tick_ms, n, "tick")

    def _hear(self, n: int, process: Process, source: int, data: bytes) -> None:
        self._word(process, self.processes[source].name, int.from_bytes(data[:8]), data[8:])
        self._flush(n, process)

    def _word(self, process: Process, name: str, epoch: int, data: bytes) -> None:
        word = wire.decode(data)
        part = process.home if isinstance(word, AT_HOME) else process.holder
        if part is not None:
            HANDLERS[type(word)](part, self.clock(process), name, epoch, word)

    # Clients.

    def _predicate(self) -> Predicate:
        number = self.random.randrange(len(self.sites) * WIDTH)
        draw = self.random.random()
        if draw < 0.6:  # a number that some site has, mostly
            if draw < 0.5 and (rows := self.rows[self.random.choice(self.sites)]):
                rows = rows[-3:] if draw < 0.2 else rows  # often one of the newest, which is where a skip would miss
                number = self.random.choice(rows).values["n"]
            return compare("n", "=", number)
        if draw < 0.9:
            return with_step_cells(between("n", number, number + 20), {"n": N})
        return all_of(compare("s", "=", f"agent-{number // AGENT}"), between("n", number, number + WIDTH // 2))

    def _query(self, process: Process) -> None:
        """Decided as the service does; then the oracle looks at every row."""
        assert process.holder is not None
        predicate, now = self._predicate(), self.clock(process)
        process.holder.mark_used(now, list(self.homes))
        left_out = could = 0
        for site in self.sites:
            summary = process.holder.summary(now, key_of(site, GROUP))
            skips = summary is not None and not may_match(predicate, summary)
            matching = [row for row in self.rows[site] if row.landed and match(predicate, row.values)]
            left_out += skips and not matching
            could += not matching
            if skips and any(row.answered_at < self.network.now for row in matching):
                self.counted["false_skips"] += 1
            if summary is None:
                self.counted["without_lease"] += not matching
            self.counted["decisions"] += 1
        self.counted["queries"] += 1
        self.seen.append((self.network.now, left_out, could))

    def _load(self, process: Process) -> None:
        assert process.holder is not None
        row = self._row(self.random.choice(self.sites))
        now = self.clock(process)
        cells = _cells([row.values])
        load = process.holder.load(now, key_of(row.site, GROUP), 1, cells)
        self.counted["loads"] += 1
        if load is None:
            self.counted["refused"] += 1
            return
        process.loads[load.number] = row, self.network.now
        self.network.at(self.network.now + LATE_MS, self.numbers[process.name], f"late {process.epoch} {load.number}")

    def _moved(self, n: int, process: Process, load: Any) -> None:
        row, taken = process.loads[load.number]
        if load.state == "ready":
            self.waits.append((taken, self.network.now - taken))
            # The engine runs it whatever becomes of who sent it.
            self.rows[row.site].append(row)
            self.network.at(self.network.now + self.random.uniform(*LOAD_MS), n, f"done {process.epoch} {load.number}")
            row.landed = self.random.random() < 0.5  # at once, or with the answer at the latest
        elif load.state == "kept":
            row.answered_at = self.network.now
            self.counted["answered"] += 1
            del process.loads[load.number]

    def _loaded(self, n: int, process: Process, text: str) -> None:
        epoch, number = map(int, text.split())
        if epoch == process.epoch and number in process.loads and process.holder is not None:
            process.loads[number][0].landed = True
            if number in process.holder.loads and process.holder.loads[number].state == "ready":
                process.holder.ran(self.clock(process), number)

    def _late(self, process: Process, text: str) -> None:
        epoch, number = map(int, text.split())
        if epoch != process.epoch or number not in process.loads or process.holder is None:
            return
        load = process.holder.loads.get(number)
        if load is not None:
            self.counted["refused" if not load.ran and load.state == "widening" else "failed"] += 1
            process.holder.drop_load(self.clock(process), number, not load.ran and load.state == "widening")
            del process.loads[number]

    # Learning.

    def _learn(self, n: int, process: Process) -> None:
        assert process.home is not None
        for key in process.home.keys_to_learn(self.clock(process)):
            process.home.begin_learning(key)
            self.network.at(self.network.now + self.random.uniform(*LEARN_MS), n, f"read {process.epoch} {key}")

    def _read(self, n: int, process: Process, text: str) -> None:
        assert process.home is not None
        epoch, _, key = text.partition(" ")
        if int(epoch) != process.epoch:
            return
        rows = [row.values for row in self.rows[key.rpartition("/")[0]] if row.landed]
        if process.home.finish_learning(self.clock(process), key, [LoadIntent(len(rows), _cells(rows))], 500.0):
            self.counted["learnt"] += 1


def _cells(rows: list[dict[str, Any]]) -> dict[str, list[tuple[int, str]]]:
    numbers = sorted({(1, str(row["n"])) for row in rows})
    return {"n": numbers, "n" + CELL_SUFFIX: step_cells(numbers, STEP), "s": sorted({(2, row["s"]) for row in rows})}


class _Late(str):
    """A client's call that came while the process was stopped: it is not followed by another."""

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        return self is other

    __hash__ = str.__hash__


def measure(emulator: Emulator) -> dict[str, Any]:
    """Return the figures of a run. `pruned`: the part that was left out of the sites that an oracle would leave out;
    it and the waits (ms) count from when the first leases could be held. `asked_without_lease`: over the whole run,
    sites that could be left out but were asked for want of a lease."""
    e = emulator
    begin = min(e.seconds * 500.0, e.settings.home_lease_ms + 1_500.0)
    seen = [(left_out, could) for at, left_out, could in e.seen if at >= begin]
    left_out, could = (sum(column) for column in zip(*seen, strict=True)) if seen else (0, 0)
    waits = sorted(wait for at, wait in e.waits if at >= begin)
    return {
        "nodes": len(e.processes),
        "seed": e.seed,
        "seconds": e.seconds,
        "sites": len(e.sites),
        "false_skips": e.counted["false_skips"],
        "pruned": round(left_out / could, 4) if could else None,
        "asked_without_lease": e.counted["without_lease"],
        "load_wait_ms_p99": round(waits[int(0.99 * (len(waits) - 1))], 1) if waits else None,
        "load_wait_ms_p50": round(waits[len(waits) // 2], 1) if waits else None,
        "queries": e.counted["queries"],
        "loads": e.counted["loads"],
        "answered": e.counted["answered"],
        "refused": e.counted["refused"],
        "failed": e.counted["failed"],
        "learnt": e.counted["learnt"],
        "messages": e.network.events,
    }


def drawn(count: int, seed: int, seconds: float) -> str:
    """Return a script of faults of all kinds, drawn from the seed."""
    draw = random.Random(seed)
    late = seconds - 4.0
    parts = [
        f"0- loss {draw.choice([0.0, 0.05, 0.2, 0.3])}",
        f"0- dup {draw.choice([0.0, 0.1])}",
        f"0- reorder {draw.choice([0.0, 0.2])}",
    ]
    if count > 1:
        side = draw.randrange(1, count)
        first = draw.uniform(4.0, late)
        parts.append(f"{first:.1f}-{first + draw.uniform(1.0, 10.0):.1f} cut 0-{side - 1}|{side}-{count - 1}")
    for _ in range(draw.randrange(1, 4)):
        node, at = draw.randrange(count), draw.uniform(3.0, late)
        if draw.random() < 0.5:
            parts += [f"{at:.1f} kill {node}", f"{at + draw.uniform(0.05, 4.0):.2f} start {node}"]
        else:
            parts += [f"{at:.1f} stop {node}", f"{at + draw.uniform(0.5, 8.0):.1f} cont {node}"]
    for node in range(count):
        if draw.random() < 0.4:
            parts.append(f"clock {node} {draw.choice([0.95, 1.05])}")
    return "; ".join(parts)


def play(count: int, seed: int, faults: str, seconds: float, **kw: Any) -> Emulator:
    """Play one run and return it. `faults`: a script, or `drawn` for one from the seed; BadScript if it can't be
    read."""
    script = parse(drawn(count, seed, seconds) if faults == "drawn" else faults, count)
    emulator = Emulator(count, seed, script, seconds, **kw)
    emulator.run()
    return emulator


def report(emulator: Emulator, figures: dict[str, Any], folder: str) -> Path:
    """Write a page with plots of the sites left out over time and of the loads' waits, and return its path."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    target = Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    spans: dict[int, list[int]] = {}
    for at, left_out, could in emulator.seen:
        span = spans.setdefault(int(at // 500.0), [0, 0])
        span[0] += left_out
        span[1] += could
    shown = [(at / 2.0, out / could) for at, (out, could) in sorted(spans.items()) if could]
    figure, (top, bottom) = pyplot.subplots(2, 1, figsize=(8, 5), constrained_layout=True)
    top.plot(*zip(*shown, strict=True))
    top.set(xlabel="s", ylabel="left out, of what could be", ylim=(0, 1.02))
    bottom.hist([wait for _, wait in emulator.waits], bins=50, log=True)
    bottom.set(xlabel="ms until a load was announced", ylabel="loads")
    figure.savefig(target / "scatter.png", dpi=110)
    pyplot.close(figure)
    page = target / "index.html"
    rows = "".join(f"<tr><td>{key}<td>{value}" for key, value in figures.items())
    page.write_text(f"<!doctype html><title>lab scatter</title><img src=scatter.png><table>{rows}</table>")
    return page
