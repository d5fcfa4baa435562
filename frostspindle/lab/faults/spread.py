"""Runs five coordinator processes under drawn faults, with scattered queries over three sites or with subscribers.

Rows are checked against the databases of the sites, and events against those that all processes published and those
that any subscriber received. Figures of the coordinators are used only where rows, responses and received lines don't
show it.
"""

from __future__ import annotations

import asyncio
import http.client
import json
import random
import time
from collections import Counter
from collections.abc import Iterable
from datetime import datetime
from typing import Any

from frostspindle.catalogue import home_of
from frostspindle.lab.faults.runner import Fleet, demand
from frostspindle.lab.faults.script import parse
from frostspindle.lab.rows import RowsEngine, Site
from frostspindle.operator_client import send_query
from frostspindle.predicates import Predicate, language, match
from frostspindle.subscriptions import cursor

COUNT = 5
PROBES = "lease_ms = 1500\nprobe_ms = 400\ntimeout_ms = 120\n"
SITES = ("east", "west", "north")
LEASE_S = 1.0  # of table summaries
SCATTER = (
    f"""[scatter]
binary = true
learn_class = "report"
learn_ms = 300
lease_ms = {LEASE_S * 1_000:.0f}
"""
    + "".join(f'[[scatter.site]]\nname = "{site}"\n' for site in SITES)
    + """[[scatter.group]]
schema = "calls_17"
tables = ["notes"]
by = ["s"]
column = [{ name = "n", type = "integer", step = 10 }, { name = "s", type = "text" }]
"""
)
# One agent of each site, as the partitioning by `by` assigns them.
AGENT = {site: next(f"a{n}" for n in range(99) if home_of(f"2a{n}", SITES) == site) for site in SITES}
ROWS_PER_SITE = 20  # at the start
CONNECTION_ERRORS = OSError, TimeoutError, http.client.HTTPException
EventId = tuple[str, int, int]  # coordinator, epoch of its process, number of the event


def draw_script(seed: int, seconds: float) -> str:
    """Draw a script with faults of all kinds from the seed.

    Loss, duplication, reordering and delay of messages last for the whole run; the other faults end within `seconds`.
    No process is both killed and stopped.
    """
    rng = random.Random(seed)
    shuffled = rng.sample(range(COUNT), COUNT)
    statements = [
        f"0- loss {rng.choice((0.0, 0.05, 0.1))}",
        f"0- dup {rng.choice((0.0, 0.1))}",
        f"0- reorder {rng.choice((0.0, 0.1, 0.2))}",
        f"0- delay 0-{rng.choice((1, 5, 20))}",
    ]

    def draw_span(max_length_s: float) -> tuple[float, float]:
        begin = rng.uniform(0.0, seconds * 0.7)
        return begin, min(seconds, begin + rng.uniform(0.4, max_length_s))

    for _ in range(rng.randint(0, 2)):
        begin, end = draw_span(4.0)
        side = rng.sample(range(COUNT), rng.randint(1, 2))
        others = ",".join(str(n) for n in range(COUNT) if n not in side)
        minority = ",".join(map(str, side))
        statements.append(
            f"{begin:.2f}-{end:.2f} "
            + rng.choice((f"cut {minority}|{others}", f"oneway {minority}>{others}", f"oneway {others}>{minority}"))
        )
    for node, kinds in zip(
        shuffled, [rng.choice((("kill", "start"), ("stop", "cont"))) for _ in range(rng.randint(1, 3))], strict=False
    ):
        begin, end = draw_span(3.0 * LEASE_S)
        statements.append(f"{begin:.2f} {kinds[0]} {node}; {end:.2f} {kinds[1]} {node}")
    return "; ".join(statements)


