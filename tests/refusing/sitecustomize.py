"""A host that refuses to start processes, as a system-call filter does: each way of Python's answers ENOSYS."""

import _posixsubprocess
import errno
import os


def _refuse(*_args, **_kw):
    raise OSError(errno.ENOSYS, os.strerror(errno.ENOSYS))


for _name in ("fork", "forkpty", "posix_spawn", "posix_spawnp", "execv", "execve"):
    setattr(os, _name, _refuse)
_posixsubprocess.fork_exec = _refuse
