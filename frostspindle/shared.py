"""State that the processes of one coordinator share during an upgrade: bans, presence and open requests.

It is kept as files in a folder of this coordinator's name in $TMPDIR. Each ban is one marker file, so that processes
can change and read bans without a lock. Files that a killed process left behind must cause no error, and a start
without the folder must lose nothing that it depends on.
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

RETRY_INTERVAL_S = 0.5  # between attempts to use a folder that could not be used at the start
REREAD_INTERVAL_S = 0.1  # a ban set in another process must reach this one's engines within 250 ms
BAN_PREFIX = "ban-"  # marker files of bans
RUN_PREFIX = "run-"  # marker files of running processes
OPEN_COUNT_DIGITS = 8  # width of the number in a process's marker file


def shared_folder(environ: Mapping[str, str], name: str) -> Path | None:
    """Return the folder that the processes of a coordinator share; None where $TMPDIR is unset."""
    parent = environ.get("TMPDIR", "")
    return Path(parent, f"frostspindle-{quote(name, safe='')}") if parent else None


class Shared:
    """The state in the shared folder, or in memory where $TMPDIR is unset or not writable."""

    def __init__(self, environ: Mapping[str, str], name: str, telemetry: Telemetry) -> None:
        self.telemetry = telemetry
        self.configured_folder = shared_folder(environ, name)
        self.folder = self.configured_folder
        self.banned: frozenset[str] = frozenset()
        self.is_sharing = False  # another process of this coordinator is running
        # Requests open in the other processes, at most REREAD_INTERVAL_S ago; None if one of them does not report it.
        self.open_elsewhere: int | None = None
        self._open_here: Callable[[], int] | None = None
        self._on_open_elsewhere_changed: Callable[[], None] = lambda: None
        self._timer: asyncio.TimerHandle | None = None
        self._lock: BinaryIO | None = None

    @property
    def order(self) -> Path | None:
        """Folder in which processes share the order of keyed requests, valid once started; None if there is none."""
        return self.folder

    def start(
        self, on_bans_changed: Callable[[frozenset[str]], None], on_sharing_changed: Callable[[bool], None]
    ) -> None:
        """Mark this process as running, and call both functions: with the bans, and with whether another process
        is running.

        They are called again on each change, within REREAD_INTERVAL_S. Without a usable folder the bans are kept
        in memory and other processes are not detected.
        """
        self._on_bans_changed = on_bans_changed
        self._on_sharing_changed = on_sharing_changed
        if self.configured_folder is not None:
            try:
                self._attach(self.configured_folder)
            except OSError as error:
                self.telemetry.log("shared_folder_failed", folder=str(self.folder), error=repr(error))
                self.folder = None  # serving matters more than the state for an upgrade
        self._read()

    def _attach(self, folder: Path) -> None:
        """Mark this process as running in the folder and write the known bans there. Raise OSError if that fails."""
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        for name in self.banned:
            (folder / (BAN_PREFIX + quote(name, safe=""))).touch()
        self._lock = self._create_marker(folder / f"{RUN_PREFIX}{os.getpid()}-{id(self):x}")
        self.folder = folder

    def _retry(self) -> None:
        """Use the folder if that is possible by now, else schedule another attempt."""
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
        """Publish the number of requests open here; call the second function when that of the others changes."""
        self._open_here = open_here
        self._on_open_elsewhere_changed = on_open_elsewhere_changed

    @staticmethod
    def _create_marker(path: Path) -> BinaryIO:
        """Create and lock a marker file. Only the lock counts, as the system releases it however the process ends."""
        while True:
            marker = open(path, "wb")
            fcntl.flock(marker, fcntl.LOCK_EX)  # another process holds it only for a moment, to check it
            if path.exists():
                return marker
            marker.close()  # another process removed it as stale before it was locked

    def close(self) -> None:
        """Stop reading the folder, and release and remove the marker of this process."""
        if self._timer is not None:
            self._timer.cancel()
        if self._lock is not None:
            self._lock.close()
            Path(self._lock.name).unlink(missing_ok=True)

    def ban(self, name: str, on: bool) -> None:
        """Set or lift the ban of an engine for all processes. Raise OSError if its marker file can't be changed."""
        if self.folder is None:
            self._set_banned(self.banned | {name} if on else self.banned - {name})
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
            return  # the folder was removed; the known bans stay in force
        self._set_banned(frozenset(unquote(name[len(BAN_PREFIX) :]) for name in names if name.startswith(BAN_PREFIX)))
        if self._open_here is not None and self._lock is not None:
            with contextlib.suppress(OSError):  # on a full disk the other processes keep using the number read last
                os.pwrite(self._lock.fileno(), b"%*d" % (OPEN_COUNT_DIGITS, self._open_here()), 0)
        other_markers = [
            marker for name in names if name.startswith(RUN_PREFIX) and self._is_running(marker := self.folder / name)
        ]
        open_counts = [self._read_open_count(marker) for marker in other_markers]
        previous = self.open_elsewhere
        self.open_elsewhere = None if None in open_counts else sum(filter(None, open_counts))
        if bool(other_markers) != self.is_sharing:
            self.is_sharing = bool(other_markers)
            self._on_sharing_changed(self.is_sharing)
        elif self.open_elsewhere != previous and other_markers:
            self._on_open_elsewhere_changed()

    @staticmethod
    def _read_open_count(marker: Path) -> int | None:
        """Return the number of open requests from a process's marker; None unless it holds a complete number."""
        try:
            with open(marker, "rb") as file:
                content = file.read(OPEN_COUNT_DIGITS + 1)
        except OSError:
            return None
        return int(content) if len(content) == OPEN_COUNT_DIGITS and content.strip().isdigit() else None

    def _is_running(self, marker: Path) -> bool:
        """Whether another process has this marker locked; an unlocked one is stale and removed."""
        if self._lock is not None and marker.name == Path(self._lock.name).name:
            return False
        try:
            with open(marker, "rb") as file:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                marker.unlink(missing_ok=True)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def _set_banned(self, banned: frozenset[str]) -> None:
        if banned != self.banned:
            self.banned = banned
            self._on_bans_changed(banned)
