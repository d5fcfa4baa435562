"""Reload on SIGHUP: reads the configuration and the operator's file again, and applies what may change at run time.

RESTART_SECTIONS lists the sections that need a restart. After a fault in either file neither is applied.
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
    """Reads the files again, even while clients use all other descriptors."""

    def __init__(
        self, config: Config, components: Components, endpoint_watcher: EndpointWatcher, telemetry: Telemetry
    ) -> None:
        self._config = config
        self._components = components
        self._endpoint_watcher = endpoint_watcher
        self._telemetry = telemetry
        self._reserved_descriptor = ReservedDescriptor()

    def reload(self) -> None:
        """Apply both files; a fault is logged and counted, and the running configuration stays in effect."""
        try:
            new_config = self._read()
            for component in self._components:
                component.on_reload(new_config)
        except Exception as error:  # noqa: BLE001 - no content of the files may end the program
            self._telemetry.count("reloads_failed")
            self._telemetry.log(
                "config_reload_failed", error=str(error) if isinstance(error, ConfigError) else repr(error)
            )
            return
        self._endpoint_watcher.move(new_config.bus)
        self._telemetry.count("reloads")
        self._telemetry.log("config_reloaded", bus=new_config.bus)

    def _read(self) -> Config:
        """Read all files and check that no section that needs a restart has changed."""
        with self._reserved_descriptor.lent():
            new_config = configuration.read(self._config.environ)
        check_restart_sections(self._config, new_config)
        with self._reserved_descriptor.lent():
            for component in self._components:
                component.prepare_reload(new_config)
        return new_config


def check_restart_sections(config: Config, new_config: Config) -> None:
    """Raise ConfigError, which names the section, if one that needs a restart has changed."""
    for section in RESTART_SECTIONS:
        if getattr(new_config.operator, section) != getattr(config.operator, section):
            raise ConfigError(f"{section}: needs a new start")
