"""Runs a power loss of five coordinator processes and their engines, with a surge of clients at the restart.

The stand-in engines run statements on real rows. The figures of a run come from the rows of the engines and the
responses to clients where these show it, and only else from the log lines of the coordinators.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
import sqlite3
import time
from typing import Any

from frostspindle.lab.engines import Engine, EngineConnection, EngineRequest, host_entry
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
)  # `store_ms` is high, as a store that opens late on a busy machine is trusted less
COST_MS, UNMEASURED_COST_MS = 200.0, 260.0  # the hint of clients, and what admission counts before a measurement
WARM_MS = 120_000.0  # keeps engines cold for the whole run, even on a busy machine
RULES = {
    "stopSendingWithin": 250.0,
    "startCapacity": 0.3,
    "warmWithin": WARM_MS,
    "fall": 1000.0,
    "tipMultiple": 4.0,
    "answerSlack": 20.0,
}
WAIT_S = 180.0  # for steps of 10 s on an idle machine: a busy one is slow, and only a step that never ends is stuck
STAGES = ["address", "find", "agree", "rights", "engines", "service", "open"]


class SqliteEngine(Engine):
    """An engine that runs each statement on its own sqlite3 database at once.

    A power loss drops its results; its rows and the record of received requests persist.
    """

    def __init__(self, name: str, delay_s: float = 0.0, cores: int = 0) -> None:
        super().__init__(name, delay_s, cores)
        self.rows = sqlite3.connect(":memory:", isolation_level=None)
        self.rows.execute("CREATE TABLE loaded (id INTEGER)")
        self.keep, self.dark = True, False

    def call(self, connection: EngineConnection, request: EngineRequest) -> None:
        """Serve a request, or abort its connection while the engine has no power (`dark`)."""
        if self.dark:
            connection.transport.abort()
        else:
            super().call(connection, request)

    def _accept_query(self, ticket: str, statement: str) -> None:
        self.rows.execute(statement)
        super()._accept_query(ticket, statement)

    def lose_power(self) -> None:
        """Drop all results and connections, and abort connections until `dark` is False. Rows persist."""
        self.dark = True
        self.results.clear()
        for connection in list(self.lines):
            connection.transport.abort()


class Client:
    """A client that retries queries.

    It retries after a broken connection or 12 s without a response, and after a refusal once the advised wait is over.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.final_statuses: dict[int, list[int]] = {}  # final statuses by request id
        self.broken = 0

    async def send(self, port: int, cls: str, number: int, statement: str) -> tuple[int, float]:
        """Send one request; return its final HTTP status and its Retry-After-Ms, by default 200 ms.

        Raise OSError or asyncio.IncompleteReadError if the connection breaks, TimeoutError after 12 s.
        """
        head, path = b"", ""
        async with asyncio.timeout(12.0):  # twice the deadline of 6 s: a longer request is stuck
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
        self.final_statuses.setdefault(number, []).append(status)
        wait = head.partition(b"retry-after-ms:")[2].split(b"\r\n")[0].strip()
        return status, float(wait or 200.0)

    async def served(self, port: int, number: int) -> int:
        """Send a query until it is served; return how many times it was refused."""
        attempts = 0
        while True:
            try:
                status, wait_ms = await self.send(port, "lookup", number * 1_000 + attempts, "SELECT 1")
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.1)
                continue
            if status == 200:
                return attempts
            attempts += 1
            await asyncio.sleep(wait_ms / 1e3 * self.random.uniform(1.0, 1.2))

    async def load(self, port: int, number: int) -> int | None:
        """Send a load once and return the HTTP status.

        Return None if the connection broke, or without a response in 12 s.
        """
        try:
            return (await self.send(port, "load", number, f"INSERT INTO loaded VALUES ({number})"))[0]
        except (OSError, asyncio.IncompleteReadError):
            self.broken += 1
            return None


def peak_budget_use(engine: Engine, started_ms: float) -> float:
    """Return the largest fraction of a cold engine's budget that it was sent within one second.

    `started_ms` is the start of the engine in Unix ms; 1.0 is the full budget.
    """
    times = sorted(sent_at for sent_at, *_ in engine.sent if sent_at * 1e3 >= started_ms)
    peak = 0.0
    for first, sent_at in enumerate(times):
        last = max(index for index in range(first, len(times)) if times[index] < sent_at + 1.0)
        ramp = ((times[last] * 1e3 - started_ms) / WARM_MS) ** 2
        if ramp < 1.0:
            budget_ms = SLOW_START_SAFETY[False] * 4.0 * (0.3 + 0.7 * ramp) * 0.85 * 8 * 1_000.0
            peak = max(peak, (last - first + 1) * UNMEASURED_COST_MS / budget_ms)
    return peak


