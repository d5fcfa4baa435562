"""Check whether this host allows starting worker processes.

Done once, before the supervisor is created. On some hosts a system-call filter returns ENOSYS or EPERM; the coordinator
then runs as a single process instead of failing to start. The check runs no program: it spawns a path that does not
exist, which fails with ENOENT if the host can start processes.
"""

from __future__ import annotations

import errno
import os

MISSING_PROGRAM = "/nonexistent/frostspindle-probe"  # must not exist


def worker_start_refusal() -> str | None:
    """Return None if workers can be started, else the reason, e.g. "starting a process: ENOSYS"."""
    try:
        os.posix_spawn(MISSING_PROGRAM, [MISSING_PROGRAM], {})
    except OSError as error:
        if error.errno not in (errno.ENOENT, errno.ENOTDIR):  # only the path is missing
            return f"starting a process: {errno.errorcode.get(error.errno or 0, error.errno)}"
    return None
