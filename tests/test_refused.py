"""A host that does not allow worker processes: the coordinator runs as one process, logs why, and handles signals."""

import asyncio
import signal
from pathlib import Path

from fleet import Coordinator, FleetCase

from frostspindle.lab.engines import coordinator_config

REFUSING_MODULES = str(Path(__file__).parent / "refusing")


class WorkerStartRefused(FleetCase):
    async def test_a_coordinator_runs_as_one_process_if_no_worker_can_start(self):
        await self.start_engines(2)
        config = coordinator_config(self.bus.events[0]["topology"]["hosts"], self.bus.port)
        fleet = Coordinator(self, config, "[cores]\nworkers = 3\n", PYTHONPATH=REFUSING_MODULES)
        ready = await fleet.event("coordinator_started")
        refused = [e for e in fleet.events if e["event"] == "worker_start_refused"]
        self.assertEqual([(e["workers"], e["reason"]) for e in refused], [(3, "starting a process: ENOSYS")])
        self.assertNotIn("workers", ready)  # logged by a single process, not by a supervisor
        self.assertEqual([e for e in fleet.events if e["event"] == "worker_started"], [])
        fleet.port = int(ready["listen"].rpartition(":")[2])
        self.coordinator = fleet
        responses = await asyncio.gather(*(self.in_thread(self.client().post, n + 1) for n in range(4)))
        self.assertEqual([status for status, _ in responses], [200] * 4)
        fleet.process.send_signal(signal.SIGHUP)  # the same file: its workers are no change that needs a restart
        self.assertNotIn("error", await fleet.event("config_reloaded"))
        fleet.operator.write_text("[cores]\nworkers = 2\n")
        fleet.process.send_signal(signal.SIGHUP)
        self.assertEqual((await fleet.event("config_reload_failed"))["error"], "cores: needs a new start")
        fleet.process.send_signal(signal.SIGTERM)
        self.assertEqual(await fleet.exit(), 0)

    async def test_the_probe_allows_workers_where_processes_can_start(self):
        from frostspindle.cores.probe import worker_start_refusal

        self.assertIsNone(worker_start_refusal())  # this machine can start processes
