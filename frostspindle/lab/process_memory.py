"""The memory of a process and its children, as the kernel counts it."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

KB_PER_MB = 1024.0


def resident_mb(pid: int) -> float:
    """Return the memory of a process and its children in MB; what they share counts once."""
    return sum(_proportional_kb(member) for member in _with_children(pid)) / KB_PER_MB


def _with_children(pid: int) -> list[int]:
    try:
        children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    except OSError:
        return [pid]
    return [pid, *(int(child) for child in children)]


def _proportional_kb(pid: int) -> int:
    """Return the proportional set size of a process in KB; 0 if it has ended."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
            if line.startswith("Pss:"):
                return int(line.split()[1])
    return 0
