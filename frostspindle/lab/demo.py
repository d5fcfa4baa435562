"""Demo: stand-in engines, an event bus and a coordinator with a built-in configuration in one command.

All listeners are on loopback. The coordinator is a child process, which is ended on exit.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path

from frostspindle.lab.engines import Bus, Engine, coordinator_config, host_entry
from frostspindle.operator_client import call_operator, send_query

SQL = "SELECT agent, max(note) FROM calls_17.notes GROUP BY agent"
READY_TIMEOUT_S = 60.0  # starting two interpreters takes long on a busy machine


async def run(workers: int, port: int, once: bool) -> int:
    """Run two engines, a bus and a coordinator, print the answer to one query, and return the coordinator's exit code.

    Unless `once`, wait for SIGINT, SIGTERM or the coordinator's end after the query. Clients connect to `port`,
    operators to `port` + 1. Raise TimeoutError if the coordinator is not ready within READY_TIMEOUT_S seconds.
    """
    engines = [await Engine(f"toy-{n}", 0.2).start() for n in (1, 2)]
    bus = await Bus().start()
    bus.say(*(host_entry(f"toy-0000000{n}", engine.port) for n, engine in enumerate(engines, 1)), whole=True)
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder, "config.json")
        hosts = bus.events[0]["topology"]["hosts"]
        config.write_text(json.dumps(coordinator_config(hosts, bus.port, f"127.0.0.1:{port}", f"127.0.0.1:{port + 1}")))
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "frostspindle",
            "serve",
            "--config",
            str(config),
            "--workers",
            str(workers),
            env={**os.environ, "TMPDIR": folder, "FROSTSPINDLE_OPERATOR": ""},
        )
        loop = asyncio.get_running_loop()
        ended = asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, ended.set)
        exited = asyncio.create_task(child.wait())
        exited.add_done_callback(lambda _: ended.set())
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not ended.is_set():
                    try:
                        if (await asyncio.to_thread(call_operator, ("127.0.0.1", port + 1), "ready")).startswith("ACK"):
                            break
                    except OSError:
                        pass
                    await asyncio.sleep(0.05)
            if not ended.is_set():
                outcome, rows, _ = await asyncio.to_thread(
                    send_query, f"127.0.0.1:{port}", "lookup", SQL, "00000000000000a1", 5000.0, 300.0, 96.0
                )
                print(f"\n{SQL}\n{outcome}: {rows}\n", flush=True)
                print(
                    f"Clients are served at 127.0.0.1:{port} by {workers} workers. Try:\n"
                    f"  python -m frostspindle call lookup 'SELECT 1 FROM calls_17.notes' --at 127.0.0.1:{port}\n"
                    f"  python -m frostspindle stat --at 127.0.0.1:{port + 1}\n"
                    "End it with Ctrl-C.",
                    flush=True,
                )
                if not once:
                    await ended.wait()
        finally:
            if child.returncode is None:
                child.terminate()
            code = await exited
    return code
