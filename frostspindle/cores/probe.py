"""Check whether this host lets the process start worker processes.

Asked once, before a supervisor is built. On some hosts a system-call filter answers ENOSYS or EPERM; a coordinator
there serves as one process rather than failing to start. The check starts no program: it spawns a path that does not
exist, for which a host that can start processes answers ENOENT.
"""

from __future__ import annotations

import errno
import os

MISSING_PROGRAM = "/nonexistent/frostspindle-probe"  # no program exists there, so nothing runs if spawning works


def worker_start_refusal() -> str | None:
    """Return None if workers can be started, else the reason, e.g. "starting a process: ENOSYS"."""
    try:
        os.posix_spawn(MISSING_PROGRAM, [MISSING_PROGRAM], {})
    except OSError as error:
        if error.errno not in (errno.ENOENT, errno.ENOTDIR):  # these mean that only the path was missing
            return f"starting a process: {errno.errorcode.get(error.errno or 0, error.errno)}"
    return None
