"""Signals that the program acts on: blocked while a process starts and ends, handled in between.

Owns the mask of these signals. Without it, one that comes before the handlers stand, or after they are gone, would do
what the system does by default, and that is to kill the process.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # this module is loaded before all others, so that no signal is missed: it loads as little as it can
    import asyncio
    from collections.abc import Callable

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def block() -> None:
    """Block the signals that the program handles; the system keeps those that come pending."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock() -> None:
    """Unblock them once the handlers are installed; pending ones are delivered now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def handle(
    loop: asyncio.AbstractEventLoop,
    stop: Callable[[], object],
    report: Callable[[], object],
    reload: Callable[[], object],
) -> None:
    """Install the handlers of a serving process for as long as the loop lasts, and unblock the signals.

    SIGTERM and SIGINT call `stop`, SIGUSR1 `report` and SIGHUP `reload`.
    """
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGUSR1, report)
    loop.add_signal_handler(signal.SIGHUP, reload)
    unblock()
