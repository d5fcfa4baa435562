"""Injects faults of the machine into a process; the interpreter loads this module if its folder is on PYTHONPATH.

CLOCK_OFFSET_FILE names a file with a double, the offset of the wall clock in seconds: a write to it steps the clocks of
all processes that were started with it. Monotonic clocks are not affected. SOCKET_FAULTS is the seed of failing system
calls on sockets; without it none fail.
"""

import mmap
import os
import struct
import time

OFFSET = struct.Struct("<d")
_NANOSECONDS = 1_000_000_000


def install(path: str) -> None:
    """Add the offset in this file to the results of `time.time` and `time.time_ns`."""
    with open(path, "rb") as file:
        shared = mmap.mmap(file.fileno(), OFFSET.size, access=mmap.ACCESS_READ)
    real_time, real_time_ns = time.time, time.time_ns

    def stepped_time() -> float:
        return real_time() + OFFSET.unpack(shared[: OFFSET.size])[0]

    def stepped_time_ns() -> int:
        return real_time_ns() + int(OFFSET.unpack(shared[: OFFSET.size])[0] * _NANOSECONDS)

    time.time = stepped_time
    time.time_ns = stepped_time_ns


if "CLOCK_OFFSET_FILE" in os.environ:
    install(os.environ["CLOCK_OFFSET_FILE"])
if "SOCKET_FAULTS" in os.environ:
    from socket_faults import SocketFaults  # this folder is on the path

    SocketFaults(os.environ["SOCKET_FAULTS"]).install()
