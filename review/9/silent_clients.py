"""Clients that connect by hundreds and say nothing, and connect again when their connection is closed."""

from __future__ import annotations

import asyncio
import sys
import time

WAIT_S = 6.0


async def be_silent(port: int, until: float) -> None:
    """Connect, read until the connection is closed, and come again."""
    while time.time() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.01)
            continue
        try:
            async with asyncio.timeout(WAIT_S):
                while await reader.read(65536):
                    pass
        except (OSError, TimeoutError):
            pass
        writer.close()


async def main() -> None:
    """Be as many clients as the command line says, until the Unix time that it says."""
    port, count, until = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    await asyncio.gather(*(be_silent(port, until) for _ in range(count)))


if __name__ == "__main__":
    asyncio.run(main())
