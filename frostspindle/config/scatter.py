"""The section `[scatter]` of the operator's file: the catalogue of tables distributed over sites, and its classes."""

from __future__ import annotations

import importlib.util
from typing import Any

from frostspindle.config.errors import ConfigError
from frostspindle.policy import Settings

LIBRARIES = ("sqlglot", "rbloom")


def add_scatter(
    settings: Settings, classes: tuple[str, ...], zones: tuple[str, ...], section: dict[str, Any], has_fleet: bool
) -> tuple[Settings, Any]:
    """Return the policy module's settings with the classes of subrequests added, and the catalogue.

    Raise ConfigError without the libraries or a fleet, and for an invalid catalogue.
    """
    if any(importlib.util.find_spec(name) is None for name in LIBRARIES):
        raise ConfigError("scatter: needs the extra: pip install -e '.[predicates]'")
    from frostspindle.catalogue import CatalogueError, with_scatter  # loaded only if configured

    if not has_fleet:
        raise ConfigError("scatter: needs [fleet], of one coordinator at least")
    try:
        return with_scatter(settings, classes, zones, section)
    except CatalogueError as error:
        raise ConfigError(str(error)) from None
