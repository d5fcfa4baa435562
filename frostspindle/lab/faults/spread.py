"""Five coordinators under faults, asked for rows spread over sites, or subscribed to: runs on real sockets.

Owns the drawn faults, the clients and subscribers of a run, what they were told, and its judgement: rows against the
sites' own databases, events against what all processes made and what any subscriber was told of them. It must never
judge by what a coordinator says of itself where rows, answers or lines can tell.
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
LEASE_S = 1.0  # of summaries
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
# One agent of each site, as `by` places them.
AGENT = {site: next(f"a{n}" for n in range(99) if home_of(f"2a{n}", SITES) == site) for site in SITES}
ROWS = 20  # of each site at the start
BROKEN = OSError, TimeoutError, http.client.HTTPException
Number = tuple[str, int, int]  # of an event: its maker, the maker's process, the number


def draw_script(seed: int, seconds: float) -> str:
    """Return a script of faults of all kinds, drawn from the seed. All but loss, repeats, reordering and delay of
    messages are over after `seconds`, and no process is both killed and stopped."""
    draw = random.Random(seed)
    some = draw.sample(range(COUNT), COUNT)
    parts = [
        f"0- loss {draw.choice((0.0, 0.05, 0.1))}",
        f"0- dup {draw.choice((0.0, 0.1))}",
        f"0- reorder {draw.choice((0.0, 0.1, 0.2))}",
        f"0- delay 0-{draw.choice((1, 5, 20))}",
    ]

    def span(longest: float) -> tuple[float, float]:
        begin = draw.uniform(0.0, seconds * 0.7)
        return begin, min(seconds, begin + draw.uniform(0.4, longest))

    for _ in range(draw.randint(0, 2)):
        begin, end = span(4.0)
        side = draw.sample(range(COUNT), draw.randint(1, 2))
        rest = ",".join(str(n) for n in range(COUNT) if n not in side)
        few = ",".join(map(str, side))
        parts.append(
            f"{begin:.2f}-{end:.2f} "
            + draw.choice((f"cut {few}|{rest}", f"oneway {few}>{rest}", f"oneway {rest}>{few}"))
        )
    for one, kinds in zip(
        some, [draw.choice((("kill", "start"), ("stop", "cont"))) for _ in range(draw.randint(1, 3))], strict=False
    ):
        begin, end = span(3.0 * LEASE_S)
        parts.append(f"{begin:.2f} {kinds[0]} {one}; {end:.2f} {kinds[1]} {one}")
    return "; ".join(parts)


def unexpected_log_lines(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the log lines that no run may have: faults, and text that is not JSON."""
    return [line for p in fleet.processes for line in p.lines if line["event"] in ("exception_caught", "text")]


