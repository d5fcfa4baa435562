"""Signals that the program handles: blocked while a process starts and ends, handled in between.

Without the mask, a signal before the handlers are installed or after they are removed would have its default effect,
which kills the process.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # loaded first, so that no signal is missed, and so with few imports of its own
    import asyncio
    from collections.abc import Callable

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def block() -> None:
    """Block the signals that the program handles; signals that arrive stay pending."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock() -> None:
    """Unblock the signals once the handlers are installed; pending ones are delivered now."""
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
