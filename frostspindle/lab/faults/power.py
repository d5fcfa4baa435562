"""Five coordinators lose power together, engines too, and their clients come back all at once: a run on real sockets.

Owns what happens, the stand-in engines that hold real rows, and the figures of a run, from logs, rows and answers.
It must never judge by what a coordinator says of itself where engines or clients can tell.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
import sqlite3
import time
from typing import Any

from frostspindle.lab.engines import Engine, EngineConnection, host
from frostspindle.lab.faults.runner import Fleet, compute_overspend
from frostspindle.lab.faults.script import parse
from frostspindle.policy.slow_start import SLOW_START_SAFETY

TENANTS = '[[tenant]]\nname = "blue"\n[[tenant.rule]]\nheader = "X-Team=blue"\n'
UNITS = 100
FLEET = (
    "cold = true\nlease_ms = 2000\nprobe_ms = 400\ntimeout_ms = 120\njudges = 2\nverdict_ms = 3000\n"
    f'[[fleet.budget]]\nname = "blue"\nunits = {UNITS}\ntenant = "blue"\n'
)
RECOVERY = (
    '[recovery]\nfolder = "FOLDER/store"\nwitness = "FOLDER/witness"\nfirst_start = true\n'
    "store_ms = 60000\nservice_ms = 3000\n"
)  # a store that opens late on a busy machine is believed less
COST_MS, BY_MODULE = 200.0, 260.0  # as a client says it; as the module counts what it has not measured
WARM_MS = 120_000.0  # engines are cold for as long as a busy machine takes
RULES = {
    "stopSendingWithin": 250.0,
    "startCapacity": 0.3,
    "warmWithin": WARM_MS,
    "fall": 1000.0,
    "tipMultiple": 4.0,
    "answerSlack": 20.0,
}
WAIT_S = 180.0  # for what takes 10 s on a quiet machine: a busy one is slow, and only what never comes is stuck
STAGES = ["address", "find", "agree", "rights", "engines", "service", "open"]


class SqliteEngine(Engine):
    """An engine that runs each statement on its own sqlite3 rows as soon as it takes it. A loss of power drops its
    results; its rows and the record of what it was sent stay."""

    def __init__(self, name: str, delay_s: float = 0.0, cores: int = 0) -> None:
        super().__init__(name, delay_s, cores)
        self.rows = sqlite3.connect(":memory:", isolation_level=None)
        self.rows.execute("CREATE TABLE loaded (id INTEGER)")
        self.keep, self.dark = True, False

    def call(
        self, line: EngineConnection, method: bytes, url: bytes, fields: dict[bytes, bytes], body: bytes, first: float
    ) -> None:
        """Serve a request, or abort its connection while the engine is without power (`dark`)."""
        if self.dark:
            line.transport.abort()
        else:
            super().call(line, method, url, fields, body, first)

    def _take(self, ticket: str, statement: str) -> None:
        self.rows.execute(statement)
        super()._take(ticket, statement)

    def lose_power(self) -> None:
        """Drop all results and connections, and abort those of later requests until `dark` is False. Rows stay."""
        self.dark = True
        self.results.clear()
        for line in list(self.lines):
            line.transport.abort()


class Client:
    """One caller. After a broken connection, or 12 s without an answer, a query comes again; after a refusal once
    the advised wait is over."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.finals: dict[int, list[int]] = {}  # by id: its final answers
        self.broken = 0

    async def once(self, port: int, cls: str, number: int, statement: str) -> tuple[int, float]:
        """Send one request; return its final HTTP status and its Retry-After-Ms (200 ms if it has none). OSError or
        asyncio.IncompleteReadError if the connection breaks, TimeoutError after 12 s."""
        head, path = b"", ""
        async with asyncio.timeout(12.0):  # of 6 s of deadline: what takes longer is stuck
            while True:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                try:
                    text = (
                        f"GET {path} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n"
                        if path
                        else f"POST /call/{cls} HTTP/1.1\r\nHost: f\r\nX-Request-Id: {number:016x}\r\nX-Team: blue\r\n"
                        f"X-Timeout-Ms: 6000\r\nX-Cost-Ms: {COST_MS}\r\nX-Memory: 16\r\nConnection: close\r\n"
                        f"Content-Length: {len(statement)}\r\n\r\n{statement}"
                    )
                    writer.write(text.encode())
                    head = (await reader.readuntil(b"\r\n\r\n")).lower()
                    body = await reader.read()
                finally:
                    writer.close()
                if b'"next"' not in body:
                    break
                path = body.decode().split('"next"')[1].split('"')[1]
        status = int(head.split()[1])
        self.finals.setdefault(number, []).append(status)
        wait = head.partition(b"retry-after-ms:")[2].split(b"\r\n")[0].strip()
        return status, float(wait or 200.0)

    async def served(self, port: int, number: int) -> int:
        """Send a query until it is served; return how many times it was refused."""
        tries = 0
        while True:
            try:
                status, wait_ms = await self.once(port, "lookup", number * 1_000 + tries, "SELECT 1")
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.1)
                continue
            if status == 200:
                return tries
            tries += 1
            await asyncio.sleep(wait_ms / 1e3 * self.random.uniform(1.0, 1.2))

    async def load(self, port: int, number: int) -> int | None:
        """Send a load once and return the status of its answer, None if the connection broke or no answer came in 12
        s."""
        try:
            return (await self.once(port, "load", number, f"INSERT INTO loaded VALUES ({number})"))[0]
        except (OSError, asyncio.IncompleteReadError):
            self.broken += 1
            return None


