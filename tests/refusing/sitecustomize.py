"""Emulates a host whose system-call filter forbids new processes: every call that starts one fails with ENOSYS."""

import _posixsubprocess
import errno
import os


def _refuse(*_args, **_kw):
    raise OSError(errno.ENOSYS, os.strerror(errno.ENOSYS))


for _name in ("fork", "forkpty", "posix_spawn", "posix_spawnp", "execv", "execve"):
    setattr(os, _name, _refuse)
_posixsubprocess.fork_exec = _refuse
