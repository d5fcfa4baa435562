"""Frames between workers of one coordinator, encoded and decoded by both ends of a connection without a socket."""

import asyncio

from frostspindle.cores import mesh


class RecordingTransport:
    """A transport that records the written bytes."""

    def __init__(self):
        self.data = b""

    def is_closing(self):
        return False

    def write(self, data):
        self.data += data


async def relayed(method, url, answer_frame):
    """Relay a call; return the frame that was sent, and the reply decoded from `answer_frame`."""
    caller = mesh._CallerConnection()
    caller.transport = recording_transport = RecordingTransport()
    call_task = asyncio.create_task(caller.call(method, url))
    while not recording_transport.data:
        await asyncio.sleep(0)
    caller.data_received(answer_frame)
    return recording_transport.data, await call_task


def call_frame(method, url):
    """Return the frame of the first call on a connection."""
    frame, _ = asyncio.run(relayed(method, url, reply_frame((200, None, "", False))))
    return frame


def reply_frame(reply):
    """Return the frame of the reply to the first call on a connection."""
    owner = mesh._OwnerConnection(None, set())
    owner.transport = recording_transport = RecordingTransport()
    owner._send_reply(1, reply)
    return recording_transport.data


def call_of(frame):
    """Decode the frame of a call, without its length, as the receiver does."""
    return mesh._OwnerConnection.decoder.decode(frame[4:])
