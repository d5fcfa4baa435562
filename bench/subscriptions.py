"""What subscriptions cost: events to many filters through the real path against the plain scan, and CPU a request.

    PYTHONPATH=. python bench/subscriptions.py [--quick] [--needless] > subscriptions.json

Seeded; all ways that are compared take turns within one run. `path_us`: from the event that is made to the lines that
its subscribers are to be written, at one coordinator, for each event. `scan_us`: to try each filter on it, no more.
`--needless` alone: of the events that a coordinator with so many distinct filters would be sent, the part that none of
them matches; `common`: by what all filters of a kind have in common, as where there are more than can be joined.
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
from frostspindle.subscriptions.interest import CombinedInterest, understood

CLASSES, OUTCOMES = ("lookup", "bulk", "report", "live", "batch"), ("served", "served", "refused", "failed")
BROAD = ("ms > 990000", "class = 'live' AND ms < 5000", "kind = 'answer' AND outcome = 'failed' AND class = 'report'")
MODES = {"off": (None, 0), "on, 0": ("[subscriptions]\n", 0), "on, 1,000": ("[subscriptions]\nmost = 2000\n", 1_000)}


def wanted(count: int, draw: random.Random) -> list[str]:
    """Draw filters as operators and tenants have them: ten to a tenant, and one in a hundred, up to three, broad."""
    out = []
    for _ in range(count):
        tenant, engine, ms = draw.randrange(max(1, count // 10)), draw.randrange(500), draw.randrange(1_000_000)
        word, kind = draw.choice(CLASSES), draw.random()
        out.append(
            f"kind = 'answer' AND tenant = 't{tenant}' AND class = '{word}' AND ms > {ms}"
            if kind < 0.4
            else f"tenant = 't{tenant}' AND outcome IN ('failed', 'refused')"
            if kind < 0.6
            else f"engine = 'e{engine}' AND ms BETWEEN {ms} AND {ms + 20_000}"
            if kind < 0.75
            else f"class = '{word}' AND ms BETWEEN {ms} AND {ms + 200}"
            if kind < 0.9
            else f"kind = 'engine' AND engine STARTS WITH 'e{engine}'"
        )
    for at, said in enumerate(BROAD[: count // 100]):
        out[at] = said
    return out


def event(count: int, draw: random.Random) -> schema.Event:
    """Draw the event of an answer, for a set of `count` filters, which decides how many tenants there are."""
    return schema.make(
        schema.ANSWER,
        1.7e12,
        draw.choice(CLASSES),
        f"t{draw.randrange(max(1, count // 10))}",
        draw.randrange(50),
        draw.choice(OUTCOMES),
        f"e{draw.randrange(500)}",
        "http",
        draw.randrange(1_000_000),
    )


def matching(count: int, turns: int) -> dict[str, Any]:
    """Return the CPU microseconds of an event with `count` subscriptions at one coordinator; medians of the turns."""
    draw = random.Random(count)
    texts = wanted(count, draw)
    hub = SubscriptionHub("c1", 1, 0.0, most=count, fanout=Fanout(100_000, 10_000_000))
    began = time.process_time()
    for text in texts:
        hub.subscribers.subscribe(0.0, text)
    now = 0.0
    while len(hub.subscribers.acknowledged) < count:
        now += 100.0
        hub.tick(now)
    joined = time.process_time() - began
    predicates = [parse(text) for text in texts]
    path, scan, told = [], [], 0
    for _ in range(turns):
        events = [event(count, draw) for _ in range(500 if count <= 1_000 else 200)]
        began = time.process_time()
        for one in events:
            hub.make(one)
        while hub.subscribers.live["c1"].pos != hub.maker.head:
            now += 5.0
            hub.tick(now)
        while hub.subscribers.fanout.total:
            told += sum(len(items) for _, items in hub.subscribers.fanout.turn(set(), 512))
        path.append((time.process_time() - began) * 1e6 / len(events))
        few = events[: max(1, 100_000 // count)][:200]
        began = time.process_time()
        for one in few:
            row = schema.row("c1", one)
            for predicate in predicates:
                predicate.truth(row)
        scan.append((time.process_time() - began) * 1e6 / len(few))
    return {
        "filters": count,
        "path_us": round(statistics.median(path), 1),
        "scan_us": round(statistics.median(scan), 1),
        "told_an_event": round(told / hub.maker.head, 2),
        "join_us": round(joined * 1e6 / count, 1),
        "asked_for": len(hub.subscribers.parts),
    }


SHAPES = {
    "tenants": "kind = 'answer' AND tenant = 't{tenant}' AND class = '{word}' AND ms > {ms}",
    "ranges": "class = '{word}' AND ms BETWEEN {ms} AND {high}",
    "engines": "engine = 'e{engine}' AND ms BETWEEN {ms} AND {high}",
    "prefixes": "engine STARTS WITH 'e{engine}' AND outcome = 'failed'",
}


def needless(shape: str, count: int, events: int) -> dict[str, Any]:
    """Return the part of events that would be sent to a coordinator without need, with that many filters of one shape.

    Shape `mixed` draws them as `wanted` does. Raise AssertionError if an event that a filter matches would not be sent.
    """
    draw = random.Random(f"{shape} {count}")
    texts: dict[str, None] = dict.fromkeys(wanted(count, draw)) if shape == "mixed" else {}
    while shape != "mixed" and len(texts) < count:
        ms = draw.randrange(1_000_000)
        texts[
            SHAPES[shape].format(
                tenant=draw.randrange(max(1, count // 10)),
                word=draw.choice(CLASSES),
                ms=ms,
                high=ms + 2_000,
                engine=draw.randrange(10 * max(5, count)),
            )
        ] = None
    one, grown, took = CombinedInterest(), CombinedInterest(), []
    filters = [parse(text) for text in texts]
    for at, held in enumerate(filters):
        one.add(at, held)
        grown.add(at, held)
        began = time.process_time()
        grown.parts()
        took.append(time.process_time() - began)
    began = time.process_time()
    parts = one.parts(narrow=True)
    whole = time.process_time() - began
    index = FilterIndex()
    for at, held in enumerate(filters):
        index.add(at, held)
    rows = [schema.row("c1", event(1_000, draw)) for _ in range(events)]
    right = [bool(index.find(row)) for row in rows]
    out: dict[str, Any] = {
        "shape": shape,
        "filters": count,
        "parts": len(parts),
        "wanted": sum(right) / events,
        "cover_ms": round(whole * 1e3, 1),
        "one_more_ms": [round(held * 1e3, 1) for held in (statistics.median(took), max(took))],
    }
    for name, words in (("anew", parts), ("grown", grown.parts()), ("common", one._exact() or one._common())):
        summary = understood(words)
        sent = [summary.truth(row) is True for row in rows]
        assert all(said or not due for said, due in zip(sent, right, strict=True))
        out[name] = {"sent": sum(sent) / events, "needless": round(1.0 - sum(right) / max(1, sum(sent)), 3)}
    return out


async def load(port: int, count: int) -> None:
    """Send that many requests over eight connections, one after another on each."""

    async def line(number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for at in range(count // 8):
            writer.write(
                f"POST /call/lookup HTTP/1.1\r\nHost: b\r\nX-Request-Id: {number * 10**6 + at + 1:016x}\r\n"
                "X-Timeout-Ms: 4000\r\nX-Cost-Ms: 10\r\nX-Memory: 16\r\nContent-Length: 8\r\n\r\n"
                "SELECT 1".encode()
            )
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            await reader.readexactly(int(head.split(b"content-length:")[1].split(b"\r\n")[0]))
        writer.close()

    await asyncio.gather(*(line(number) for number in range(1, 9)))


async def requests(operator: str | None, subscribers: int, count: int, ports: dict[str, int]) -> float:
    """Return the CPU milliseconds of a request at a coordinator with that operator file and that many subscribers.

    Raise TimeoutError if it is not ready in time, AssertionError if a subscription is rejected or a request fails.
    """
    with tempfile.TemporaryDirectory() as folder:
        desk, toml, log = str(Path(folder, "desk")), Path(folder, "operator.toml"), Path(folder, "log")
        config = coordinator_config([host_entry(name, port) for name, port in ports.items()])
        Path(folder, "config.json").write_text(
            json.dumps({**config, "operator": desk, "limits": {"memory_mb": 512, "sockets": 4096}})
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
            few = asyncio.Semaphore(8)  # the port takes sixteen callers that have yet to say what they want

            async def subscribe(text: str) -> Any:
                async with few, asyncio.timeout(120.0):
                    reader, writer = await asyncio.open_unix_connection(desk)
                    writer.write(f"subscribe {text}\n".encode())
                    assert (await reader.readline()).startswith(b'{"ack"')
                    return writer

            kept = await asyncio.gather(*(subscribe(text) for text in wanted(subscribers, random.Random(1))))
            await load(port, count // 4)
            began = cpu_s([child.pid])
            await load(port, count)
            took = cpu_s([child.pid]) - began
            assert json.loads(call_operator(desk, "show-stat").splitlines()[0])["calls"]["lookup"]["success"] >= count
            for writer in kept:
                writer.close()
            return took * 1e3 / count
        finally:
            child.send_signal(signal.SIGTERM)
            child.wait(30)


def main() -> None:
    """Run all measurements, or with --needless that one alone, and print JSON."""
    quick = "--quick" in sys.argv
    if "--needless" in sys.argv:
        for shape in ("mixed", *SHAPES):
            for count in (10, 100, 1_000):
                print(json.dumps(needless(shape, count, 2_000 if quick else 10_000)), flush=True)
        return
    out: dict[str, Any] = {"matching": [matching(count, 3 if quick else 5) for count in (1, 1_000, 100_000)]}
    found: dict[str, list[float]] = {mode: [] for mode in MODES}
    with engines([f"s-{n:08x}" for n in range(1, 5)], 0.0, 1) as (ports, _):
        for turn in range(2 if quick else 5):
            for mode in sorted(MODES, reverse=bool(turn % 2)):
                found[mode].append(asyncio.run(requests(*MODES[mode], 1_000 if quick else 3_000, ports)))
    out["cpu_ms"] = {mode: [round(ms, 4) for ms in runs] for mode, runs in found.items()}
    out["ratios_to_off"] = {
        mode: round(statistics.median(now / before for now, before in zip(runs, found["off"], strict=True)), 3)
        for mode, runs in found.items()
    }
    print(json.dumps(out, indent=1))


if __name__ == "__main__":
    main()
