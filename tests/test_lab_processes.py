"""The processes that the lab starts: their ports, and what is told of one that does not become ready."""

import asyncio
import sys

import pytest

from frostspindle.lab.faults.runner import Process, free_port


# Guards against: two processes of a fleet drew the same port before either had bound it, and one never became ready.
def test_no_port_is_drawn_twice():
    ports = [free_port() for _ in range(600)]
    assert len(set(ports)) == len(ports)


# Guards against: a process that was not ready in time was reported without its exit code and its log.
def test_process_that_does_not_become_ready_is_reported_with_its_exit_code_and_log(tmp_path):
    async def play():
        process = Process(3, tmp_path)
        process.command_line = lambda: [sys.executable, "-c", "import sys; sys.exit('address in use')"]
        await process.start()
        await process.child.wait()
        await process.reader
        with pytest.raises(TimeoutError, match="c3, exit code 1: .*address in use"):
            await process.until(lambda: process.events("coordinator_started"), 0.05)

    asyncio.run(play())
