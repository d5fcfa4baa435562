"""A host that refuses workers: the coordinator serves as one process, says why once, and keeps its signals."""

import asyncio
import signal
from pathlib import Path

from fleet import Coordinator, FleetCase

from frostspindle.lab.engines import document

REFUSING = str(Path(__file__).parent / "refusing")


class Refused(FleetCase):
    async def test_workers_asked_for_where_no_process_may_start(self):
        await self.start_engines(2)
        config = document(self.bus.events[0]["topology"]["hosts"], self.bus.port)
        fleet = Coordinator(self, config, "[cores]\nworkers = 3\n", PYTHONPATH=REFUSING)
        ready = await fleet.event("coordinator_started")
        refused = [e for e in fleet.events if e["event"] == "worker_start_refused"]
        self.assertEqual([(e["workers"], e["reason"]) for e in refused], [(3, "starting a process: ENOSYS")])
        self.assertNotIn("workers", ready)  # one process's own ready, not a supervisor's
        self.assertEqual([e for e in fleet.events if e["event"] == "worker_started"], [])
        fleet.port = int(ready["listen"].rpartition(":")[2])
        self.coordinator = fleet
        answers = await asyncio.gather(*(self.in_thread(self.client().post, n + 1) for n in range(4)))
        self.assertEqual([status for status, _ in answers], [200] * 4)
        fleet.process.send_signal(signal.SIGHUP)  # the same file again: the workers it names are no new start
        self.assertNotIn("error", await fleet.event("config_reloaded"))
        fleet.operator.write_text("[cores]\nworkers = 2\n")
        fleet.process.send_signal(signal.SIGHUP)
        self.assertEqual((await fleet.event("config_reload_failed"))["error"], "cores: needs a new start")
        fleet.process.send_signal(signal.SIGTERM)
        self.assertEqual(await fleet.exit(), 0)

    async def test_a_host_that_starts_processes_gets_its_workers(self):
        from frostspindle.cores.probe import worker_start_refusal

        self.assertIsNone(
            worker_start_refusal()
        )  # this machine starts processes: the probe must not turn workers down here
