"""Stand-ins for the peers of a coordinator: two HTTP engines, one TDS engine and the event bus.

Every query runs for SLOW_S seconds and returns the statement itself. Stop it with Ctrl-C.
"""

import asyncio
import contextlib
import json

from aiohttp import web

from frostspindle.net.tds import codec

SLOW_S = 0.2
ENGINES = {"toy-1": 7001, "toy-2": 7002}
BUS, TDS = 7070, 14331


class Engine:
    """An HTTP engine; a poll is answered when the query ends, or after 250 ms with a constant progress."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.running: dict[str, asyncio.Task[str]] = {}

    async def run(self, statement: str) -> str:
        """Sleep for SLOW_S seconds, then return one row: engine name, length of the statement and the statement."""
        await asyncio.sleep(SLOW_S)
        words = " ".join(statement.split())
        return f"{self.name}\t{len(words)}\t{words}\n"

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one call: health check, load report, new query (POST), poll of a query, cancellation (DELETE).

        A new query or a poll waits for up to 250 ms, then gets 202 if the query still runs; an unknown ticket gets 500.
        A PUT is accepted without effect.
        """
        parts = request.path.strip("/").split("/")
        if parts[0] in ("healthz", "stats"):
            return web.Response(headers={"X-Meter": self.meter()})
        if request.method == "POST":
            ticket = request.headers["X-Ticket"]
            statement = (await request.read()).decode()
            self.running[ticket] = asyncio.create_task(self.run(statement))
            print(f"{self.name}: {request.headers['X-Queue']} {ticket} priority {request.headers['X-Priority']}")
        else:
            ticket = parts[2] if len(parts) > 2 else ""
        query = self.running.get(ticket)
        if request.method in ("PUT", "DELETE"):
            if query and request.method == "DELETE":
                self.running.pop(ticket).cancel()
            return web.Response(status=204)
        if query is None:
            return web.Response(status=500)
        await asyncio.wait((query,), timeout=0.25)
        if not query.done():
            return web.Response(status=202, headers={"X-Remark": "pct", "X-Value": "0.5", "X-Meter": self.meter()})
        return web.Response(text=query.result(), headers={"X-Pages": "1", "X-Meter": self.meter()})

    def meter(self) -> str:
        """Return the load report for the X-Meter header; 8 running queries are full load."""
        busy = sum(not query.done() for query in self.running.values())
        return f"load_share:{min(1.0, busy / 8):.2f};depth:0;x0:{min(1.0, busy / 32):.2f}"


async def bus(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve the event bus on one connection: an event with the complete engine list, then its offset every second.

    A subscriber at offset 1 or later gets only the offsets.
    """
    last_known_offset = int((await reader.readline()).split()[1])
    hosts = [
        {
            "host": name,
            "dial": f"127.0.0.1:{port}",
            "site": "floor-1",
            "class": "std-8",
            "block": 0,
            "health": "active",
            "share": 1.0,
            "born_ms": 0,
        }
        for name, port in ENGINES.items()
    ]
    try:
        if last_known_offset < 1:
            event = {"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}
            writer.write(json.dumps(event).encode() + b"\n")
        while True:
            writer.write(b"1\n")
            await writer.drain()
            await asyncio.sleep(1.0)
    except OSError:
        pass


async def tds(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one TDS session: accept any login, without encryption, and answer each batch with its text as one row."""
    splitter = codec.PacketReassembler(1 << 20)
    while data := await reader.read(4096):
        for message in splitter.feed(data):
            if message.kind == codec.PRELOGIN:
                response = codec.prelogin({codec.O_ENCRYPTION: bytes((codec.ENCRYPT_NOT_SUP,))})
            elif message.kind == codec.LOGIN7:
                response = codec.login_ack("toy", codec.DEFAULT_PACKET_BYTES)
            elif message.kind == codec.ATTENTION:
                response = codec.done(codec.DONE_ATTN)
            else:
                await asyncio.sleep(SLOW_S)
                response = codec.text_result(("engine", "statement"), [("toy-tds", codec.read_batch(message.body))])
            writer.write(codec.packets(codec.RESULT, response))
    writer.close()


async def main() -> None:
    """Start all stand-ins on loopback and run until the process is interrupted."""
    loop = asyncio.get_running_loop()
    for name, port in ENGINES.items():
        await loop.create_server(web.Server(Engine(name).handle), "127.0.0.1", port)
    await asyncio.start_server(bus, "127.0.0.1", BUS)
    await asyncio.start_server(tds, "127.0.0.1", TDS)
    print(f"engines at {sorted(ENGINES.values())}, bus at {BUS}, TDS engine at {TDS}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
