"""Makes the processes of one coordinator, before and after an upgrade, use the same offset of the steady clock.

They order the requests of a key by arrival time. The first process writes its offset into the shared folder and the
others adopt it, unless the machine has been rebooted since, which restarts the monotonic clock.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

from frostspindle.core import steady_clock

FILE_NAME = "steady-clock"
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
# An offset that differs by more is not from a process of this coordinator, even if the wall clock was changed.
MAX_DIFFERENCE_MS = 24.0 * 3600.0 * 1000.0


def share_offset(folder: Path | None) -> None:
    """Adopt the offset in the shared folder, or store this process's there; do nothing without a usable folder."""
    if folder is None:
        return
    try:
        boot_id = BOOT_ID_PATH.read_text().strip()
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        offset = _read(folder / FILE_NAME, boot_id)
        if offset is None:
            offset = _write(folder, boot_id)
    except OSError:
        return
    if offset is not None:
        steady_clock.set_offset_ms(offset)


def _read(path: Path, boot_id: str) -> float | None:
    """Return the offset in a file; None if it has none from the current boot of the machine."""
    try:
        written_boot_id, text, end = path.read_text().split(" ")
        offset = float(text)
    except (FileNotFoundError, ValueError):  # no file, or a partly written one
        return None
    is_near = abs(offset - steady_clock.offset_ms()) <= MAX_DIFFERENCE_MS
    return offset if written_boot_id == boot_id and end == "end" and is_near else None


def _write(folder: Path, boot_id: str) -> float | None:
    """Store this process's offset in the folder atomically; return the one that is there afterwards."""
    path = folder / FILE_NAME
    temporary = folder / f"{FILE_NAME}.{os.getpid()}"
    try:
        temporary.write_text(f"{boot_id} {steady_clock.offset_ms()!r} end")
        if _read(path, boot_id) is None:
            path.unlink(missing_ok=True)
        with contextlib.suppress(FileExistsError):  # another process was first
            os.link(temporary, path)
    finally:
        temporary.unlink(missing_ok=True)
    return _read(path, boot_id)