def over_budget(engine: Engine, since_ms: float) -> float:
    """Return the greatest part of a cold engine's budget that was sent to it within any one second. `since_ms`: Unix
    ms of its start; 1.0 is the whole budget."""
    times = sorted(at for at, *_ in engine.sent if at * 1e3 >= since_ms)
    worst = 0.0
    for place, at in enumerate(times):
        last = max(n for n in range(place, len(times)) if times[n] < at + 1.0)
        grown = ((times[last] * 1e3 - since_ms) / WARM_MS) ** 2
        if grown < 1.0:
            whole = SLOW_START_SAFETY[False] * 4.0 * (0.3 + 0.7 * grown) * 0.85 * 8 * 1_000.0
            worst = max(worst, (last - place + 1) * BY_MODULE / whole)
    return worst


class PowerLoss:
    """One run of the loss of power. `lost`: coordinators whose stores are gone afterwards; `older`: those that find
    a copy of the store from before the loads."""

    def __init__(self, script: str, lost: tuple[int, ...], older: tuple[int, ...], seed: int, crowd: int = 14) -> None:
        self.lost, self.older, self.seed, self.crowd = lost, older, seed, crowd
        self.client = Client(seed)
        self.fleet = Fleet(
            5, parse(script, 5), seed, FLEET, TENANTS + RECOVERY, engine=SqliteEngine, balancers=5, rules=RULES
        )
        self.first_statuses: list[int | None] = []
        self.ran: set[int] = set()  # loads of which a row was there as the power went
        self.repeats: dict[int, list[int | None]] = {}
        self.turned_away: list[int] = []
        self.born_ms = self.recovered_s = 0.0

    async def run(self) -> None:
        """Play the whole run: loads, the loss, the return of all processes and clients, and the loads once more.
        TimeoutError if a step takes longer than a busy machine needs."""
        draw, fleet, client = random.Random(self.seed), self.fleet, self.client
        await fleet.start()
        await self.stage(1, "service")
        await fleet.until(lambda all_: all(f.get("size") == 5 for f in all_), WAIT_S)
        for n in self.older:
            shutil.copytree(fleet.processes[n].folder / "store", fleet.processes[n].folder / "week")
        self.first_statuses = [await client.load(draw.choice(fleet.processes).http, n) for n in range(1, 9)]
        for engine in fleet.engines:
            engine.delay_s = 0.6  # these are out as the power goes
        posts = sum(len(e.sent) for e in fleet.engines)
        flying = [asyncio.create_task(client.load(draw.choice(fleet.processes).http, n)) for n in range(11, 17)]
        await fleet.until(lambda _: sum(len(e.sent) for e in fleet.engines) >= posts + 3, WAIT_S)

        # The power goes: coordinators and engines, within a second.
        for process in draw.sample(fleet.processes, 5):
            process.send_signal(signal.SIGKILL)
        for engine in fleet.engines:
            engine.lose_power()
        await asyncio.gather(*(process.end(signal.SIGKILL) for process in fleet.processes), *flying)
        self.ran = set(self.loaded())
        for n in self.lost:
            shutil.rmtree(fleet.processes[n].folder / "store")
        for n in self.older:
            shutil.rmtree(fleet.processes[n].folder / "store")
            (fleet.processes[n].folder / "week").rename(fleet.processes[n].folder / "store")
        for process in fleet.processes:
            file = process.folder / "operator.toml"
            file.write_text(file.read_text().replace("first_start = true\n", ""))
        fleet.begin()  # the script's time, and with it a cut
        for engine in fleet.engines:
            engine.dark, engine.delay_s = False, 0.05
        self.born_ms = time.time() * 1e3
        fleet.bus.say(*(host(e.name, e.port, born_ms=self.born_ms) for e in fleet.engines), whole=True)

        # Everybody's clients are there at once, while coordinators start over two seconds.
        crowd = [
            asyncio.create_task(client.served(process.http, 100 + 20 * process.number + n))
            for process in fleet.processes
            for n in range(self.crowd)
        ]
        for process in draw.sample(fleet.processes, 5):
            await process.start()
            await asyncio.sleep(draw.uniform(0.1, 0.5))
        began = time.monotonic()
        served = asyncio.gather(*crowd)
        served.add_done_callback(lambda _: setattr(self, "recovered_s", time.monotonic() - began))
        await self.stage(2, "service")
        numbers = (1, 2, *range(11, 17))  # each comes again, to all at once
        answers = await asyncio.gather(*(client.load(p.http, n) for n in numbers for p in fleet.processes))
        self.repeats = {n: list(answers[5 * place : 5 * place + 5]) for place, n in enumerate(numbers)}
        self.turned_away = await asyncio.wait_for(served, WAIT_S)
        await self.stage(2, "open")

    async def stage(self, life: int, stage: str) -> None:
        """Wait until all coordinators have logged this recovery stage in their process number `life`; TimeoutError
        after WAIT_S seconds."""
        await asyncio.gather(
            *(
                process.until(lambda p=process: p.events("recovery_stage_changed", stage=stage, life=life), WAIT_S)
                for process in self.fleet.processes
            )
        )

    def left_stages(self, n: int) -> list[dict[str, Any]]:
        """Return the log lines of the recovery stages that a coordinator left after the loss."""
        return self.fleet.processes[n].events("recovery_stage_changed", life=2)

    def loaded(self) -> dict[int, int]:
        """Return how often each load ran, by the rows of all engines."""
        counts: dict[int, int] = {}
        for engine in self.fleet.engines:
            assert isinstance(engine, SqliteEngine)
            for number, count in engine.rows.execute("SELECT id, COUNT(*) FROM loaded GROUP BY id"):
                counts[number] = counts.get(number, 0) + count
        return counts

    def figures(self) -> dict[str, Any]:
        """Return the figures of a finished run; any of the first five that is not zero or empty is a fault."""
        counts, finals = self.loaded(), self.client.finals
        spans = [
            (line["since"], line["until"], line["units"])
            for p in self.fleet.processes
            for line in p.events("fleet_budget_spent")
        ]
        worst = [over_budget(engine, self.born_ms) for engine in self.fleet.engines]
        return {
            "overspend": compute_overspend(spans, UNITS, 1.0),
            "cold_overruns": sum(part > 1.0 for part in worst),
            "loads_doubled": sum(count > 1 for count in counts.values()),
            "untrue": [
                n
                for n, answers in finals.items()
                if n < 100
                and (
                    200 in answers
                    and not counts.get(n)
                    or set(answers) == {503}
                    and counts.get(n)
                    or answers.count(200) > 1
                    or n in self.ran
                    and 200 in self.repeats.get(n, ())
                )
            ],
            "stuck": sum(len(answers) != 1 for n, answers in finals.items() if n >= 1_000)
            + (5 * self.crowd - len(self.turned_away)),
            "cold_use": round(max(worst), 3),
            "refused": sum(self.turned_away),
            "recovered_s": round(self.recovered_s, 2),
            "loads": len(counts),
            "served": len(self.turned_away),
            "weak": sorted({line["left"] for n in range(5) for line in self.left_stages(n) if line["weak"]}),
            "faults": [x for p in self.fleet.processes for x in p.lines if x["event"] in ("exception_caught", "text")],
        }