class ScatterRun:
    """Rows at three sites, five coordinators that scatter queries over them, and their clients."""

    def __init__(self, script: str, seed: int = 7) -> None:
        self.sites = {site: Site(site, "calls_17", {"notes": "n INTEGER, s TEXT"}) for site in SITES}
        for at, (site, held) in enumerate(self.sites.items()):
            for n in range(ROWS):
                held.rows(f"INSERT INTO calls_17.notes VALUES ({1_000 * at + n}, '{AGENT[site]}')")
        self.fleet = Fleet(
            COUNT,
            parse(script, COUNT),
            seed,
            PROBES,
            SCATTER,
            zones=SITES,
            stand_ins=[RowsEngine(f"e{n}-{site}", self.sites[site]) for n in range(2) for site in SITES],
        )
        self.draw = random.Random(seed)
        self.tickets = 0
        self.sent: dict[int, str] = {}  # loads by their number, and each one's site
        self.answered: dict[int, str] = {}  # of these, those that were
        self.wrong: list[tuple[int, int, int, int, int]] = []  # process, from which number, must, found, may
        self.outcomes: Counter[str] = Counter()
        self.could: list[int] = []  # of each query that was served, the sites without a row of its answer

    async def call(
        self, process: int, sql: str, cls: str = "lookup", timeout_ms: float = 5_000.0
    ) -> tuple[str, list[list[str]], float]:
        """Send one request; return how it ended, its rows and the advised wait in ms. `away`, without rows, if the
        connection is refused, breaks or times out."""
        self.tickets += 1
        at = f"127.0.0.1:{self.fleet.processes[process].http}"
        try:
            return await asyncio.to_thread(send_query, at, cls, sql, f"{self.tickets:016x}", timeout_ms, 5.0, 8.0)
        except BROKEN:
            return "away", [], 0.0

    async def load(self, process: int, n: int, site: str, **kw: Any) -> tuple[str, list[list[str]], float]:
        """Insert one row, with number `n` and the site's agent, and return as `call` does."""
        sql = f"INSERT INTO calls_17.notes (n, s) VALUES ({n}, '{AGENT[site]}')"
        return await self.call(process, sql, "load", **kw)

    async def count(self, process: int, where: str) -> int | str:
        """Return the number of rows that match `where`, or how the query ended if it was not served."""
        how, rows, _ = await self.call(process, f"SELECT COUNT(*) FROM calls_17.notes WHERE {where}")
        return int(rows[0][0]) if how == "served" else how

    async def figures(self, process: int) -> dict[str, Any]:
        """Return the answer of a process's operators' port to `show-scatter`."""
        return await self.fleet.processes[process].figures("show-scatter")

    async def wait_for_leases(self, among: Iterable[int] = range(COUNT)) -> None:
        """Query these processes until each holds the leases of all sites; TimeoutError after 40 s."""
        among = list(among)
        async with asyncio.timeout(40.0):
            while True:
                for process in among:
                    await self.count(process, "n = 5")
                figures = [await self.figures(process) for process in among]
                if all(len(one["leases"]) == len(SITES) for one in figures):
                    return
                await asyncio.sleep(0.05)

    async def client(self, process: int, until: float) -> None:
        """Send loads and queries, one after another, until `until` (time.monotonic, seconds). A query's answer must
        hold every load answered before it was sent, and no more than were sent by the time it comes."""
        at, draw = 0, self.draw
        while time.monotonic() < until:
            at += 1
            await asyncio.sleep(0.01)
            if draw.random() < 0.4:
                n, site = 10_000 + 1_000 * process + at, draw.choice(SITES)
                self.sent[n] = site
                how = (await self.load(process, n, site))[0]
                await asyncio.sleep(0.1 * (how == "away"))
                self.outcomes[f"loads {how}"] += 1
                if how == "served":
                    self.answered[n] = site
            elif self.answered:
                low = draw.choice(list(self.answered)) - draw.choice((0, 3))
                await self.judged(process, low, low + 3)

    async def judged(self, process: int, low: int, high: int) -> None:
        """Count the loaded rows numbered from `low` to `high`; add to `wrong` an answer with fewer than had been
        answered before, or more than were sent by then."""
        must = sum(low <= n <= high for n in self.answered)
        found = await self.count(process, f"n BETWEEN {low} AND {high}")
        self.outcomes[f"queries {found if isinstance(found, str) else 'served'}"] += 1
        if isinstance(found, int):
            has = [site for n, site in self.sent.items() if low <= n <= high]
            self.could.append(len(SITES) - len(set(has)))
            if not must <= found <= len(has):
                self.wrong.append((process, low, must, found, len(has)))

    def count_duplicate_rows(self) -> int:
        """Return how many rows are there more than once: loads that ran twice."""
        held = [n for site in self.sites.values() for (n,) in site.rows("SELECT n FROM calls_17.notes")]
        return len(held) - len(set(held))

    async def run(self, seconds: float) -> dict[str, Any]:
        """Play the script's faults for so many seconds, wait until all is healed, and return the figures;
        TimeoutError if it does not heal."""
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
        for process in range(COUNT):  # healed: all that was ever answered, by each
            await self.judged(process, 10_000, 20_000)
        figures = [await self.figures(process) for process in range(COUNT)]
        asked = sum(one["requests"] for one in figures) * sum(self.could) / len(self.could)
        waits = [one["load_wait_ms_p99"] for one in figures if one["load_wait_ms_p99"] is not None]
        return {
            "false_skips": sum(found < must for _, _, must, found, _ in self.wrong),
            "invented": sum(found > may for _, _, _, found, may in self.wrong),
            "loads_doubled": self.count_duplicate_rows(),
            "asked_without_lease": sum(one["without_lease"] for one in figures),
            "pruned": round(sum(one["left_out"] for one in figures) / asked, 3),
            "load_wait_ms_p99": max(waits, default=None),
            **dict(sorted(self.outcomes.items())),
            "faults": unexpected_log_lines(fleet),
        }


