"""Measures the cost of subscriptions: delivery to many filters against a plain scan, and CPU time per request.

    PYTHONPATH=. python bench/subscriptions.py [--quick] [--needless] > subscriptions.json

Seeded; compared variants alternate within one run. `path_us`: per event, from its creation to the lines to write to its
subscribers, at one coordinator. `scan_us`: only to evaluate each filter on it. `--needless` runs alone: the share of
the events sent to a coordinator with that many distinct filters that match none of them; `common`: if only the
conditions common to all filters of a kind are sent, as for more filters than can be combined.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from frostspindle.cli import call_operator
from frostspindle.lab.bench import cpu_s, engines
from frostspindle.lab.engines import coordinator_config, host_entry
from frostspindle.predicates.index import FilterIndex
from frostspindle.predicates.language import parse
from frostspindle.subscriptions import schema
from frostspindle.subscriptions.fanout import Fanout
from frostspindle.subscriptions.hub import SubscriptionHub
from frostspindle.subscriptions.interest import CombinedInterest, parse_summary

CLASSES, OUTCOMES = ("lookup", "bulk", "report", "live", "batch"), ("served", "served", "refused", "failed")
BROAD = ("ms > 990000", "class = 'live' AND ms < 5000", "kind = 'answer' AND outcome = 'failed' AND class = 'report'")
MODES = {"off": (None, 0), "on, 0": ("[subscriptions]\n", 0), "on, 1,000": ("[subscriptions]\nmost = 2000\n", 1_000)}


def draw_filters(count: int, rng: random.Random) -> list[str]:
    """Draw typical filters of operators and tenants: ten per tenant; one in a hundred, at most three, is broad."""
    filters = []
    for _ in range(count):
        tenant, engine, ms = rng.randrange(max(1, count // 10)), rng.randrange(500), rng.randrange(1_000_000)
        class_name, kind = rng.choice(CLASSES), rng.random()
        filters.append(
            f"kind = 'answer' AND tenant = 't{tenant}' AND class = '{class_name}' AND ms > {ms}"
            if kind < 0.4
            else f"tenant = 't{tenant}' AND outcome IN ('failed', 'refused')"
            if kind < 0.6
            else f"engine = 'e{engine}' AND ms BETWEEN {ms} AND {ms + 20_000}"
            if kind < 0.75
            else f"class = '{class_name}' AND ms BETWEEN {ms} AND {ms + 200}"
            if kind < 0.9
            else f"kind = 'engine' AND engine STARTS WITH 'e{engine}'"
        )
    for index, text in enumerate(BROAD[: count // 100]):
        filters[index] = text
    return filters


def event(count: int, rng: random.Random) -> schema.Event:
    """Draw the event of a response; `count`, the number of filters, determines the number of tenants."""
    return schema.make(
        schema.ANSWER,
        1.7e12,
        rng.choice(CLASSES),
        f"t{rng.randrange(max(1, count // 10))}",
        rng.randrange(50),
        rng.choice(OUTCOMES),
        f"e{rng.randrange(500)}",
        "http",
        rng.randrange(1_000_000),
    )


def matching(count: int, rounds: int) -> dict[str, Any]:
    """Return the CPU microseconds per event with `count` subscriptions at one coordinator; medians of the rounds."""
    rng = random.Random(count)
    texts = draw_filters(count, rng)
    hub = SubscriptionHub("c1", 1, 0.0, most=count, fanout=Fanout(100_000, 10_000_000))
    started = time.process_time()
    for text in texts:
        hub.subscribers.subscribe(0.0, text)
    now = 0.0
    while len(hub.subscribers.acknowledged) < count:
        now += 100.0
        hub.tick(now)
    subscribe_s = time.process_time() - started
    predicates = [parse(text) for text in texts]
    path_us, scan_us, delivered = [], [], 0
    for _ in range(rounds):
        events = [event(count, rng) for _ in range(500 if count <= 1_000 else 200)]
        started = time.process_time()
        for made_event in events:
            hub.make(made_event)
        while hub.subscribers.live["c1"].position != hub.publisher.head:
            now += 5.0
            hub.tick(now)
        while hub.subscribers.fanout.total:
            delivered += sum(len(items) for _, items in hub.subscribers.fanout.next_batches(set(), 512))
        path_us.append((time.process_time() - started) * 1e6 / len(events))
        scanned = events[: max(1, 100_000 // count)][:200]
        started = time.process_time()
        for made_event in scanned:
            row = schema.row("c1", made_event)
            for predicate in predicates:
                predicate.truth(row)
        scan_us.append((time.process_time() - started) * 1e6 / len(scanned))
    return {
        "filters": count,
        "path_us": round(statistics.median(path_us), 1),
        "scan_us": round(statistics.median(scan_us), 1),
        "told_an_event": round(delivered / hub.publisher.head, 2),
        "join_us": round(subscribe_s * 1e6 / count, 1),
        "asked_for": len(hub.subscribers.filters),
    }


SHAPES = {
    "tenants": "kind = 'answer' AND tenant = 't{tenant}' AND class = '{word}' AND ms > {ms}",
    "ranges": "class = '{word}' AND ms BETWEEN {ms} AND {high}",
    "engines": "engine = 'e{engine}' AND ms BETWEEN {ms} AND {high}",
    "prefixes": "engine STARTS WITH 'e{engine}' AND outcome = 'failed'",
}


def needless(shape: str, count: int, events: int) -> dict[str, Any]:
    """Return the share of events sent to a coordinator that match none of its filters, for filters of one shape.

    Shape `mixed` uses `draw_filters`. Raise AssertionError if an event that a filter matches would not be sent.
    """
    rng = random.Random(f"{shape} {count}")
    texts: dict[str, None] = dict.fromkeys(draw_filters(count, rng)) if shape == "mixed" else {}
    while shape != "mixed" and len(texts) < count:
        ms = rng.randrange(1_000_000)
        texts[
            SHAPES[shape].format(
                tenant=rng.randrange(max(1, count // 10)),
                word=rng.choice(CLASSES),
                ms=ms,
                high=ms + 2_000,
                engine=rng.randrange(10 * max(5, count)),
            )
        ] = None
    combined, incremental, update_s = CombinedInterest(), CombinedInterest(), []
    filters = [parse(text) for text in texts]
    for number, predicate in enumerate(filters):
        combined.add(number, predicate)
        incremental.add(number, predicate)
        started = time.process_time()
        incremental.filters()
        update_s.append(time.process_time() - started)
    started = time.process_time()
    parts = combined.filters(narrow=True)
    combine_s = time.process_time() - started
    index = FilterIndex()
    for number, predicate in enumerate(filters):
        index.add(number, predicate)
    rows = [schema.row("c1", event(1_000, rng)) for _ in range(events)]
    matched = [bool(index.find(row)) for row in rows]
    result: dict[str, Any] = {
        "shape": shape,
        "filters": count,
        "parts": len(parts),
        "wanted": sum(matched) / events,
        "cover_ms": round(combine_s * 1e3, 1),
        "one_more_ms": [round(seconds * 1e3, 1) for seconds in (statistics.median(update_s), max(update_s))],
    }
    for name, conditions in (
        ("anew", parts),
        ("grown", incremental.filters()),
        ("common", combined._exact() or combined._common()),
    ):
        summary = parse_summary(conditions)
        sent = [summary.truth(row) is True for row in rows]
        assert all(is_sent or not is_matched for is_sent, is_matched in zip(sent, matched, strict=True))
        result[name] = {"sent": sum(sent) / events, "needless": round(1.0 - sum(matched) / max(1, sum(sent)), 3)}
    return result


async def load(port: int, count: int) -> None:
    """Send that many requests over eight connections, sequentially on each."""

    async def run_connection(number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for index in range(count // 8):
            writer.write(
                f"POST /call/lookup HTTP/1.1\r\nHost: b\r\nX-Request-Id: {number * 10**6 + index + 1:016x}\r\n"
                "X-Timeout-Ms: 4000\r\nX-Cost-Ms: 10\r\nX-Memory: 16\r\nContent-Length: 8\r\n\r\n"
                "SELECT 1".encode()
            )
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            await reader.readexactly(int(head.split(b"content-length:")[1].split(b"\r\n")[0]))
        writer.close()

    await asyncio.gather(*(run_connection(number) for number in range(1, 9)))


async def requests(operator: str | None, subscribers: int, count: int, ports: dict[str, int]) -> float:
    """Return the CPU milliseconds per request of a coordinator with that operator file and number of subscribers.

    Raise TimeoutError if it does not start within 60 s, AssertionError if a subscription or request fails.
    """
    with tempfile.TemporaryDirectory() as folder:
        operator_socket, toml, log = str(Path(folder, "desk")), Path(folder, "operator.toml"), Path(folder, "log")
        config = coordinator_config([host_entry(name, port) for name, port in ports.items()])
        Path(folder, "config.json").write_text(
            json.dumps({**config, "operator": operator_socket, "limits": {"memory_mb": 512, "sockets": 4096}})
        )
        toml.write_text(operator or "")
        with log.open("wb") as sink:
            child = subprocess.Popen(
                [sys.executable, "-m", "frostspindle"],
                stderr=sink,
                env={
                    **os.environ,
                    "LB_CONFIG": str(Path(folder, "config.json")),
                    "FROSTSPINDLE_OPERATOR": str(toml),
                    "TMPDIR": folder,
                },
            )
        try:
            async with asyncio.timeout(60.0):
                while '"coordinator_started"' not in log.read_text():
                    await asyncio.sleep(0.05)
            port = int(
                next(json.loads(text) for text in log.read_text().splitlines() if '"coordinator_started"' in text)[
                    "listen"
                ].rpartition(":")[2]
            )
            # The socket accepts at most 16 callers that have not sent a command yet.
            subscribe_slots = asyncio.Semaphore(8)

            async def subscribe(text: str) -> Any:
                async with subscribe_slots, asyncio.timeout(120.0):
                    reader, writer = await asyncio.open_unix_connection(operator_socket)
                    writer.write(f"subscribe {text}\n".encode())
                    assert (await reader.readline()).startswith(b'{"ack"')
                    return writer

            subscribers_open = await asyncio.gather(
                *(subscribe(text) for text in draw_filters(subscribers, random.Random(1)))
            )
            await load(port, count // 4)
            started = cpu_s([child.pid])
            await load(port, count)
            cpu_used_s = cpu_s([child.pid]) - started
            assert (
                json.loads(call_operator(operator_socket, "show-stat").splitlines()[0])["calls"]["lookup"]["success"]
                >= count
            )
            for writer in subscribers_open:
                writer.close()
            return cpu_used_s * 1e3 / count
        finally:
            child.send_signal(signal.SIGTERM)
            child.wait(30)


def main() -> None:
    """Run all measurements, or only that of --needless, and print JSON."""
    quick = "--quick" in sys.argv
    if "--needless" in sys.argv:
        for shape in ("mixed", *SHAPES):
            for count in (10, 100, 1_000):
                print(json.dumps(needless(shape, count, 2_000 if quick else 10_000)), flush=True)
        return
    result: dict[str, Any] = {"matching": [matching(count, 3 if quick else 5) for count in (1, 1_000, 100_000)]}
    cpu_ms: dict[str, list[float]] = {mode: [] for mode in MODES}
    with engines([f"s-{n:08x}" for n in range(1, 5)], 0.0, 1) as (ports, _):
        for round_number in range(2 if quick else 5):
            for mode in sorted(MODES, reverse=bool(round_number % 2)):
                cpu_ms[mode].append(asyncio.run(requests(*MODES[mode], 1_000 if quick else 3_000, ports)))
    result["cpu_ms"] = {mode: [round(ms, 4) for ms in runs] for mode, runs in cpu_ms.items()}
    result["ratios_to_off"] = {
        mode: round(statistics.median(measured / off for measured, off in zip(runs, cpu_ms["off"], strict=True)), 3)
        for mode, runs in cpu_ms.items()
    }
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
