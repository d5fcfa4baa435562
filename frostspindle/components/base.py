"""The interface by which an optional part registers itself with the program.

Owns the hooks and what each may raise. It must never know a part by name: `registry` lists them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from frostspindle.config import Config

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext

BanListener = Callable[[frozenset[str]], None]  # called with the names of all banned engines


class Component:
    """An optional part of the program, created before the program starts; each hook does nothing unless overridden.

    All hooks run in the event loop's thread. A component makes its service reachable as an attribute of the program,
    which is None while the part is not configured.
    """

    def __init__(self, program: ProgramContext) -> None:
        self.program = program

    @property
    def port(self) -> int | None:
        """Return the port that the part listens on, for the log line `ready`; None if it has none."""
        return None

    @property
    def client_connections(self) -> int:
        """Return the number of clients that are connected to the part."""
        return 0

    def operator_calls(self) -> dict[str, Callable[..., Any]]:
        """Return the operators' calls that the program adds for this part, by name."""
        return {}

    def wrap_ban_listener(self, listener: BanListener) -> BanListener:
        """Return what is to be called with the banned engines in place of `listener`."""
        return listener

    async def start(self) -> None:
        """Start the part; OSError, which names the setting, if an address can't be had."""

    def on_engine_enabled(self, name: str) -> None:
        """Take note that an operator lifts the ban of an engine."""

    def drain(self) -> None:
        """Finish open requests and send clients away."""

    def resume(self) -> None:
        """End a drain."""

    def prepare_reload(self, config: Config) -> None:
        """Read the part's own files for a reload; ConfigError, or another error, ends the reload without a change.

        At most one file may be open at a time: a single descriptor is reserved for it.
        """

    def on_reload(self, config: Config) -> None:
        """Take over a configuration that was read anew; ConfigError for a change that needs a restart."""

    def hand_over(self) -> None:
        """Release addresses that a successor needs: it accepts from now on."""

    def on_stopping(self) -> None:
        """Begin to give up duties; requests are still accepted and answered for a while."""

    def abandon_requests(self) -> None:
        """Give up what the part still does for open requests, just before the core fails them."""

    async def stop(self) -> None:
        """Release all resources of the part."""
