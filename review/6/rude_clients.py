"""Bad clients: they send at full speed what can't be used, read what they receive, and come again when turned away."""

from __future__ import annotations

import asyncio
import sys
import time

STATEMENT = b"SELECT '" + b"x" * 60_000 + b"'"
NO_SUCH_CLASS = (
    b"POST /call/nosuch HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: 0123456789abcdef\r\nX-Timeout-Ms: 2000\r\n"
    b"Content-Length: %d\r\n\r\n%b" % (len(STATEMENT), STATEMENT)
)
ENDLESS = b"POST /call/tile-lookup HTTP/1.1\r\nHost: app.svc\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1000\r\n" + b"y" * 4096 + b"\r\n"
MANY = 300 * b"GET /ping HTTP/1.1\r\nHost: app.svc\r\n\r\n"
WAIT_S = 3.0  # within which such a client is owed an answer or a close


async def send(kind: int, writer: asyncio.StreamWriter) -> None:
    """Send a class that doesn't exist, an endless message, or hundreds of requests at once."""
    if kind == 0:
        writer.write(NO_SUCH_CLASS)
    elif kind == 1:
        writer.write(ENDLESS)
        while True:
            writer.write(CHUNK)
            await writer.drain()
    else:
        writer.write(MANY)
    await writer.drain()


async def be_rude(port: int, kind: int, until: float) -> None:
    """Connect, send, read what is received, and come again."""
    while time.time() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.01)
            continue
        sending = asyncio.create_task(send(kind, writer))
        try:
            async with asyncio.timeout(WAIT_S):
                while await reader.read(65536):
                    pass
        except (OSError, TimeoutError):
            pass
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        writer.close()


async def main() -> None:
    """Be as many clients as the command line says, until the Unix time that it says."""
    port, count, until = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    await asyncio.gather(*(be_rude(port, number % 3, until) for number in range(count)))


if __name__ == "__main__":
    asyncio.run(main())