class Reader:
    """One connection of a subscriber: reads whole lines and keeps the last cursor."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.cursor = reader, writer, ""

    @classmethod
    async def call(cls, port: int, call: str) -> Reader:
        """Connect to the operators' port on loopback, send one call and return the reader; OSError if it is refused."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        writer.write(call.encode() + b"\n")
        return cls(reader, writer)

    async def line(self) -> dict[str, Any]:
        """Return the next line as JSON, or as {"nak": text} if it is no JSON object; the text is empty at the
        connection's end. TimeoutError after 10 s, OSError if the connection breaks, JSONDecodeError for part of a
        line."""
        async with asyncio.timeout(10.0):  # wait_for would swallow a cancellation that comes with a line
            said = (await self.reader.readline()).decode()
        line: dict[str, Any] = json.loads(said) if said.startswith("{") else {"nak": said.strip()}
        self.cursor = line.get("cursor") or line.get("ack", {}).get("cursor") or self.cursor
        return line

    async def until(self, key: str) -> Any:
        """Read lines until one has this key and return its value; AssertionError at a refusal or the connection's
        end."""
        while key not in (line := await self.line()):
            assert "nak" not in line, line
        return line[key]


class RecordingSubscriber:
    """A subscriber: what it was told up to its last cursor. Lines after the last cursor of a connection are dropped,
    as the operators' page has it."""

    def __init__(self, text: str) -> None:
        self.text, self.cursor, self.first = text, "", ""
        self.wanted = language.parse(text)
        self.right: dict[Number, bool] = {}  # whether an event is one that it asked for, as they become known
        self.events: list[tuple[str, int, int, dict[str, Any]]] = []
        self.gaps: list[tuple[str, list[int], list[int]]] = []
        self.open: dict[str, list[int]] = {}
        self.visited: list[int] = []

    def take(self, lines: list[dict[str, Any]]) -> None:
        """Record the events and gaps of these lines. A gap without an end is open until a line with its end comes."""
        for line in lines:
            if "event" in line:
                self.events.append((*line["of"], line["event"]))
            elif line["gap"]["to"] is None:
                self.open[line["gap"]["maker"]] = line["gap"]["from"]
            else:
                self.open.pop(line["gap"]["maker"], None)
                self.gaps.append((line["gap"]["maker"], line["gap"]["from"], line["gap"]["to"]))

    async def stay(self, process: Any, seconds: float) -> None:
        """Subscribe, or resume from the last cursor, at a process and read for at most so many seconds from the
        acknowledgement on; return earlier if that takes over 6 s, or the connection breaks or is silent for 10 s.
        AssertionError at a refusal other than `not yet`."""
        one, fresh = None, []
        self.open.clear()
        try:
            async with asyncio.timeout(6.0) as limit:  # to be acknowledged
                one = await Reader.call(
                    process.operator_port, f"resume {self.cursor}" if self.cursor else f"subscribe {self.text}"
                )
                while True:
                    line = await one.line()
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
                        self.take(fresh)
                        fresh = []
                    elif "nak" not in line:
                        fresh.append(line)
        except (OSError, TimeoutError, json.JSONDecodeError):
            pass
        finally:
            if one is not None:
                one.writer.close()

    def hides(self, maker: str, epoch: int, number: int) -> bool:
        """Return whether a gap that the subscriber was told of covers this event."""
        return any(name == maker and first <= [epoch, number] <= last for name, first, last in self.gaps) or (
            maker in self.open and self.open[maker] <= [epoch, number]
        )

    def numbers(self) -> Counter[Number]:
        """Return how often each event was told."""
        return Counter((maker, epoch, number) for maker, epoch, number, _ in self.events)

    def disordered(self) -> int:
        """Return how many events were told that do not come after their maker's event before; repeats are among
        them."""
        last: dict[str, tuple[int, int]] = {}
        out = 0
        for maker, epoch, number, _ in self.events:
            out += (epoch, number) <= last.get(maker, (-1, -1))
            last[maker] = epoch, number
        return out

    def owes(self, which: Iterable[Number]) -> tuple[list[Number], list[Number]]:
        """Return the events of `which` that came after the first acknowledgement and were neither told nor covered
        by a gap: those that the cursor has passed, which are lost silently, and those still to come."""
        told, begin, end = self.numbers(), cursor.decode(self.first).at, cursor.decode(self.cursor).at
        owed = [
            one for one in which if one not in told and one[1:] > begin.get(one[0], (0, 0)) and not self.hides(*one)
        ]
        lost = [one for one in owed if one[1:] <= end.get(one[0], (0, 0))]
        return lost, [one for one in owed if one not in lost]