class PowerLoss:
    """One run of a power loss.

    `lost` are the coordinators whose stores are deleted by it, `older` those that restart from a copy of the store that
    was made before the loads.
    """

    def __init__(
        self, script: str, lost: tuple[int, ...], older: tuple[int, ...], seed: int, clients_per_process: int = 14
    ) -> None:
        self.lost, self.older, self.seed, self.clients_per_process = lost, older, seed, clients_per_process
        self.client = Client(seed)
        self.fleet = Fleet(
            5, parse(script, 5), seed, FLEET, TENANTS + RECOVERY, engine=SqliteEngine, balancers=5, rules=RULES
        )
        self.first_statuses: list[int | None] = []
        self.loads_before_loss: set[int] = set()  # loads whose rows were present at the power loss
        self.repeats: dict[int, list[int | None]] = {}
        self.refusals: list[int] = []  # of each query until it was served
        self.born_ms = self.recovered_s = 0.0

    async def run(self) -> None:
        """Play the run: loads, the power loss, the restart with all clients, and the same loads again.

        Raise TimeoutError if a step takes longer than WAIT_S seconds.
        """
        rng, fleet, client = random.Random(self.seed), self.fleet, self.client
        await fleet.start()
        await self.wait_for_stage(1, "service")
        await fleet.until(lambda figures: all(f.get("size") == 5 for f in figures), WAIT_S)
        for n in self.older:
            shutil.copytree(fleet.processes[n].folder / "store", fleet.processes[n].folder / "week")
        self.first_statuses = [await client.load(rng.choice(fleet.processes).http, n) for n in range(1, 9)]
        for engine in fleet.engines:
            engine.delay_s = 0.6  # these requests are in flight at the power loss
        posts = sum(len(e.sent) for e in fleet.engines)
        in_flight = [asyncio.create_task(client.load(rng.choice(fleet.processes).http, n)) for n in range(11, 17)]
        await fleet.until(lambda _: sum(len(e.sent) for e in fleet.engines) >= posts + 3, WAIT_S)

        # Coordinators and engines lose power within a second.
        for process in rng.sample(fleet.processes, 5):
            process.send_signal(signal.SIGKILL)
        for engine in fleet.engines:
            engine.lose_power()
        await asyncio.gather(*(process.end(signal.SIGKILL) for process in fleet.processes), *in_flight)
        self.loads_before_loss = set(self.loaded())
        for n in self.lost:
            shutil.rmtree(fleet.processes[n].folder / "store")
        for n in self.older:
            shutil.rmtree(fleet.processes[n].folder / "store")
            (fleet.processes[n].folder / "week").rename(fleet.processes[n].folder / "store")
        for process in fleet.processes:
            file = process.folder / "operator.toml"
            file.write_text(file.read_text().replace("first_start = true\n", ""))
        fleet.begin()  # starts the cut of the script
        for engine in fleet.engines:
            engine.dark, engine.delay_s = False, 0.05
        self.born_ms = time.time() * 1e3
        fleet.bus.say(*(host_entry(e.name, e.port, born_ms=self.born_ms) for e in fleet.engines), whole=True)

        # All clients connect at once, while the coordinators start within two seconds.
        queries = [
            asyncio.create_task(client.served(process.http, 100 + 20 * process.number + n))
            for process in fleet.processes
            for n in range(self.clients_per_process)
        ]
        for process in rng.sample(fleet.processes, 5):
            await process.start()
            await asyncio.sleep(rng.uniform(0.1, 0.5))
        restarted_at = time.monotonic()
        served = asyncio.gather(*queries)
        served.add_done_callback(lambda _: setattr(self, "recovered_s", time.monotonic() - restarted_at))
        await self.wait_for_stage(2, "service")
        numbers = (1, 2, *range(11, 17))  # each is sent again, to all coordinators at once
        answers = await asyncio.gather(*(client.load(p.http, n) for n in numbers for p in fleet.processes))
        self.repeats = {n: list(answers[5 * index : 5 * index + 5]) for index, n in enumerate(numbers)}
        self.refusals = await asyncio.wait_for(served, WAIT_S)
        await self.wait_for_stage(2, "open")

    async def wait_for_stage(self, start_number: int, stage: str) -> None:
        """Wait until all coordinators have logged this recovery stage in their process number `start_number`.

        Raise TimeoutError after WAIT_S seconds.
        """
        await asyncio.gather(
            *(
                process.until(
                    lambda p=process: p.events("recovery_stage_changed", stage=stage, life=start_number), WAIT_S
                )
                for process in self.fleet.processes
            )
        )

    def left_stages(self, n: int) -> list[dict[str, Any]]:
        """Return the log lines on the recovery stages that a coordinator left after the power loss."""
        return self.fleet.processes[n].events("recovery_stage_changed", life=2)

    def loaded(self) -> dict[int, int]:
        """Return how many times each load ran, counted from the rows of all engines."""
        counts: dict[int, int] = {}
        for engine in self.fleet.engines:
            assert isinstance(engine, SqliteEngine)
            for number, count in engine.rows.execute("SELECT id, COUNT(*) FROM loaded GROUP BY id"):
                counts[number] = counts.get(number, 0) + count
        return counts

    def figures(self) -> dict[str, Any]:
        """Return the figures of a finished run; it is faulty if one of the first five is not zero or empty."""
        counts, final_statuses = self.loaded(), self.client.final_statuses
        spans = [
            (line["since"], line["until"], line["units"])
            for p in self.fleet.processes
            for line in p.events("fleet_budget_spent")
        ]
        budget_use = [peak_budget_use(engine, self.born_ms) for engine in self.fleet.engines]
        return {
            "overspend": compute_overspend(spans, UNITS, 1.0),
            "cold_overruns": sum(fraction > 1.0 for fraction in budget_use),
            "loads_doubled": sum(count > 1 for count in counts.values()),
            "untrue": [
                n
                for n, answers in final_statuses.items()
                if n < 100
                and (
                    200 in answers
                    and not counts.get(n)
                    or set(answers) == {503}
                    and counts.get(n)
                    or answers.count(200) > 1
                    or n in self.loads_before_loss
                    and 200 in self.repeats.get(n, ())
                )
            ],
            "stuck": sum(len(answers) != 1 for n, answers in final_statuses.items() if n >= 1_000)
            + (5 * self.clients_per_process - len(self.refusals)),
            "cold_use": round(max(budget_use), 3),
            "refused": sum(self.refusals),
            "recovered_s": round(self.recovered_s, 2),
            "loads": len(counts),
            "served": len(self.refusals),
            "weak": sorted({line["left"] for n in range(5) for line in self.left_stages(n) if line["weak"]}),
            "faults": [
                line for p in self.fleet.processes for line in p.lines if line["event"] in ("exception_caught", "text")
            ],
        }
