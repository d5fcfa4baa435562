"""Runs member processes of the replicated log, without a coordinator, for its tests and benchmarks.

The members connect through a TCP relay on loopback. Each process reads calls as JSON lines on standard input, answers
on standard output and logs its events on standard error. Checking a run is left to the caller.
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
    """A state machine that stores its entries as text and keeps a running digest of them."""

    def __init__(self) -> None:
        self.entries: list[tuple[int, str]] = []
        self.sum = b""

    def apply(self, index: int, command: bytes) -> bytes:
        """Append the entry and return the first four bytes of the running SHA-256 over all indexes and commands."""
        self.entries.append((index, command.decode(errors="replace")))
        self.sum = hashlib.sha256(self.sum + index.to_bytes(8, "big") + command).digest()
        return self.sum[:4]

    def state(self) -> bytes:
        """Return the running digest without the entries: 32 bytes, empty before the first entry."""
        return self.sum

    def restore(self, index: int, state: bytes) -> None:
        """Restore the digest from a snapshot and drop the entries, which a snapshot does not contain."""
        self.sum, self.entries = state, []


class Member(Process):
    """One member process of the replicated log, called over its standard input and output."""

    calls: dict[int, asyncio.Future[dict[str, Any]]]
    config: dict[str, Any]
    numbers = itertools.count(1)

    async def start(self) -> None:
        """Start the process with `config` as its argument, and read its answers and log lines.

        Return as soon as the process exists; it may not be ready yet.
        """
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
        self.reader = asyncio.create_task(self._read_both(self.child))

    async def _read_both(self, child: asyncio.subprocess.Process) -> None:
        await asyncio.gather(self._read(child), self._read_answers(child))

    async def _read_answers(self, child: asyncio.subprocess.Process) -> None:
        assert child.stdout is not None
        async for line in child.stdout:
            answer = json.loads(line)
            self.calls.pop(answer["number"]).set_result(answer)
        for call in self.calls.values():
            call.set_result({"error": "Died"})

    async def call(self, kind: str, text: str = "", within_s: float = 10.0) -> dict[str, Any]:
        """Send a call (`propose`, `barrier`, `entries`, `figures`, `add` or `rem`) and return the answer.

        `error` in the answer is the class name of an exception, or `Died` if the process ended first; `took_s` is the
        duration of the call in the member process.
        """
        assert self.child is not None and self.child.stdin is not None
        number = next(self.numbers)
        future = self.calls[number] = asyncio.get_running_loop().create_future()
        self.child.stdin.write(
            json.dumps({"number": number, "call": kind, "text": text, "within_s": within_s}).encode() + b"\n"
        )
        return await future

    @property
    def journal(self) -> Path:
        """Return the path of the member's write-ahead log."""
        return self.folder / "log" / "journal"


class ReplicaMembers:
    """A cluster of `count` members named c0, c1, ..., of which the first `voters` vote."""

    def __init__(self, count: int, voters: int, script: Script, seed: int, **options: Any) -> None:
        self.streams, self.voters, self.options = Streams(count, script, seed), voters, options
        self.folder = tempfile.TemporaryDirectory()
        self.members = [Member(n, Path(self.folder.name, f"c{n}")) for n in range(count)]

    async def start(self) -> ReplicaMembers:
        """Start the relay and all members, and return self once each member has logged a leader.

        Raise TimeoutError for a member that has not within READY_S seconds.
        """
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
                **self.options,
            }
        await asyncio.gather(*(member.start() for member in self.members))
        await asyncio.gather(*(m.until(lambda m=m: m.events("replica_leader_changed")) for m in self.members))
        return self

    async def leader(self, within_s: float = 30.0, excluding: int = -1) -> Member:
        """Wait until a voter other than number `excluding` reports that it leads, and return it.

        Raise TimeoutError after `within_s` seconds.
        """
        async with asyncio.timeout(within_s):
            while True:
                for member in self.members[: self.voters]:
                    if member.child is not None and member.number != excluding:
                        figures = await member.call("figures")
                        if figures.get("leads"):
                            return member
                await asyncio.sleep(0.05)

    async def close(self) -> list[int | None]:
        """End all members with SIGTERM, close the relay and delete the files.

        Return the exit codes, with None for a member that was not running.
        """
        codes = list(await asyncio.gather(*(member.end(signal.SIGTERM) for member in self.members)))
        await self.streams.close()
        self.folder.cleanup()
        return codes


async def main(config: dict[str, Any]) -> None:
    """Run a member process until SIGTERM or the end of its standard input."""
    from frostspindle.replica.base import LogUnavailableError, OutcomeUnknownError
    from frostspindle.replica.service import ReplicaService
    from frostspindle.telemetry import Telemetry

    machine = TextStateMachine()
    config["folder"] = Path(config["folder"])
    replica = ReplicaService(secret=SECRET.encode(), telemetry=Telemetry(config["me"]), **config)
    replica.attach("t", machine)
    await replica.start()
    loop, ended = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    async def answer(call: dict[str, Any]) -> None:
        kind, within_s, result = call["call"], call["within_s"], {}
        started_at = time.monotonic()
        try:
            if kind == "propose":
                result["index"] = (await replica.propose("t", call["text"].encode(), within_s)).index
            elif kind == "barrier":
                result["index"] = await replica.barrier(within_s)
            elif kind == "entries":
                result |= {"entries": machine.entries, "sum": machine.sum.hex()}
            elif kind == "figures":
                result |= replica.figures()
            else:
                await replica.change_voters(kind, call["text"], within_s)
        except (LogUnavailableError, OutcomeUnknownError) as error:
            result["error"] = type(error).__name__
        print(json.dumps({**result, "number": call["number"], "took_s": time.monotonic() - started_at}), flush=True)

    async def read_calls() -> None:
        tasks = set()
        async for line in reader:
            tasks.add(task := loop.create_task(answer(json.loads(line))))
            task.add_done_callback(tasks.discard)
        ended.set()

    call_reader = loop.create_task(read_calls())
    await ended.wait()
    await replica.close()
    call_reader.cancel()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
