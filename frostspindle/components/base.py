"""The interface between an optional part and the program: the hooks, and the errors each may raise.

The parts themselves are listed in `registry`.
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

    All hooks run in the event loop's thread. A component sets its service as an attribute of the program, which is
    None for a part that is not configured.
    """

    def __init__(self, program: ProgramContext) -> None:
        self.program = program

    @property
    def port(self) -> int | None:
        """Return the port that the part listens on, for the log line `coordinator_started`; None if it has none."""
        return None

    @property
    def client_connections(self) -> int:
        """Return the number of client connections of the part."""
        return 0

    def operator_calls(self) -> dict[str, Callable[..., Any]]:
        """Return the operators' calls of this part by name."""
        return {}

    def wrap_ban_listener(self, listener: BanListener) -> BanListener:
        """Return the listener to call with the banned engines instead of `listener`."""
        return listener

    async def start(self) -> None:
        """Start the part. Raise OSError, which names the setting, if an address can't be bound."""

    def on_engine_enabled(self, name: str) -> None:
        """Handle an operator's lifting of an engine's ban."""

    def drain(self) -> None:
        """Start a drain: finish open requests and send clients away."""

    def resume(self) -> None:
        """End a drain."""

    def prepare_reload(self, config: Config) -> None:
        """Read the part's own files for a reload; any exception cancels the reload without a change.

        At most one file may be open at a time: a single descriptor is reserved for it.
        """

    def on_reload(self, config: Config) -> None:
        """Apply a reloaded configuration. Raise ConfigError for a change that needs a restart."""

    def hand_over(self) -> None:
        """Release the addresses that a successor needs, which accepts from now on."""

    def on_stopping(self) -> None:
        """Start releasing leases and tasks; requests are still accepted and answered for a short time."""

    def stop_accepting(self) -> None:
        """Reject requests from now on, at shutdown; the open ones are still answered."""

    @property
    def has_unfinished_work(self) -> bool:
        """Return whether the part's clients still send requests or are sent responses; the shutdown waits for them."""
        return False

    def finish(self) -> None:
        """Reject partly received requests; the core is about to fail the open ones."""

    def abandon_requests(self) -> None:
        """Abandon the part's work for open requests, just before the core fails them."""

    async def close_clients(self, until_s: float) -> None:
        """Let the part's clients read their responses, until `until_s` (loop time) at most, then close them."""

    async def stop(self) -> None:
        """Release all resources of the part."""
