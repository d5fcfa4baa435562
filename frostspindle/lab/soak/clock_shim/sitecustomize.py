"""Steps the wall clock of a process of the soak, as an operator or a time service may step that of its machine.

Loaded by the interpreter at its start where this folder is on PYTHONPATH. The offset, in seconds, is a double in the
file that CLOCK_OFFSET_FILE names; whoever writes it steps the clocks of all processes that were started with it.
The monotonic clocks run on.
"""

import mmap
import os
import struct
import time

OFFSET = struct.Struct("<d")
_NANOSECONDS = 1_000_000_000


def install(path: str) -> None:
    """Make `time.time` and `time.time_ns` tell the time with the offset in this file."""
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
