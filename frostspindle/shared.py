"""What the processes of one coordinator share over an upgrade: bans, presence and open requests, as files in $TMPDIR.

Owns the folder of this coordinator's name there. A ban is one marker file, so that two processes need no lock to
change and read them. It must never judge what a ban means, never fail for what a killed process has left behind,
and never keep anything that a start without the folder would miss.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import BinaryIO
from urllib.parse import quote, unquote

from frostspindle.telemetry import Telemetry

RETRY_INTERVAL_S = 0.5  # between attempts at a folder that could not be used at the start
REREAD_INTERVAL_S = 0.1  # the other process's word must reach engines' gates within 250 ms
BAN_PREFIX = "ban-"  # of the markers of bans
RUN_PREFIX = "run-"  # of the markers of running processes
OPEN_FIGURE_DIGITS = 8  # of the figure in a process's marker


def shared_folder(environ: Mapping[str, str], name: str) -> Path | None:
    """Return the folder that the processes of a coordinator share; None where $TMPDIR is unset."""
    at = environ.get("TMPDIR", "")
    return Path(at, f"frostspindle-{quote(name, safe='')}") if at else None


class Shared:
    """The shared folder, or, where $TMPDIR is unset or not writable, the memory of this one process."""

    def __init__(self, environ: Mapping[str, str], name: str, telemetry: Telemetry) -> None:
        self.telemetry = telemetry
        self.configured_folder = shared_folder(environ, name)
        self.folder = self.configured_folder
        self.banned: frozenset[str] = frozenset()
        self.is_sharing = False  # another process of this coordinator runs too
        # Requests that the others have open, at most REREAD_INTERVAL_S ago; None: one of them tells not.
        self.open_elsewhere: int | None = None
        self._open_here: Callable[[], int] | None = None
        self._on_open_elsewhere_changed: Callable[[], None] = lambda: None
        self._timer: asyncio.TimerHandle | None = None
        self._lock: BinaryIO | None = None

    @property
    def order(self) -> Path | None:
        """Folder where processes keep the order of their keys, once started; None: there is none."""
        return self.folder

    def start(
        self, on_bans_changed: Callable[[frozenset[str]], None], on_sharing_changed: Callable[[bool], None]
    ) -> None:
        """Mark this process as running, and call both functions: with the bans, and with whether another process
        runs.

        They are called again on each change, within REREAD_INTERVAL_S. Without a usable folder the bans are kept
        in memory and no other process is seen.
        """
        self._on_bans_changed = on_bans_changed
        self._on_sharing_changed = on_sharing_changed
        if self.configured_folder is not None:
            try:
                self._attach(self.configured_folder)
            except OSError as error:
                self.telemetry.log("shared_folder_failed", folder=str(self.folder), error=repr(error))
                self.folder = None  # serving goes before what an upgrade needs
        self._read()

    def _attach(self, folder: Path) -> None:
        """Mark this process as running in the folder, with the bans that are known here; OSError if that fails."""
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        for name in self.banned:
            (folder / (BAN_PREFIX + quote(name, safe=""))).touch()
        self._lock = self._mark(folder / f"{RUN_PREFIX}{os.getpid()}-{id(self):x}")
        self.folder = folder

    def _retry(self) -> None:
        """Use the folder if that is possible now, else try again later."""
        assert self.configured_folder is not None
        try:
            self._attach(self.configured_folder)
        except OSError:
            self._timer = asyncio.get_running_loop().call_later(RETRY_INTERVAL_S, self._retry)
            return
        self.telemetry.log("shared_folder_restored", folder=str(self.folder))
        self._read()

    def publish_open_requests(
        self, open_here: Callable[[], int], on_open_elsewhere_changed: Callable[[], None]
    ) -> None:
        """Tell the others how many requests are open here, and call the second function whenever theirs has changed."""
        self._open_here = open_here
        self._on_open_elsewhere_changed = on_open_elsewhere_changed

    @staticmethod
    def _mark(path: Path) -> BinaryIO:
        """A file under a lock that the system drops with its process, however that ends: only the lock is trusted."""
        while True:
            marker = open(path, "wb")
            fcntl.flock(marker, fcntl.LOCK_EX)  # the other process holds it for a moment at most, to look at it
            if path.exists():
                return marker
            marker.close()  # and took it for a leftover before the lock was on it

    def close(self) -> None:
        """Stop reading the folder, release this process's marker and remove it."""
        if self._timer is not None:
            self._timer.cancel()
        if self._lock is not None:
            self._lock.close()
            Path(self._lock.name).unlink(missing_ok=True)

    def ban(self, name: str, on: bool) -> None:
        """Set or lift the ban of an engine, for all processes; OSError if its marker file can't be changed."""
        if self.folder is None:
            self._tell(self.banned | {name} if on else self.banned - {name})
            return
        marker = self.folder / (BAN_PREFIX + quote(name, safe=""))
        if on:
            marker.touch()
        else:
            marker.unlink(missing_ok=True)
        self._read()

    def _read(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self.folder is None:
            if self.configured_folder is not None:
                self._timer = asyncio.get_running_loop().call_later(RETRY_INTERVAL_S, self._retry)
            return
        self._timer = asyncio.get_running_loop().call_later(REREAD_INTERVAL_S, self._read)
        try:
            names = [path.name for path in self.folder.iterdir()]
        except OSError:
            return  # whoever took the folder away, the bans known here still hold
        self._tell(frozenset(unquote(name[len(BAN_PREFIX) :]) for name in names if name.startswith(BAN_PREFIX)))
        if self._open_here is not None and self._lock is not None:
            with contextlib.suppress(OSError):  # a full disk: the others go on with what they read last
                os.pwrite(self._lock.fileno(), b"%*d" % (OPEN_FIGURE_DIGITS, self._open_here()), 0)
        others = [marker for name in names if name.startswith(RUN_PREFIX) and self._runs(marker := self.folder / name)]
        told = [self._told_open(marker) for marker in others]
        before = self.open_elsewhere
        self.open_elsewhere = None if None in told else sum(filter(None, told))
        if bool(others) != self.is_sharing:
            self.is_sharing = bool(others)
            self._on_sharing_changed(self.is_sharing)
        elif self.open_elsewhere != before and others:
            self._on_open_elsewhere_changed()

    @staticmethod
    def _told_open(marker: Path) -> int | None:
        """What another process says that it has open; anything but a plain figure counts as not told."""
        try:
            with open(marker, "rb") as held:
                told = held.read(OPEN_FIGURE_DIGITS + 1)
        except OSError:
            return None
        return int(told) if len(told) == OPEN_FIGURE_DIGITS and told.strip().isdigit() else None

    def _runs(self, marker: Path) -> bool:
        """Whether another process holds this marker; one that nobody holds was left behind."""
        if self._lock is not None and marker.name == Path(self._lock.name).name:
            return False
        try:
            with open(marker, "rb") as held:
                fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
                marker.unlink(missing_ok=True)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def _tell(self, banned: frozenset[str]) -> None:
        if banned != self.banned:
            self.banned = banned
            self._on_bans_changed(banned)
