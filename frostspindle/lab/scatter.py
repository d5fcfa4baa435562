"""Emulator of summaries, leases and loads of many coordinators under faults: the lease cores on a simulated network.

It simulates processes, their clocks, the sites' rows and the demand, and measures the run. An oracle scans every row:
for each query it knows which sites hold a matching row whose load was answered before the query arrived. The same
arguments give the same run. Figures use only what the program could show.
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
WIDTH = 1_000  # numbers per site
AGENT = 20  # numbers per agent
LEARN_CHECK_MS = 250.0  # interval at which homes check for summaries to learn
LOAD_MS, LEARN_MS = (2.0, 60.0), (10.0, 200.0)  # duration at an engine
LOAD_TIMEOUT_MS = 6_000.0  # a load not announced until then is refused, one not confirmed fails
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
HOME_MESSAGES = (wire.LeaseRequest, wire.UpdateAcknowledged, wire.LoadAnnounced, wire.LoadEnded, wire.ReleaseLease)


@dataclass(slots=True, eq=False)
class Row:
    """A row of a site. `landed`: an engine has run its load, so that a scan finds it."""

    site: str
    values: dict[str, Any]
    answered_at: float = math.inf  # true time of the load's answer; inf without one
    landed: bool = False


@dataclass(slots=True)
class Process:
    """One coordinator: its cores while it runs (`home`, `cache`), and its clock (`rate`, `offset` in ms)."""

    name: str
    rate: float
    offset: float
    epoch: int = 1
    home: SummaryHome | None = None
    cache: SummaryCache | None = None
    next_tick_ms: float = math.inf  # true time of its next tick
    loads: dict[int, tuple[Row, float]] = field(default_factory=dict)  # by the core's number: row, arrival time
    deferred_calls: list[Any] = field(default_factory=list)  # clients' calls that arrived while it was stopped


class Emulator:
    """One run. `queries`, `loads`: rates per second at each coordinator."""

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
        self.rates = queries, loads
        self.counted: Counter[str] = Counter()
        self.waits: list[tuple[float, float]] = []  # per load: arrival time, wait for the announcement
        self.seen: list[tuple[float, int, int]] = []  # per query: time, sites skipped, sites that could be skipped
        for n in range(count):
            self._begin(n)
            self.network.at(self.random.uniform(0.0, 1_000.0), n, "query")
            self.network.at(self.random.uniform(0.0, 1_000.0), n, "load")
            self.network.at(self.random.uniform(0.0, LEARN_CHECK_MS), n, "look")

    def _row(self, site: str) -> Row:
        """Create a row, with a number of the site's own range in 19 of 20 cases."""
        first_number = self.sites.index(site) * WIDTH
        number = (
            first_number + self.random.randrange(WIDTH)
            if self.random.random() < 0.95
            else self.random.randrange(len(self.sites) * WIDTH)
        )
        return Row(site, {"n": number, "n" + CELL_SUFFIX: number // STEP, "s": f"agent-{number // AGENT}"})

    # Processes.

    def clock(self, process: Process) -> float:
        """Return the process's own clock in ms."""
        return process.offset + self.network.now * process.rate

    def _begin(self, number: int) -> None:
        process = self.processes[number]
        own_keys = {key: COLUMNS for key, home in self.homes.items() if home == process.name}
        process.home = SummaryHome(process.epoch, self.settings, own_keys, self.clock(process))
        process.cache = SummaryCache(self.settings, self.homes)
        process.loads, process.deferred_calls, process.next_tick_ms = {}, [], math.inf

    def run(self) -> None:
        """Simulate the run until `seconds` of simulated time."""
        for _, number, event in self.network.deliver(self.seconds * 1_000.0):
            process = self.processes[number]
            if isinstance(event, tuple):
                self._receive(number, process, *event)
            elif event == "kill":
                process.epoch += 1
                process.home = process.cache = None
            elif event == "start":
                self._begin(number)
            elif event == "cont":  # calls that waited in the socket are handled before any message
                calls, process.deferred_calls = process.deferred_calls, []
                for call in calls:
                    self._handle_event(number, process, call)
                if process.home is not None:  # it was not killed meanwhile
                    self._tick(number, process)
            elif event != "stop":
                self._handle_event(number, process, event)

    def _handle_event(self, number: int, process: Process, event: Any) -> None:
        kind, _, text = event.partition(" ") if isinstance(event, str) else event
        if kind in ("query", "load") and event in ("query", "load"):
            rate = self.rates[kind == "load"]
            if rate > 0:
                self.network.at(self.network.now + self.random.expovariate(rate / 1_000.0), number, kind)
        elif event == "look":
            self.network.at(self.network.now + LEARN_CHECK_MS, number, "look")
        if process.home is None or process.cache is None:
            return
        if self.network.paused[number]:
            if len(process.deferred_calls) < 100:
                process.deferred_calls.append(_DeferredCall(kind) if event == kind else event)
            return
        if kind == "query":
            self._query(process)
        elif kind == "load":
            self._load(process)
        elif kind == "tick":
            if self.network.now < process.next_tick_ms:
                return
            self._tick(number, process)
            return
        elif kind == "look":
            self._learn(number, process)
        elif kind == "done":
            self._on_load_done(number, process, text)
        elif kind == "read":
            self._on_read(number, process, text)
        elif kind == "late":
            self._on_load_timeout(process, text)
        self._flush(number, process)

    def _tick(self, number: int, process: Process) -> None:
        assert process.home is not None and process.cache is not None
        process.next_tick_ms = math.inf
        process.home.tick(self.clock(process))
        process.cache.tick(self.clock(process))
        self._flush(number, process)

    def _flush(self, number: int, process: Process) -> None:
        home, cache = process.home, process.cache
        if home is None or cache is None:
            return
        while home.outbox or cache.outbox or cache.changed_loads:
            outgoing = home.outbox + cache.outbox
            home.outbox, cache.outbox = [], []
            changed, cache.changed_loads = cache.changed_loads, []
            for load in changed:
                self._on_load_changed(number, process, load)
            for name, data in outgoing:
                if name == process.name:
                    self._dispatch(process, process.name, process.epoch, data)
                else:  # prefixed with the epoch, which the fleet's packets carry
                    self.network.send(number, self.numbers[name], process.epoch.to_bytes(8) + data)
        next_tick = (
            min(home.next_tick_ms(self.clock(process)), cache.next_tick_ms()) - process.offset
        ) / process.rate + 1e-5
        if next_tick < process.next_tick_ms:
            process.next_tick_ms = max(next_tick, self.network.now)
            self.network.at(process.next_tick_ms, number, "tick")

    def _receive(self, number: int, process: Process, source: int, data: bytes) -> None:
        self._dispatch(process, self.processes[source].name, int.from_bytes(data[:8]), data[8:])
        self._flush(number, process)

    def _dispatch(self, process: Process, name: str, epoch: int, data: bytes) -> None:
        message = wire.decode(data)
        core = process.home if isinstance(message, HOME_MESSAGES) else process.cache
        if core is not None:
            HANDLERS[type(message)](core, self.clock(process), name, epoch, message)

    # Clients.

    def _predicate(self) -> Predicate:
        number = self.random.randrange(len(self.sites) * WIDTH)
        draw = self.random.random()
        if draw < 0.6:  # mostly a number that some site has
            if draw < 0.5 and (rows := self.rows[self.random.choice(self.sites)]):
                rows = rows[-3:] if draw < 0.2 else rows  # often a newest row, where a false skip is most likely
                number = self.random.choice(rows).values["n"]
            return compare("n", "=", number)
        if draw < 0.9:
            return with_step_cells(between("n", number, number + 20), {"n": N})
        return all_of(compare("s", "=", f"agent-{number // AGENT}"), between("n", number, number + WIDTH // 2))

    def _query(self, process: Process) -> None:
        """Decide which sites to skip, as the service does, and compare with a scan of every row."""
        assert process.cache is not None
        predicate, now = self._predicate(), self.clock(process)
        process.cache.mark_used(now, list(self.homes))
        skipped = skippable = 0
        for site in self.sites:
            summary = process.cache.summary(now, key_of(site, GROUP))
            is_skipped = summary is not None and not may_match(predicate, summary)
            matching = [row for row in self.rows[site] if row.landed and match(predicate, row.values)]
            skipped += is_skipped and not matching
            skippable += not matching
            if is_skipped and any(row.answered_at < self.network.now for row in matching):
                self.counted["false_skips"] += 1
            if summary is None:
                self.counted["without_lease"] += not matching
            self.counted["decisions"] += 1
        self.counted["queries"] += 1
        self.seen.append((self.network.now, skipped, skippable))

    def _load(self, process: Process) -> None:
        assert process.cache is not None
        row = self._row(self.random.choice(self.sites))
        now = self.clock(process)
        cells = _cells([row.values])
        load = process.cache.load(now, key_of(row.site, GROUP), 1, cells)
        self.counted["loads"] += 1
        if load is None:
            self.counted["refused"] += 1
            return
        process.loads[load.number] = row, self.network.now
        self.network.at(
            self.network.now + LOAD_TIMEOUT_MS, self.numbers[process.name], f"late {process.epoch} {load.number}"
        )

    def _on_load_changed(self, number: int, process: Process, load: Any) -> None:
        row, arrived_at = process.loads[load.number]
        if load.state == "ready":
            self.waits.append((arrived_at, self.network.now - arrived_at))
            # The engine runs the load whether or not its sender survives.
            self.rows[row.site].append(row)
            self.network.at(
                self.network.now + self.random.uniform(*LOAD_MS), number, f"done {process.epoch} {load.number}"
            )
            row.landed = self.random.random() < 0.5  # at once or, at the latest, with the answer
        elif load.state == "kept":
            row.answered_at = self.network.now
            self.counted["answered"] += 1
            del process.loads[load.number]

    def _on_load_done(self, n: int, process: Process, text: str) -> None:
        epoch, number = map(int, text.split())
        if epoch == process.epoch and number in process.loads and process.cache is not None:
            process.loads[number][0].landed = True
            if number in process.cache.loads and process.cache.loads[number].state == "ready":
                process.cache.ran(self.clock(process), number)

    def _on_load_timeout(self, process: Process, text: str) -> None:
        epoch, number = map(int, text.split())
        if epoch != process.epoch or number not in process.loads or process.cache is None:
            return
        load = process.cache.loads.get(number)
        if load is not None:
            self.counted["refused" if not load.ran and load.state == "widening" else "failed"] += 1
            process.cache.drop_load(self.clock(process), number, not load.ran and load.state == "widening")
            del process.loads[number]

    # Learning.

    def _learn(self, number: int, process: Process) -> None:
        assert process.home is not None
        for key in process.home.keys_to_learn(self.clock(process)):
            process.home.begin_learning(key)
            self.network.at(self.network.now + self.random.uniform(*LEARN_MS), number, f"read {process.epoch} {key}")

    def _on_read(self, number: int, process: Process, text: str) -> None:
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


class _DeferredCall(str):
    """A client's call that arrived while the process was stopped; it does not schedule the next call."""

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        return self is other

    __hash__ = str.__hash__


def measure(emulator: Emulator) -> dict[str, Any]:
    """Return the figures of a run.

    `pruned`: skipped sites as a part of those that the oracle would skip; it and the waits (ms) count from the time at
    which the first leases could be held. `asked_without_lease`: sites of the whole run that the oracle would skip but
    that were queried because there was no lease.
    """
    run = emulator
    measured_from = min(run.seconds * 500.0, run.settings.home_lease_ms + 1_500.0)
    counts = [(skipped, skippable) for time_ms, skipped, skippable in run.seen if time_ms >= measured_from]
    skipped, skippable = (sum(column) for column in zip(*counts, strict=True)) if counts else (0, 0)
    waits = sorted(wait for time_ms, wait in run.waits if time_ms >= measured_from)
    return {
        "nodes": len(run.processes),
        "seed": run.seed,
        "seconds": run.seconds,
        "sites": len(run.sites),
        "false_skips": run.counted["false_skips"],
        "pruned": round(skipped / skippable, 4) if skippable else None,
        "asked_without_lease": run.counted["without_lease"],
        "load_wait_ms_p99": round(waits[int(0.99 * (len(waits) - 1))], 1) if waits else None,
        "load_wait_ms_p50": round(waits[len(waits) // 2], 1) if waits else None,
        "queries": run.counted["queries"],
        "loads": run.counted["loads"],
        "answered": run.counted["answered"],
        "refused": run.counted["refused"],
        "failed": run.counted["failed"],
        "learnt": run.counted["learnt"],
        "messages": run.network.events,
    }


def drawn(count: int, seed: int, seconds: float) -> str:
    """Return a script with faults of all kinds, drawn from the seed."""
    rng = random.Random(seed)
    latest = seconds - 4.0
    statements = [
        f"0- loss {rng.choice([0.0, 0.05, 0.2, 0.3])}",
        f"0- dup {rng.choice([0.0, 0.1])}",
        f"0- reorder {rng.choice([0.0, 0.2])}",
    ]
    if count > 1:
        side = rng.randrange(1, count)
        first = rng.uniform(4.0, latest)
        statements.append(f"{first:.1f}-{first + rng.uniform(1.0, 10.0):.1f} cut 0-{side - 1}|{side}-{count - 1}")
    for _ in range(rng.randrange(1, 4)):
        node, begin = rng.randrange(count), rng.uniform(3.0, latest)
        if rng.random() < 0.5:
            statements += [f"{begin:.1f} kill {node}", f"{begin + rng.uniform(0.05, 4.0):.2f} start {node}"]
        else:
            statements += [f"{begin:.1f} stop {node}", f"{begin + rng.uniform(0.5, 8.0):.1f} cont {node}"]
    for node in range(count):
        if rng.random() < 0.4:
            statements.append(f"clock {node} {rng.choice([0.95, 1.05])}")
    return "; ".join(statements)


def play(count: int, seed: int, faults: str, seconds: float, **options: Any) -> Emulator:
    """Run an emulator to its end and return it.

    `faults`: a script, or `drawn` for one from the seed; InvalidScriptError if it can't be parsed.
    """
    script = parse(drawn(count, seed, seconds) if faults == "drawn" else faults, count)
    emulator = Emulator(count, seed, script, seconds, **options)
    emulator.run()
    return emulator


def report(emulator: Emulator, figures: dict[str, Any], folder: str) -> Path:
    """Write a page with plots of the sites skipped over time and of the loads' waits, and return its path."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    target = Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    spans: dict[int, list[int]] = {}
    for time_ms, skipped, skippable in emulator.seen:
        span = spans.setdefault(int(time_ms // 500.0), [0, 0])
        span[0] += skipped
        span[1] += skippable
    points = [
        (time_ms / 2.0, skipped_sites / skippable)
        for time_ms, (skipped_sites, skippable) in sorted(spans.items())
        if skippable
    ]
    figure, (top, bottom) = pyplot.subplots(2, 1, figsize=(8, 5), constrained_layout=True)
    top.plot(*zip(*points, strict=True))
    top.set(xlabel="s", ylabel="left out, of what could be", ylim=(0, 1.02))
    bottom.hist([wait for _, wait in emulator.waits], bins=50, log=True)
    bottom.set(xlabel="ms until a load was announced", ylabel="loads")
    figure.savefig(target / "scatter.png", dpi=110)
    pyplot.close(figure)
    page = target / "index.html"
    rows = "".join(f"<tr><td>{key}<td>{value}" for key, value in figures.items())
    page.write_text(f"<!doctype html><title>lab scatter</title><img src=scatter.png><table>{rows}</table>")
    return page
