"""Measures the cost of ordering requests of one key across processes, by the number of other processes.

    python bench/order.py [REQUESTS]

Prints one JSON object: for 0, 1, 3 and 8 other processes with 256 queued requests each, the median microseconds to
enter and to leave the queue with a key that no other process holds. The cases alternate within one run.
"""

from __future__ import annotations

import json
import random
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

from frostspindle.order.key_queue import KeyQueue
from frostspindle.order.shared_cells import SharedCellFolder

OTHERS, ROUNDS = (0, 1, 3, 8), 5


def clock() -> float:
    """Return monotonic milliseconds."""
    return time.monotonic() * 1000.0


def open_process(folder: Path) -> tuple[SharedCellFolder, KeyQueue]:
    """Create the shared file of a process; return its view of all files in the folder, and its key queue."""
    cells = SharedCellFolder(folder, clock, 2100.0)
    return cells, KeyQueue(cells.own_file.owner, cells.own_file, cells.positions)


def measure(folder: Path, others: int, requests: int, rng: random.Random) -> tuple[float, float]:
    """Return the median microseconds to enter and to leave, with `others` other processes of 256 requests each.

    Raise AssertionError if a request has to wait, as no other process should hold its key.
    """
    own_cells, own_queue = open_process(folder)
    other_processes = [open_process(folder) for _ in range(others)]
    for _, queue in other_processes:
        for number in range(256):
            queue.enter(number, rng.getrandbits(62) | 1, number + 2)
    enter, leave = [], []
    for number in range(requests):
        key = rng.getrandbits(62) | 1
        started = time.perf_counter()
        assert own_queue.enter(number, key, number + 1000) is True
        entered = time.perf_counter()
        own_queue.leave(number)
        enter.append(entered - started)
        leave.append(time.perf_counter() - entered)
    for cells, _ in ((own_cells, own_queue), *other_processes):
        cells.close(True)
    return median(enter) * 1e6, median(leave) * 1e6


def main() -> None:
    """Measure each number of other processes alternately, ROUNDS times, and print the medians."""
    requests = int((sys.argv[1:] or ["2000"])[0])
    rng, runs = random.Random(1), {others: [] for others in OTHERS}
    for _ in range(ROUNDS):
        for others in OTHERS:
            with tempfile.TemporaryDirectory() as folder:
                runs[others].append(measure(Path(folder), others, requests, rng))
    print(
        json.dumps(
            {
                "requests": requests,
                "us": {
                    str(others): {
                        "enter": round(median(run[0] for run in rows), 1),
                        "over": round(median(run[1] for run in rows), 1),
                    }
                    for others, rows in runs.items()
                },
            }
        )
    )


if __name__ == "__main__":
    main()
