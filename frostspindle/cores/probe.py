"""Whether this process may become a coordinator of several: can it start a process?

Owns the one question asked before a supervisor is built. Some hosts refuse that to a process (a system-call filter
answers ENOSYS or EPERM); a coordinator there serves as one process rather than failing to start. It must never start
a program: the probe spawns a path that does not exist, which only a host that can start processes answers ENOENT.
"""

from __future__ import annotations

import errno
import os

NOWHERE = "/nonexistent/frostspindle-probe"  # no program is ever there, so nothing runs when spawning works


def refused() -> str | None:
    """None where workers can be had, else the reason in a few words, e.g. "starting a process: ENOSYS"."""
    try:
        os.posix_spawn(NOWHERE, [NOWHERE], {})
    except OSError as error:
        if error.errno not in (errno.ENOENT, errno.ENOTDIR):  # spawned, and the path was missing: it works
            return f"starting a process: {errno.errorcode.get(error.errno or 0, error.errno)}"
    return None
