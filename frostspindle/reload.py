"""A reload on SIGHUP: the configuration and the operator's file are read again, and what may change is applied.

Owns which sections need a restart. A fault in either file changes nothing of both.
"""

from __future__ import annotations

from frostspindle import config as configuration
from frostspindle.components.registry import Components
from frostspindle.config import Config, ConfigError
from frostspindle.net.discovery import EndpointWatcher
from frostspindle.reserved_descriptor import ReservedDescriptor
from frostspindle.telemetry import Telemetry

# Sections of the operator's file that can't change while the program runs, in the order in which they are compared.
RESTART_SECTIONS = (
    "cores",
    "fleet",
    "recovery",
    "scatter",
    "subscriptions",
    "replica",
    "ownership",
    "settings",
    "tenant",
)


class Reloader:
    """Reads the files again, also while clients hold all other descriptors."""

    def __init__(
        self, config: Config, components: Components, endpoint_watcher: EndpointWatcher, telemetry: Telemetry
    ) -> None:
        self._config = config
        self._components = components
        self._endpoint_watcher = endpoint_watcher
        self._telemetry = telemetry
        self._reserved_descriptor = ReservedDescriptor()

    def reload(self) -> None:
        """Apply both files; a fault is logged and counted, and the program goes on as it was."""
        try:
            fresh = self._read()
            for component in self._components:
                component.on_reload(fresh)
        except Exception as error:  # noqa: BLE001 - whatever the files hold, the program goes on as it was
            self._telemetry.count("reloads_failed")
            self._telemetry.log(
                "config_reload_failed", error=str(error) if isinstance(error, ConfigError) else repr(error)
            )
            return
        self._endpoint_watcher.move(fresh.bus)
        self._telemetry.count("reloads")
        self._telemetry.log("config_reloaded", bus=fresh.bus)

    def _read(self) -> Config:
        """Read all files and check that nothing has changed that needs a restart."""
        with self._reserved_descriptor.lent():
            fresh = configuration.read(self._config.environ)
        check_restart_sections(self._config, fresh)
        with self._reserved_descriptor.lent():
            for component in self._components:
                component.prepare_reload(fresh)
        return fresh


def check_restart_sections(config: Config, fresh: Config) -> None:
    """Raise ConfigError, which names the section, if one has changed that needs a restart."""
    for section in RESTART_SECTIONS:
        if getattr(fresh.operator, section) != getattr(config.operator, section):
            raise ConfigError(f"{section}: needs a new start")
