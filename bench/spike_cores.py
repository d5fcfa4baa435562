"""The cost of sharing: N workers against N coordinators that share nothing, and ways to share a listening socket.

Measured for docs/design/cores.md, in turn within one run:
  alone     one process
  apart     N single processes, each on an address of its own, clients divided among them
  workers   N workers of one supervisor
Accepting is measured by itself: 400 connections at once to N acceptors on one passed socket, on one passed socket where
an acceptor with more connections waits for the others, and on SO_REUSEPORT.

    python bench/spike_cores.py [N] [SECONDS] [ROUNDS]
"""

from __future__ import annotations

import json
import multiprocessing
import os
import socket
import sys
import time
from contextlib import ExitStack
from statistics import median

from frostspindle.lab.bench import SPAWN, WARM_S, client_process, coordinator, cpu_s, engines, one
from frostspindle.lab.engines import coordinator_config, host_entry
from frostspindle.operator_client import call_operator


def apart(count: int, clients: int, connections: int, ports: dict[str, int], seconds: float) -> dict[str, float]:
    """Load `count` independent coordinators for `seconds` after a warm-up, clients divided among them.

    Return the requests a second of all together, and the processor time of a request (ms).
    """
    with ExitStack() as stack:
        config = coordinator_config([host_entry(name, port) for name, port in ports.items()])
        each = [stack.enter_context(coordinator(config, 1)) for _ in range(count)]
        at = time.time() + 0.7
        processes = []
        for number in range(max(clients, count)):
            here, there = SPAWN.Pipe()
            process = SPAWN.Process(
                target=client_process,
                daemon=True,
                args=(
                    there,
                    each[number % count][0],
                    connections // max(clients, count),
                    number << 40,
                    20,
                    0.0,
                    at,
                    seconds,
                ),
            )
            process.start()
            processes.append((here, process))

        def served() -> int:
            return sum(
                json.loads(call_operator(desk, "show-stat").splitlines()[0])["calls"]["lookup"]["success"]
                for _, (desk, _) in each
            )

        time.sleep(max(0.0, at + WARM_S - time.time()))
        pids = [pid for _, (_, pid) in each]
        cpu, before, start = cpu_s(pids), served(), time.time()
        time.sleep(max(0.0, at + WARM_S + seconds - time.time()))
        cpu, after, took = cpu_s(pids) - cpu, served(), time.time() - start
        for here, process in processes:
            here.recv()
            process.join()
    return {"rps": (after - before) / took, "cpu_ms": 1000.0 * cpu / (after - before)}


def acceptor(listening: socket.socket | None, port: int, counts: object, me: int, polite: bool, until: float) -> None:
    """Accept connections until the time `until`, keeping the count in `counts[me]`.

    Without a passed socket, listen on the port with SO_REUSEPORT. A polite one sleeps for 3 ms before each attempt
    while it has over two connections more than the least loaded.
    """
    if listening is None:
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listening.bind(("127.0.0.1", port))
        listening.listen(512)
    listening.settimeout(0.02)
    held = []
    while time.time() < until:
        if polite and counts[me] > min(counts) + 2:
            time.sleep(0.003)
        try:
            held.append(listening.accept()[0])
            counts[me] = len(held)
        except TimeoutError:
            pass


def accepting(count: int, way: str, connections: int = 400) -> list[int]:
    """Return how many of the connections each of `count` processes accepted, ascending, by that way to share."""
    context = multiprocessing.get_context("fork")
    counts = context.Array("i", count, lock=False)
    first = socket.socket()
    first.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    first.bind(("127.0.0.1", 0))
    if way != "reuseport":
        first.listen(512)
    port, until = first.getsockname()[1], time.time() + 2.0
    processes = [
        context.Process(
            target=acceptor, args=(first if way != "reuseport" else None, port, counts, n, way == "polite", until)
        )
        for n in range(count)
    ]
    for process in processes:
        process.start()
    time.sleep(0.5)
    lines = [socket.create_connection(("127.0.0.1", port)) for _ in range(connections)]
    for process in processes:
        process.join()
    out = sorted(counts)
    for line in lines:
        line.close()
    first.close()
    return out


def main() -> None:
    """Run the loads in turn and print medians, then each way of accepting three times."""
    count, seconds, rounds = (int(text) for text in (sys.argv[1:] + ["4", "3", "3"][len(sys.argv) - 1 :]))
    with engines([f"s-{n:08x}" for n in range(1, 5)], 0.0, 2) as (ports, _):
        rows = {"alone": [], "apart": [], "workers": []}
        for _ in range(rounds):
            rows["alone"].append(one(1, 4, 64, ports, seconds))
            rows["apart"].append(apart(count, 4, 64, ports, seconds))
            rows["workers"].append(one(count, 4, 64, ports, seconds))
    for name, runs in rows.items():
        ratio = median(run["cpu_ms"] / base["cpu_ms"] for run, base in zip(runs, rows["alone"], strict=True))
        print(
            f"{name:<8} {median(run['rps'] for run in runs):>7.0f} rps  {median(run['cpu_ms'] for run in runs):.3f} "
            f"ms CPU a request, {ratio:.2f} of one process's"
        )
    for way in ("passed", "polite", "reuseport"):
        spread = [accepting(count, way) for _ in range(3)]
        print(f"accept {way:<10} most and least of {count}, three times: {[(row[-1], row[0]) for row in spread]}")
    print(f"{os.cpu_count()} cores")


if __name__ == "__main__":
    main()
