"""Measures the cost of a disabled feature: alternates processes of an earlier checkout and of this one.

    python bench/off_cost.py EARLIER_CHECKOUT [ROUNDS] [REQUESTS]

The checkout is another working copy of this repository; both run with this interpreter's libraries. A run is a fixed
number of requests. It measures the coordinator's CPU time per request and its memory, which depend little on the load
of the machine.
"""

from __future__ import annotations

import asyncio
import sys
from statistics import median

from frostspindle.lab.bench import SQL, coordinator, cpu_s, engines, rss_mb
from frostspindle.lab.engines import coordinator_config, host_entry

CONNECTIONS, WARM_UP_REQUESTS = 16, 400
HEAD = (
    b"POST /call/lookup HTTP/1.1\r\nHost: b\r\nX-Request-Id: %016x\r\nX-Timeout-Ms: 7000\r\nX-Cost-Ms: 20\r\n"
    b"X-Memory: 16\r\nContent-Length: %d\r\n\r\n%b"
)


async def load(port: int, first: int, count: int) -> None:
    """Send `count` requests over CONNECTIONS connections; each sends its next one after a response.

    Raise RuntimeError for any status other than 200.
    """
    request_numbers = iter(range(first, first + count))

    async def run_connection() -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in request_numbers:
            writer.write(HEAD % (number, len(SQL), SQL))
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(head.partition(b"Content-Length: ")[2].partition(b"\r")[0]))
            if not head.startswith(b"HTTP/1.1 200"):
                raise RuntimeError(head.decode())
        writer.close()

    await asyncio.gather(*(run_connection() for _ in range(CONNECTIONS)))


def run(ports: dict[str, int], source: str | None, count: int) -> dict[str, float]:
    """Load a coordinator of the checkout `source`, None for this one, with `count` requests after a warm-up.

    Return its CPU time per request (ms) and its resident memory at the end (MB).
    """
    config = coordinator_config([host_entry(name, port) for name, port in ports.items()])
    with coordinator(config, 1, source) as (port, (_, pid)):
        asyncio.run(load(port, 1, WARM_UP_REQUESTS))
        before = cpu_s([pid])
        asyncio.run(load(port, 1 + WARM_UP_REQUESTS, count))
        return {"cpu_ms": 1000.0 * (cpu_s([pid]) - before) / count, "rss_mb": rss_mb([pid])}


def main() -> None:
    """Run both checkouts in alternating order; print the ratios of CPU time and of memory."""
    earlier, rounds, count = sys.argv[1], *map(int, (sys.argv[2:] + ["5", "4000"][len(sys.argv) - 2 :])[:2])
    with engines([f"s-{n:08x}" for n in range(1, 5)], 0.0, 2) as (ports, _):
        pairs = []
        for round_number in range(rounds):
            figures = {
                source: run(ports, source, count) for source in ([earlier, None], [None, earlier])[round_number % 2]
            }
            pairs.append((figures[earlier], figures[None]))
    for key in ("cpu_ms", "rss_mb"):
        ratios = sorted(now[key] / before[key] for before, now in pairs)
        print(
            f"{key:<7} now/earlier: median {median(ratios):.3f}, {ratios[0]:.3f} to {ratios[-1]:.3f}; "
            f"now {median(now[key] for _, now in pairs):.3f}"
        )


if __name__ == "__main__":
    main()
