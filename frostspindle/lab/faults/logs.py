"""Processes of the replicated log alone, with the relay of connections between them: for tests and benches of it.

Owns the processes, their files and what they tell; each reads calls as JSON lines on standard input and answers on
standard output, its events come on standard error. It must never judge a run, and listens on loopback only.
"""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import json
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from frostspindle.lab.faults.runner import Process, free_port
from frostspindle.lab.faults.script import Script
from frostspindle.lab.faults.streams import Streams

SECRET = "a secret of the lab, and of nobody else"


class TextStateMachine:
    """A state machine that keeps its entries as text, with a running digest of them."""

    def __init__(self) -> None:
        self.entries: list[tuple[int, str]] = []
        self.sum = b""

    def apply(self, index: int, command: bytes) -> bytes:
        """Append the entry and return the first four bytes of the running SHA-256 over all indexes and commands."""
        self.entries.append((index, command.decode(errors="replace")))
        self.sum = hashlib.sha256(self.sum + index.to_bytes(8, "big") + command).digest()
        return self.sum[:4]

    def state(self) -> bytes:
        """Return the running digest: 32 bytes, empty before the first entry. The entries themselves are not in it."""
        return self.sum

    def restore(self, index: int, state: bytes) -> None:
        """Take the digest from a snapshot and drop the entries, which it does not contain."""
        self.sum, self.entries = state, []


class Member(Process):
    """One process of the replicated log, called over its standard input and output."""

    calls: dict[int, asyncio.Future[dict[str, Any]]]
    config: dict[str, Any]
    numbers = itertools.count(1)

    async def start(self) -> None:
        """Start the process with `config` as its argument and read its answers and log lines; it may not be ready
        yet."""
        self.lives += 1
        self.calls = {}
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "frostspindle.lab.faults.logs",
            json.dumps(self.config),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            cwd=Path(__file__).parents[3],
        )
        self.reader = asyncio.create_task(self._both(self.child))

    async def _both(self, child: asyncio.subprocess.Process) -> None:
        await asyncio.gather(self._read(child), self._answers(child))

    async def _answers(self, child: asyncio.subprocess.Process) -> None:
        assert child.stdout is not None
        async for line in child.stdout:
            answer = json.loads(line)
            self.calls.pop(answer["number"]).set_result(answer)
        for call in self.calls.values():
            call.set_result({"error": "Died"})

    async def call(self, what: str, text: str = "", within_s: float = 10.0) -> dict[str, Any]:
        """Send a call (`propose`, `barrier`, `entries`, `figures`, `add` or `rem`) and return the answer; `error` in
        it names the class of an error, and is `Died` if the process ended first. `took_s`: seconds that it took
        there."""
        assert self.child is not None and self.child.stdin is not None
        number = next(self.numbers)
        future = self.calls[number] = asyncio.get_running_loop().create_future()
        self.child.stdin.write(
            json.dumps({"number": number, "call": what, "text": text, "within_s": within_s}).encode() + b"\n"
        )
        return await future

    @property
    def journal(self) -> Path:
        """Path of the member's write-ahead log."""
        return self.folder / "log" / "journal"


class ReplicaMembers:
    """So many members, the first `voters` of them voting, named c0, c1, ..."""

    def __init__(self, count: int, voters: int, script: Script, seed: int, **more: Any) -> None:
        self.streams, self.voters, self.more = Streams(count, script, seed), voters, more
        self.folder = tempfile.TemporaryDirectory()
        self.members = [Member(n, Path(self.folder.name, f"c{n}")) for n in range(count)]

    async def start(self) -> ReplicaMembers:
        """Start the relay and all members; return self once each member has logged a leader. TimeoutError if one has
        not within READY_S seconds."""
        await self.streams.start()
        for member in self.members:
            member.folder.mkdir()
            port = free_port(socket.SOCK_STREAM)
            self.streams.place(member.number, ("127.0.0.1", port))
            member.config = {
                "me": member.name,
                "folder": str(member.folder / "log"),
                "first_start": True,
                "voters": [
                    f"c{n}=" + (f"127.0.0.1:{port}" if n == member.number else self.streams.outside(member.number, n))
                    for n in range(self.voters)
                ],
                **self.more,
            }
        await asyncio.gather(*(member.start() for member in self.members))
        await asyncio.gather(*(m.until(lambda m=m: m.events("replica_leader_changed")) for m in self.members))
        return self

    async def leader(self, within_s: float = 30.0, excluding: int = -1) -> Member:
        """Return the voter that leads, once one says so, but never number `but`; TimeoutError after `within_s`
        seconds."""
        async with asyncio.timeout(within_s):
            while True:
                for member in self.members[: self.voters]:
                    if member.child is not None and member.number != excluding:
                        figures = await member.call("figures")
                        if figures.get("leads"):
                            return member
                await asyncio.sleep(0.05)

    async def close(self) -> list[int | None]:
        """End all members with SIGTERM, close the relay and delete the files; return the exit codes, None for a
        member that was not running."""
        codes = list(await asyncio.gather(*(member.end(signal.SIGTERM) for member in self.members)))
        await self.streams.close()
        self.folder.cleanup()
        return codes


async def main(config: dict[str, Any]) -> None:
    """Run one member's process until SIGTERM or the end of its standard input."""
    from frostspindle.replica.base import LogUnavailableError, OutcomeUnknownError
    from frostspindle.replica.service import ReplicaService
    from frostspindle.telemetry import Telemetry

    notes = TextStateMachine()
    config["folder"] = Path(config["folder"])
    replica = ReplicaService(secret=SECRET.encode(), telemetry=Telemetry(config["me"]), **config)
    replica.attach("t", notes)
    await replica.start()
    loop, ended = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    async def answer(call: dict[str, Any]) -> None:
        what, within_s, out = call["call"], call["within_s"], {}
        began = time.monotonic()
        try:
            if what == "propose":
                out["index"] = (await replica.propose("t", call["text"].encode(), within_s)).index
            elif what == "barrier":
                out["index"] = await replica.barrier(within_s)
            elif what == "entries":
                out |= {"entries": notes.entries, "sum": notes.sum.hex()}
            elif what == "figures":
                out |= replica.figures()
            else:
                await replica.change_voters(what, call["text"], within_s)
        except (LogUnavailableError, OutcomeUnknownError) as error:
            out["error"] = type(error).__name__
        print(json.dumps({**out, "number": call["number"], "took_s": time.monotonic() - began}), flush=True)

    async def calls() -> None:
        tasks = set()
        async for line in reader:
            tasks.add(task := loop.create_task(answer(json.loads(line))))
            task.add_done_callback(tasks.discard)
        ended.set()

    work = loop.create_task(calls())
    await ended.wait()
    await replica.close()
    work.cancel()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
