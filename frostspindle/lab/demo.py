"""The demo: engines, bus and coordinator of an embedded default in one command.

Owns the toys and the child process that serves. It must never listen anywhere but on loopback, and ends all that it
started.
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
WAIT_S = 60.0  # a busy machine takes a while to start two interpreters


async def run(workers: int, port: int, once: bool) -> int:
    """Run two engines, a bus and a coordinator on loopback, print the answer to one query, and wait for SIGINT,
    SIGTERM or the coordinator's end (`once`: don't wait). Clients connect to `port`, operators to `port` + 1. Return
    the coordinator's exit code; TimeoutError if it is not ready within WAIT_S seconds."""
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
        gone = asyncio.create_task(child.wait())
        gone.add_done_callback(lambda _: ended.set())
        try:
            async with asyncio.timeout(WAIT_S):
                while not ended.is_set():
                    try:
                        if (await asyncio.to_thread(call_operator, ("127.0.0.1", port + 1), "ready")).startswith("ACK"):
                            break
                    except OSError:
                        pass
                    await asyncio.sleep(0.05)
            if not ended.is_set():
                how, rows, _ = await asyncio.to_thread(
                    send_query, f"127.0.0.1:{port}", "lookup", SQL, "00000000000000a1", 5000.0, 300.0, 96.0
                )
                print(f"\n{SQL}\n{how}: {rows}\n", flush=True)
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
            code = await gone
    return code
