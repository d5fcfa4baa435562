"""Frames between workers of one coordinator, taken from both ends of a connection without a socket."""

import asyncio

from frostspindle.cores import mesh


class Written:
    """A transport that keeps what is written."""

    def __init__(self):
        self.data = b""

    def is_closing(self):
        return False

    def write(self, data):
        self.data += data


async def relayed(method, url, answer):
    """Relay a call; return the frame that was sent and the reply that the frame `answer` brings."""
    caller = mesh._CallerConnection()
    caller.transport = written = Written()
    calling = asyncio.create_task(caller.call(method, url))
    while not written.data:
        await asyncio.sleep(0)
    caller.data_received(answer)
    return written.data, await calling


def call_frame(method, url):
    """Return the frame of the first call on a connection."""
    frame, _ = asyncio.run(relayed(method, url, reply_frame((200, None, "", False))))
    return frame


def reply_frame(reply):
    """Return the frame of the reply to the first call on a connection."""
    owner = mesh._OwnerConnection(None, set())
    owner.transport = written = Written()
    owner._send_reply(1, reply)
    return written.data


def call_of(frame):
    """Decode the frame of a call as its receiver does, after the length."""
    return mesh._OwnerConnection.decoder.decode(frame[4:])
