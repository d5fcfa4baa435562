"""Measures the cost of sharing: N workers against N independent coordinators, and methods to share a listening socket.

The figures are used in docs/design/cores.md. The setups alternate within one run:
  alone     one process
  apart     N single processes on separate addresses, clients divided among them
  workers   N workers of one supervisor
Accepting is measured separately: 400 simultaneous connections to N acceptors on one passed socket, on one passed socket
where an acceptor with more connections than the others delays, and on SO_REUSEPORT.

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


def run_apart(count: int, clients: int, connections: int, ports: dict[str, int], seconds: float) -> dict[str, float]:
    """Load `count` independent coordinators for `seconds` after a warm-up, clients divided among them.

    Return their total requests per second, and the CPU time per request (ms).
    """
    with ExitStack() as stack:
        config = coordinator_config([host_entry(name, port) for name, port in ports.items()])
        coordinators = [stack.enter_context(coordinator(config, 1)) for _ in range(count)]
        start_at = time.time() + 0.7
        processes = []
        for number in range(max(clients, count)):
            parent_pipe, child_pipe = SPAWN.Pipe()
            process = SPAWN.Process(
                target=client_process,
                daemon=True,
                args=(
                    child_pipe,
                    coordinators[number % count][0],
                    connections // max(clients, count),
                    number << 40,
                    20,
                    0.0,
                    start_at,
                    seconds,
                ),
            )
            process.start()
            processes.append((parent_pipe, process))

        def served() -> int:
            return sum(
                json.loads(call_operator(operator_socket, "show-stat").splitlines()[0])["calls"]["lookup"]["success"]
                for _, (operator_socket, _) in coordinators
            )

        time.sleep(max(0.0, start_at + WARM_S - time.time()))
        pids = [pid for _, (_, pid) in coordinators]
        cpu, before, measured_from = cpu_s(pids), served(), time.time()
        time.sleep(max(0.0, start_at + WARM_S + seconds - time.time()))
        cpu, after, elapsed_s = cpu_s(pids) - cpu, served(), time.time() - measured_from
        for parent_pipe, process in processes:
            parent_pipe.recv()
            process.join()
    return {"rps": (after - before) / elapsed_s, "cpu_ms": 1000.0 * cpu / (after - before)}


def run_acceptor(
    listening: socket.socket | None, port: int, counts: object, index: int, defers: bool, until: float
) -> None:
    """Accept connections until the time `until`, keeping the count in `counts[index]`.

    Without a passed socket, listen on the port with SO_REUSEPORT. With `defers`, sleep for 3 ms before each
    attempt while over two connections ahead of the least loaded acceptor.
    """
    if listening is None:
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listening.bind(("127.0.0.1", port))
        listening.listen(512)
    listening.settimeout(0.02)
    accepted = []
    while time.time() < until:
        if defers and counts[index] > min(counts) + 2:
            time.sleep(0.003)
        try:
            accepted.append(listening.accept()[0])
            counts[index] = len(accepted)
        except TimeoutError:
            pass


def measure_accepting(count: int, method: str, connections: int = 400) -> list[int]:
    """Return the connections accepted by each of `count` processes, ascending, with that sharing method."""
    context = multiprocessing.get_context("fork")
    counts = context.Array("i", count, lock=False)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind(("127.0.0.1", 0))
    if method != "reuseport":
        listener.listen(512)
    port, until = listener.getsockname()[1], time.time() + 2.0
    processes = [
        context.Process(
            target=run_acceptor,
            args=(listener if method != "reuseport" else None, port, counts, index, method == "polite", until),
        )
        for index in range(count)
    ]
    for process in processes:
        process.start()
    time.sleep(0.5)
    clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(connections)]
    for process in processes:
        process.join()
    accepted = sorted(counts)
    for client in clients:
        client.close()
    listener.close()
    return accepted


def main() -> None:
    """Run the loads alternately and print medians, then run each method of accepting three times."""
    count, seconds, rounds = (int(text) for text in (sys.argv[1:] + ["4", "3", "3"][len(sys.argv) - 1 :]))
    with engines([f"s-{n:08x}" for n in range(1, 5)], 0.0, 2) as (ports, _):
        rows = {"alone": [], "apart": [], "workers": []}
        for _ in range(rounds):
            rows["alone"].append(one(1, 4, 64, ports, seconds))
            rows["apart"].append(run_apart(count, 4, 64, ports, seconds))
            rows["workers"].append(one(count, 4, 64, ports, seconds))
    for name, runs in rows.items():
        ratio = median(run["cpu_ms"] / base["cpu_ms"] for run, base in zip(runs, rows["alone"], strict=True))
        print(
            f"{name:<8} {median(run['rps'] for run in runs):>7.0f} rps  {median(run['cpu_ms'] for run in runs):.3f} "
            f"ms CPU a request, {ratio:.2f} of one process's"
        )
    for method in ("passed", "polite", "reuseport"):
        accepted = [measure_accepting(count, method) for _ in range(3)]
        print(f"accept {method:<10} most and least of {count}, three times: {[(row[-1], row[0]) for row in accepted]}")
    print(f"{os.cpu_count()} cores")


if __name__ == "__main__":
    main()