def unexpected_log_lines(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the log lines that are errors in any run: caught exceptions, and text that is not JSON."""
    return [line for p in fleet.processes for line in p.lines if line["event"] in ("exception_caught", "text")]


class ScatterRun:
    """Five coordinators that scatter queries over the rows of three sites, and clients that load and query."""

    def __init__(self, script: str, seed: int = 7) -> None:
        self.sites = {site: Site(site, "calls_17", {"notes": "n INTEGER, s TEXT"}) for site in SITES}
        for index, (name, site) in enumerate(self.sites.items()):
            for n in range(ROWS_PER_SITE):
                site.rows(f"INSERT INTO calls_17.notes VALUES ({1_000 * index + n}, '{AGENT[name]}')")
        self.fleet = Fleet(
            COUNT,
            parse(script, COUNT),
            seed,
            PROBES,
            SCATTER,
            zones=SITES,
            stand_ins=[RowsEngine(f"e{n}-{site}", self.sites[site]) for n in range(2) for site in SITES],
        )
        self.rng = random.Random(seed)
        self.tickets = 0
        self.sent: dict[int, str] = {}  # site of each load by its number
        self.answered: dict[int, str] = {}  # those of them with a response
        self.wrong: list[tuple[int, int, int, int, int]] = []  # process, lowest number, minimum, counted, maximum
        self.outcomes: Counter[str] = Counter()
        self.prunable: list[int] = []  # for each query served, the number of sites without a matching row

    async def call(
        self, process: int, sql: str, cls: str = "lookup", timeout_ms: float = 5_000.0
    ) -> tuple[str, list[list[str]], float]:
        """Send one request; return its outcome, its rows and the advised wait in ms.

        The outcome is `away`, without rows, if the connection is refused, breaks or times out.
        """
        self.tickets += 1
        address = f"127.0.0.1:{self.fleet.processes[process].http}"
        try:
            return await asyncio.to_thread(send_query, address, cls, sql, f"{self.tickets:016x}", timeout_ms, 5.0, 8.0)
        except CONNECTION_ERRORS:
            return "away", [], 0.0

    async def load(self, process: int, n: int, site: str, **kw: Any) -> tuple[str, list[list[str]], float]:
        """Insert one row with number `n` and the agent of the site; return the same as `call`."""
        sql = f"INSERT INTO calls_17.notes (n, s) VALUES ({n}, '{AGENT[site]}')"
        return await self.call(process, sql, "load", **kw)

    async def count(self, process: int, where: str) -> int | str:
        """Return the number of rows that match `where`, or the outcome of a query that was not served."""
        outcome, rows, _ = await self.call(process, f"SELECT COUNT(*) FROM calls_17.notes WHERE {where}")
        return int(rows[0][0]) if outcome == "served" else outcome

    async def figures(self, process: int) -> dict[str, Any]:
        """Return the response of a process's operator port to `show-scatter`."""
        return await self.fleet.processes[process].figures("show-scatter")

    async def wait_for_leases(self, among: Iterable[int] = range(COUNT)) -> None:
        """Query these processes until each holds the leases of all sites; raise TimeoutError after 40 s."""
        among = list(among)
        async with asyncio.timeout(40.0):
            while True:
                for process in among:
                    await self.count(process, "n = 5")
                figures = [await self.figures(process) for process in among]
                if all(len(each["leases"]) == len(SITES) for each in figures):
                    return
                await asyncio.sleep(0.05)

    async def client(self, process: int, until: float) -> None:
        """Send loads and queries, one after another, until `until` (time.monotonic, seconds).

        A query must return every load that was served before the query was sent, and none that was not sent by the time
        of its response.
        """
        count, rng = 0, self.rng
        while time.monotonic() < until:
            count += 1
            await asyncio.sleep(0.01)
            if rng.random() < 0.4:
                n, site = 10_000 + 1_000 * process + count, rng.choice(SITES)
                self.sent[n] = site
                outcome = (await self.load(process, n, site))[0]
                await asyncio.sleep(0.1 * (outcome == "away"))
                self.outcomes[f"loads {outcome}"] += 1
                if outcome == "served":
                    self.answered[n] = site
            elif self.answered:
                low = rng.choice(list(self.answered)) - rng.choice((0, 3))
                await self.check_count(process, low, low + 3)

    async def check_count(self, process: int, low: int, high: int) -> None:
        """Count the loaded rows numbered from `low` to `high`, and record a wrong count in `wrong`.

        A count is wrong if it is lower than the number of loads served before the query, or higher than the number sent
        by its response.
        """
        minimum = sum(low <= n <= high for n in self.answered)
        counted = await self.count(process, f"n BETWEEN {low} AND {high}")
        self.outcomes[f"queries {counted if isinstance(counted, str) else 'served'}"] += 1
        if isinstance(counted, int):
            sites = [site for n, site in self.sent.items() if low <= n <= high]
            self.prunable.append(len(SITES) - len(set(sites)))
            if not minimum <= counted <= len(sites):
                self.wrong.append((process, low, minimum, counted, len(sites)))

    def count_duplicate_rows(self) -> int:
        """Return the number of duplicate rows, which are loads that ran twice."""
        numbers = [n for site in self.sites.values() for (n,) in site.rows("SELECT n FROM calls_17.notes")]
        return len(numbers) - len(set(numbers))

    async def run(self, seconds: float) -> dict[str, Any]:
        """Play the script for `seconds`, wait until the fleet has recovered, and return the figures.

        Raise TimeoutError if it does not recover.
        """
        fleet = self.fleet
        await fleet.start()
        await self.wait_for_leases()
        fleet.begin()
        until = time.monotonic() + seconds
        await asyncio.gather(*(self.client(process, until) for process in range(COUNT)))
        assert fleet.script_task is not None
        async with asyncio.timeout(60.0):
            await fleet.script_task
        for process in fleet.processes:
            await process.until(lambda p=process: p.events("coordinator_started", life=p.lives), 60.0)
        await self.wait_for_leases()
        for process in range(COUNT):  # after the recovery each process must return all loads ever served
            await self.check_count(process, 10_000, 20_000)
        figures = [await self.figures(process) for process in range(COUNT)]
        prunable = sum(each["requests"] for each in figures) * sum(self.prunable) / len(self.prunable)
        waits = [each["load_wait_ms_p99"] for each in figures if each["load_wait_ms_p99"] is not None]
        return {
            "false_skips": sum(counted < minimum for _, _, minimum, counted, _ in self.wrong),
            "invented": sum(counted > maximum for _, _, _, counted, maximum in self.wrong),
            "loads_doubled": self.count_duplicate_rows(),
            "asked_without_lease": sum(each["without_lease"] for each in figures),
            "pruned": round(sum(each["left_out"] for each in figures) / prunable, 3),
            "load_wait_ms_p99": max(waits, default=None),
            **dict(sorted(self.outcomes.items())),
            "faults": unexpected_log_lines(fleet),
        }


class Reader:
    """One connection of a subscriber: reads lines and keeps the last cursor."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.cursor = reader, writer, ""

    @classmethod
    async def call(cls, port: int, call: str) -> Reader:
        """Connect to the operator port on loopback, send one call and return the reader.

        Raise OSError if the connection is refused.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        writer.write(call.encode() + b"\n")
        return cls(reader, writer)

    async def line(self) -> dict[str, Any]:
        """Return the next line as JSON, or as {"nak": text} if it is not a JSON object.

        The text is empty at the end of the connection. Raise TimeoutError after 10 s, OSError if the connection breaks,
        JSONDecodeError for an incomplete line.
        """
        async with asyncio.timeout(10.0):  # wait_for would swallow a cancellation that arrives together with a line
            text = (await self.reader.readline()).decode()
        line: dict[str, Any] = json.loads(text) if text.startswith("{") else {"nak": text.strip()}
        self.cursor = line.get("cursor") or line.get("ack", {}).get("cursor") or self.cursor
        return line

    async def until(self, key: str) -> Any:
        """Read lines until one has this key, and return its value.

        Raise AssertionError at a refusal, or at the end of the connection.
        """
        while key not in (line := await self.line()):
            assert "nak" not in line, line
        return line[key]


class RecordingSubscriber:
    """A subscriber that records the events and gaps received up to its last cursor.

    Lines after the last cursor of a connection are dropped, as a subscription resumes there.
    """

    def __init__(self, text: str) -> None:
        self.text, self.cursor, self.first = text, "", ""
        self.filter = language.parse(text)
        self.known: dict[EventId, bool] = {}  # whether the filter matches each event that became known
        self.events: list[tuple[str, int, int, dict[str, Any]]] = []
        self.gaps: list[tuple[str, list[int], list[int]]] = []
        self.open: dict[str, list[int]] = {}
        self.visited: list[int] = []

    def record(self, lines: list[dict[str, Any]]) -> None:
        """Record the events and gaps of these lines; a gap without an end stays open until a line with its end."""
        for line in lines:
            if "event" in line:
                self.events.append((*line["of"], line["event"]))
            elif line["gap"]["to"] is None:
                self.open[line["gap"]["maker"]] = line["gap"]["from"]
            else:
                self.open.pop(line["gap"]["maker"], None)
                self.gaps.append((line["gap"]["maker"], line["gap"]["from"], line["gap"]["to"]))

    async def read_from(self, process: Any, seconds: float) -> None:
        """Subscribe at a process, or resume from the last cursor, and read for `seconds` after the acknowledgement.

        Return earlier if the acknowledgement takes over 6 s, or if the connection breaks or is silent for 10 s. Raise
        AssertionError at a refusal other than `not yet`.
        """
        reader, pending = None, []
        self.open.clear()
        try:
            async with asyncio.timeout(6.0) as limit:  # until the acknowledgement
                reader = await Reader.call(
                    process.operator_port, f"resume {self.cursor}" if self.cursor else f"subscribe {self.text}"
                )
                while True:
                    line = await reader.line()
                    assert "nak" not in line or not line["nak"] or "not yet" in line["nak"], line
                    if not line.get("nak", "ok"):
                        return
                    if "ack" in line:
                        self.cursor = line["ack"]["cursor"]
                        self.first = self.first or self.cursor
                        self.visited.append(process.number)
                        limit.reschedule(asyncio.get_running_loop().time() + seconds)
                    elif "cursor" in line:
                        self.cursor = line["cursor"]
                        self.record(pending)
                        pending = []
                    elif "nak" not in line:
                        pending.append(line)
        except (OSError, TimeoutError, json.JSONDecodeError):
            pass
        finally:
            if reader is not None:
                reader.writer.close()

    def is_in_gap(self, publisher: str, epoch: int, number: int) -> bool:
        """Return whether a gap that was announced to the subscriber covers this event."""
        return any(name == publisher and first <= [epoch, number] <= last for name, first, last in self.gaps) or (
            publisher in self.open and self.open[publisher] <= [epoch, number]
        )

    def deliveries(self) -> Counter[EventId]:
        """Return how often each event was received."""
        return Counter((publisher, epoch, number) for publisher, epoch, number, _ in self.events)

    def disordered(self) -> int:
        """Return how many events were received out of the order of their coordinator, duplicates included."""
        last: dict[str, tuple[int, int]] = {}
        count = 0
        for publisher, epoch, number, _ in self.events:
            count += (epoch, number) <= last.get(publisher, (-1, -1))
            last[publisher] = epoch, number
        return count

    def find_missing(self, expected: Iterable[EventId]) -> tuple[list[EventId], list[EventId]]:
        """Return the expected events that are missing: those that are lost, and those that are still to come.

        An event is missing if it is newer than the first acknowledgement and was neither received nor covered by a gap.
        It is lost silently if the cursor has passed it.
        """
        received, begin, end = self.deliveries(), cursor.decode(self.first).at, cursor.decode(self.cursor).at
        missing = [
            event
            for event in expected
            if event not in received and event[1:] > begin.get(event[0], (0, 0)) and not self.is_in_gap(*event)
        ]
        lost = [event for event in missing if event[1:] <= end.get(event[0], (0, 0))]
        return lost, [event for event in missing if event not in lost]


def matches(predicate: Predicate, event: dict[str, Any]) -> bool:
    """Return whether a filter matches an event in the form that subscribers receive."""
    return match(predicate, {**event, "at": datetime.fromisoformat(event["at"])})


class SubscriptionRun:
    """Five coordinators under load, with subscribers that stay at one or move; the last one receives all events."""

    TEXTS = (
        "kind = 'answer' AND tenant = 'blue' AND outcome = 'served'",
        "kind = 'member' OR outcome <> 'served'",
        "TRUE",
    )

    def __init__(self, script: str, seed: int, fleet: str, tenants: str) -> None:
        self.fleet = Fleet(COUNT, parse(script, COUNT), seed, fleet, tenants + "[subscriptions]\n")
        self.subscribers = [RecordingSubscriber(text) for text in self.TEXTS]
        self.rng = random.Random(seed)
        self.finished, self.is_settled = asyncio.Event(), False  # is_settled: subscribers no longer move
        self.readers: list[asyncio.Task[None]] = []

    async def move(self, subscriber: RecordingSubscriber) -> None:
        """Connect a subscriber to one coordinator after another, 0.8 to 2.5 s each, until `finished`.

        Once `is_settled` is set, each connection lasts up to 120 s.
        """
        number = self.rng.randrange(COUNT)
        while not self.finished.is_set():
            number, seconds = number + 3, self.rng.uniform(0.8, 2.5)
            await subscriber.read_from(self.fleet.processes[number % COUNT], 120.0 if self.is_settled else seconds)
            await asyncio.sleep(0.1)  # a dead process refuses at once; a busy loop would starve the relay

    async def remain(self, subscriber: RecordingSubscriber) -> None:
        """Keep a subscriber connected to one coordinator until `finished`, and reconnect when a connection ends."""
        process = self.rng.choice(self.fleet.processes)
        while not self.finished.is_set():
            await subscriber.read_from(process, 120.0)
            await asyncio.sleep(0.1)

    async def run(self, seconds: float) -> dict[str, Any]:
        """Play the script for `seconds`, wait until the fleet has recovered, and return the figures.

        Raise TimeoutError if it does not recover. Events that are not received within 60 s after it are one of the
        figures.
        """
        fleet = self.fleet
        await fleet.start()
        await fleet.until(lambda all_: all(f.get("size") == COUNT for f in all_), 90.0)
        self.readers = [
            asyncio.create_task(self.remain(self.subscribers[0])),
            *(asyncio.create_task(self.move(each)) for each in self.subscribers[1:]),
        ]
        await wait_until(lambda: all(each.visited for each in self.subscribers))
        fleet.begin()
        ended = asyncio.Event()
        load = [asyncio.create_task(demand(p.http, 25.0, ended, first=p.number + 1)) for p in fleet.processes]
        await asyncio.sleep(seconds)
        ended.set()
        await asyncio.gather(*load)
        assert fleet.script_task is not None
        async with asyncio.timeout(60.0):
            await fleet.script_task
        for process in fleet.processes:  # slow on a busy machine
            await process.until(
                lambda p=process: (
                    p.events("coordinator_started", life=p.lives) and p.events("subscriptions_started", life=p.lives)
                ),
                60.0,
            )
        self.is_settled = True
        self.published = [
            (p.name, p.events("subscriptions_started")[-1]["epoch"], (await p.figures("show-subscriptions"))["made"])
            for p in fleet.processes
        ]
        for reader in self.readers:
            assert not reader.done(), reader.exception()
        try:
            await wait_until(
                lambda: not any(lost or late or each.open for each, lost, late in self.missing()), 60.0, 1.0
            )
        except TimeoutError:
            pass  # the figures show what is missing
        figures = {  # taken at once, as a subscriber that moves on may report a gap until it is acknowledged
            "lost_silently": sum(len(lost) for _, lost, _ in self.missing()),
            "not_told_in_60_s": sum(len(late) for _, _, late in self.missing()),
            "repeated": sum(sum(each.deliveries().values()) - len(each.deliveries()) for each in self.subscribers),
            "foreign": sum(not matches(each.filter, event) for each in self.subscribers for *_, event in each.events),
            "disordered": sum(each.disordered() for each in self.subscribers),
            "gaps_told": sum(len(each.gaps) + len(each.open) for each in self.subscribers),
            "gaps_open": sum(len(each.open) for each in self.subscribers),
            "told": sum(len(each.events) for each in self.subscribers),
            "moves": sum(len(each.visited) for each in self.subscribers),
        }
        counters = await asyncio.gather(*(p.figures("show-subscriptions") for p in fleet.processes))
        return figures | {
            "made": sum(count for _, _, count in self.published),
            "forwarded": sum(each["forwarded"] for each in counters),
            "forwarded_needlessly": sum(each["forwarded_needlessly"] for each in counters),
            "faults": unexpected_log_lines(fleet),
        }

    def missing(self) -> list[tuple[RecordingSubscriber, list[EventId], list[EventId]]]:
        """Return each subscriber with the events that it lost silently, and those that are still to come.

        The events expected are all that running processes have published, and those of killed processes that any
        subscriber received.
        """
        received = {
            (publisher, epoch, number): event
            for subscriber in self.subscribers
            for publisher, epoch, number, event in subscriber.events
        }
        for subscriber in self.subscribers[:-1]:
            subscriber.known.update(
                (key, matches(subscriber.filter, received[key])) for key in received.keys() - subscriber.known.keys()
            )
        published = [
            (publisher, epoch, number) for publisher, epoch, count in self.published for number in range(1, count + 1)
        ]
        return [
            *(
                (
                    subscriber,
                    *subscriber.find_missing(key for key, is_match in subscriber.known.items() if is_match),
                )
                for subscriber in self.subscribers[:-1]
            ),
            (self.subscribers[-1], *self.subscribers[-1].find_missing({*published, *received})),
        ]

    async def close(self) -> list[int | None]:
        """Stop the subscribers and end the fleet; return the exit codes."""
        self.finished.set()
        for reader in self.readers:
            reader.cancel()
        await asyncio.gather(*self.readers, return_exceptions=True)
        return await self.fleet.close()


async def wait_until(condition: Any, within_s: float = 30.0, every_s: float = 0.05) -> None:
    """Check `condition()` every `every_s` seconds until it holds; raise TimeoutError after `within_s` seconds."""
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(every_s)