def matches(wanted: Predicate, event: dict[str, Any]) -> bool:
    """Return whether a filter matches an event in the form in which subscribers read it."""
    return match(wanted, {**event, "at": datetime.fromisoformat(event["at"])})


class SubscriptionRun:
    """Five coordinators with demand, and subscribers that stay or move; the last of them wants everything."""

    TEXTS = (
        "kind = 'answer' AND tenant = 'blue' AND outcome = 'served'",
        "kind = 'member' OR outcome <> 'served'",
        "TRUE",
    )

    def __init__(self, script: str, seed: int, fleet: str, tenants: str) -> None:
        self.fleet = Fleet(COUNT, parse(script, COUNT), seed, fleet, tenants + "[subscriptions]\n")
        self.subscribers = [RecordingSubscriber(text) for text in self.TEXTS]
        self.draw = random.Random(seed)
        self.over, self.calm = asyncio.Event(), False  # calm: who connects stays
        self.readers: list[asyncio.Task[None]] = []

    async def move(self, one: RecordingSubscriber) -> None:
        """Keep a subscriber connected to one coordinator after another, 0.8 to 2.5 s each, until `over`; once `calm`
        is set each connection lasts up to 120 s."""
        turn = self.draw.randrange(COUNT)
        while not self.over.is_set():
            turn, seconds = turn + 3, self.draw.uniform(0.8, 2.5)
            await one.stay(self.fleet.processes[turn % COUNT], 120.0 if self.calm else seconds)
            await asyncio.sleep(0.1)  # a process that is not there says no at once, and the relay runs here

    async def remain(self, one: RecordingSubscriber) -> None:
        """Keep a subscriber connected to one coordinator until `over`, connecting again when the connection ends."""
        process = self.draw.choice(self.fleet.processes)
        while not self.over.is_set():
            await one.stay(process, 120.0)
            await asyncio.sleep(0.1)

    async def run(self, seconds: float) -> dict[str, Any]:
        """Play the script's faults for so many seconds, wait until all is healed and told, and return the figures.
        TimeoutError if it does not heal; events not told 60 s later are a figure."""
        fleet = self.fleet
        await fleet.start()
        await fleet.until(lambda all_: all(f.get("size") == COUNT for f in all_), 90.0)
        self.readers = [
            asyncio.create_task(self.remain(self.subscribers[0])),
            *(asyncio.create_task(self.move(one)) for one in self.subscribers[1:]),
        ]
        await holds(lambda: all(one.visited for one in self.subscribers))
        fleet.begin()
        ended = asyncio.Event()
        load = [asyncio.create_task(demand(p.http, 25.0, ended, first=p.number + 1)) for p in fleet.processes]
        await asyncio.sleep(seconds)
        ended.set()
        await asyncio.gather(*load)
        assert fleet.script_task is not None
        async with asyncio.timeout(60.0):
            await fleet.script_task
        for process in fleet.processes:  # on a busy machine it takes its time
            await process.until(
                lambda p=process: (
                    p.events("coordinator_started", life=p.lives) and p.events("subscriptions_started", life=p.lives)
                ),
                60.0,
            )
        self.calm = True
        self.made = [
            (p.name, p.events("subscriptions_started")[-1]["epoch"], (await p.figures("show-subscriptions"))["made"])
            for p in fleet.processes
        ]
        for reader in self.readers:
            assert not reader.done(), reader.exception()
        try:
            await holds(lambda: not any(lost or late or one.open for one, lost, late in self.owed()), 60.0, 1.0)
        except TimeoutError:
            pass  # the figures tell what is owed
        figures = {  # of this moment: who moves on may be told of a gap for as long as it takes to be acknowledged
            "lost_silently": sum(len(lost) for _, lost, _ in self.owed()),
            "not_told_in_60_s": sum(len(late) for _, _, late in self.owed()),
            "repeated": sum(sum(one.numbers().values()) - len(one.numbers()) for one in self.subscribers),
            "foreign": sum(not matches(one.wanted, event) for one in self.subscribers for *_, event in one.events),
            "disordered": sum(one.disordered() for one in self.subscribers),
            "gaps_told": sum(len(one.gaps) + len(one.open) for one in self.subscribers),
            "gaps_open": sum(len(one.open) for one in self.subscribers),
            "told": sum(len(one.events) for one in self.subscribers),
            "moves": sum(len(one.visited) for one in self.subscribers),
        }
        counted = await asyncio.gather(*(p.figures("show-subscriptions") for p in fleet.processes))
        return figures | {
            "made": sum(count for _, _, count in self.made),
            "forwarded": sum(one["forwarded"] for one in counted),
            "forwarded_needlessly": sum(one["forwarded_needlessly"] for one in counted),
            "faults": unexpected_log_lines(fleet),
        }

    def owed(self) -> list[tuple[RecordingSubscriber, list[Number], list[Number]]]:
        """Return each subscriber with the events that it lost silently and those still to come: of all that living
        processes have made, and of killed processes what any subscriber was told."""
        known = {(m, e, n): event for one in self.subscribers for m, e, n, event in one.events}
        for one in self.subscribers[:-1]:
            one.right.update((at, matches(one.wanted, known[at])) for at in known.keys() - one.right.keys())
        right = [(maker, epoch, number) for maker, epoch, count in self.made for number in range(1, count + 1)]
        return [
            *((one, *one.owes(at for at, due in one.right.items() if due)) for one in self.subscribers[:-1]),
            (self.subscribers[-1], *self.subscribers[-1].owes({*right, *known})),
        ]

    async def close(self) -> list[int | None]:
        """Stop the subscribers and end the fleet; return the exit codes."""
        self.over.set()
        for reader in self.readers:
            reader.cancel()
        await asyncio.gather(*self.readers, return_exceptions=True)
        return await self.fleet.close()


async def holds(true: Any, within_s: float = 30.0, every_s: float = 0.05) -> None:
    """Wait until `true()` holds, tried every `every_s` seconds; TimeoutError after `within_s` seconds."""
    async with asyncio.timeout(within_s):
        while not true():
            await asyncio.sleep(every_s)
