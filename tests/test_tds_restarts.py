"""TDS clients that never rest, through planned restarts of real processes: alone, with workers, and in an upgrade.

The clients and the engines' work are seeded. A client connects anew when its session ends, as nothing tells it earlier
that the process is about to exit.
"""

import asyncio
import random
import signal
import socket

from fleet import Coordinator, FleetCase
from peers import TdsClient, TdsEngine, change, settings

from frostspindle.net.tds import codec

CLIENTS_OF_EACH_CLASS = 4
ENGINES = 2
WORK_S = {"calls": (0.01, 0.1), "loads": (0.1, 0.4)}  # of one batch at an engine, by database
PAUSE_S = (0.0, 0.05)  # of a client between two batches
SERVING_S = 0.5  # before SIGTERM
RECONNECT_S = 0.02
OPERATOR_FILE = """
[tds]
listen = "127.0.0.1:{port}"

[[tds.login]]
database = "loads"
class = "load"
deadline_ms = 4000
cost_ms = 300
memory_mb = 64

[[tds.login]]
class = "lookup"
deadline_ms = 4000
cost_ms = 50
memory_mb = 64
"""


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return probe.getsockname()[1]


class RestartUnderTdsClients(FleetCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.statuses = {}  # by statement: "unanswered", "served", or the number of the error
        self.is_over = False
        self.port = free_port()
        self.engines = [await TdsEngine().start() for _ in range(ENGINES)]
        self.file = OPERATOR_FILE.format(port=self.port)
        for number, engine in enumerate(self.engines):
            self.addCleanup(engine.server.close)
            engine.script = self.answer_after_work(random.Random(number))
            self.file += f'\n[[tds.engine]]\nname = "t{number}"\ndial = "127.0.0.1:{engine.port}"\n'

    def answer_after_work(self, work):
        async def answer(statement):
            database = statement.split("'")[1].partition("-")[0]
            await asyncio.sleep(work.uniform(*WORK_S[database]))
            return codec.text_result(("name",), [(statement,)])

        return answer

    async def coordinator(self, operator="", folder="", listening=None):
        listen = f"127.0.0.1:{listening.getsockname()[1] if listening else 0}"
        document = {
            "name": "t0",
            "listen": listen,
            "settings": settings(),
            "known": {"offset": 1, "batch": [change(1, whole=True)]},
        }
        started = Coordinator(self, document, operator + self.file, listening=listening, folder=folder)
        await started.event("coordinator_started")
        return started

    async def run_client(self, database, number):
        """Send one batch after the other, on a new session when one ends, until the test is over."""
        pauses = random.Random(f"{database} {number}")
        client, count = None, 0
        while not self.is_over:
            try:
                client = client or await TdsClient(self.port).open(database)
            except (OSError, EOFError, codec.ProtocolError):  # nobody listens, or log-ins are refused
                await asyncio.sleep(RECONNECT_S)
                continue
            count += 1
            statement = f"SELECT '{database}-{number}-{count}'"
            self.statuses[statement] = "unanswered"
            try:
                errors = (await client.query(statement)).errors
            except (OSError, EOFError):
                client.writer.close()
                client = None
                continue
            self.statuses[statement] = errors[0].number if errors else "served"
            await asyncio.sleep(pauses.uniform(*PAUSE_S))

    async def start_clients(self):
        self.clients = [
            asyncio.create_task(self.run_client(database, number))
            for database in WORK_S
            for number in range(CLIENTS_OF_EACH_CLASS)
        ]
        await asyncio.sleep(SERVING_S)

    async def stop_clients(self):
        self.is_over = True
        await asyncio.wait_for(asyncio.gather(*self.clients), 10.0)

    async def end(self, coordinator):
        """Send SIGTERM and check that the process ends in good order."""
        coordinator.process.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.to_thread(coordinator.process.wait, 20), 0)

    def assert_all_batches_at_engines_answered(self):
        at_engines = [statement for engine in self.engines for statement in engine.statements]
        unanswered = [statement for statement in at_engines if self.statuses[statement] == "unanswered"]
        self.assertEqual(unanswered, [])
        loads = [statement for statement in at_engines if "'loads-" in statement]
        self.assertEqual(len(loads), len(set(loads)))
        self.assertGreater(len(at_engines), len(self.clients))

    # Guards against: at a planned restart TDS batches were sent to engines and never answered (review/2).
    async def test_single_process(self):
        coordinator = await self.coordinator()
        await self.start_clients()
        await self.end(coordinator)
        await self.stop_clients()
        self.assert_all_batches_at_engines_answered()

    # Guards against: the same with workers, each of which ends on its own.
    async def test_workers(self):
        coordinator = await self.coordinator("[cores]\nworkers = 2\n")
        await self.start_clients()
        await self.end(coordinator)
        await self.stop_clients()
        self.assert_all_batches_at_engines_answered()

    # Guards against: the same in an upgrade, where sessions that never rested stayed at the old process to its end.
    async def test_upgrade(self):
        listening = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listening.close)
        old = await self.coordinator(listening=listening)
        await self.start_clients()
        new = await self.coordinator(folder=old.folder, listening=listening)
        await self.end(old)
        sent_to_old = set(self.statuses)

        def served_by_new():
            return [name for name, status in self.statuses.items() if status == "served" and name not in sent_to_old]

        async with asyncio.timeout(10.0):
            while len(served_by_new()) < len(self.clients):
                await asyncio.sleep(RECONNECT_S)
        await self.stop_clients()
        self.assert_all_batches_at_engines_answered()
        await self.end(new)
