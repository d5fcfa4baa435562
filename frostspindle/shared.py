"""What the processes of one coordinator share over an upgrade: the bans, as files in $TMPDIR.

Owns the folder of this coordinator's name there. A ban is one marker file, so that two processes need no lock to
change and read them. It must never judge what a ban means, never fail for what a killed process has left behind,
and never keep anything that a start without the folder would miss.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from pathlib import Path
from urllib.parse import quote, unquote

REREAD_S = 0.1  # the other process's word must reach engines' gates within 250 ms
BAN = "ban-"


class Shared:
    """The folder, or without $TMPDIR the memory of this one process."""

    def __init__(self, environ: Mapping[str, str], name: str) -> None:
        at = environ.get("TMPDIR", "")
        self.folder = Path(at, f"frostspindle-{quote(name, safe='')}") if at else None
        self.banned: frozenset[str] = frozenset()
        self._timer: asyncio.TimerHandle | None = None

    def start(self, told: Callable[[frozenset[str]], None]) -> None:
        """Tell the bans now, and again whenever the other process changes them."""
        if self.folder is not None:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._told = told
        self._read()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def ban(self, name: str, on: bool) -> None:
        """Keep or end a ban, by OSError not at all."""
        if self.folder is None:
            self._tell(self.banned | {name} if on else self.banned - {name})
            return
        marker = self.folder / (BAN + quote(name, safe=""))
        if on:
            marker.touch()
        else:
            marker.unlink(missing_ok=True)
        self._read()

    def _read(self) -> None:
        if self.folder is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(REREAD_S, self._read)
        try:
            names = [path.name for path in self.folder.iterdir()]
        except OSError:
            return  # whoever took the folder away, the bans known here still hold
        self._tell(frozenset(unquote(name[len(BAN):]) for name in names if name.startswith(BAN)))

    def _tell(self, banned: frozenset[str]) -> None:
        if banned != self.banned:
            self.banned = banned
            self._told(banned)
