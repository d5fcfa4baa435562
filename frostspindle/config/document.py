"""The JSON file that LB_CONFIG names: its schema, that of the bus events, and the names in its settings.

The settings themselves are parsed by frostspindle.policy.settings_parser, as in the simulator's adapter.
"""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from frostspindle.config.errors import ConfigError, one_line
from frostspindle.policy import Settings
from frostspindle.policy.settings_parser import flatten, read_settings

HEALTH_CODES = {"active": 1, "leaving": 2, "left": 0}
# Load report columns by their names on the wire; the values are their names in the policy module.
POLICY_COLUMN_NAMES = {
    "util": "load_share",
    "queue": "depth",
    "inflight": "concurrent",
    "latency_ms": "mean_ms",
    "qps": "tps",
    "eps": "err_ps",
}


class Host(Struct):
    """One engine in an event of the bus."""

    host: str
    dial: str = ""
    site: str = ""
    kind: str = msgspec.field(default="", name="class")
    block: int = 0
    health: str = "active"
    share: float = 1.0
    born_ms: float = 0.0


class Topology(Struct):
    """The engine list in an event of the bus: all engines if `whole`, else only new or changed ones."""

    hosts: list[Host]
    seq: int = 0
    whole: bool = False


class BusEvent(Struct):
    """One numbered event of the bus; without a topology it only advances the offset."""

    offset: int
    topology: Topology | None = None


class KnownEngines(Struct):
    """The events of the bus up to `offset`, as known when the file was written."""

    offset: int = 0
    batch: list[BusEvent] = []


class Limits(Struct):
    """Limits on this coordinator's resources: memory in MB, and file descriptors for all its sockets."""

    memory_mb: Annotated[float, Meta(gt=0)] = 192.0
    sockets: Annotated[int, Meta(ge=64)] = 1024


class Document(Struct):
    """The complete file; `settings` is parsed by the policy module."""

    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    seed: str = "0"
    bus: str = ""
    operator: str = ""
    limits: Limits = msgspec.field(default_factory=Limits)
    known: KnownEngines = msgspec.field(default_factory=KnownEngines)


def read_document(path: str) -> Document:
    """Read the file. Raise ConfigError if it can't be read or is malformed."""
    if not path:
        raise ConfigError("LB_CONFIG: not set")
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Document)
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"LB_CONFIG: {path}: {one_line(error)}") from None


def read_seed(text: str) -> int:
    """Return the seed of all random choices. Raise ConfigError if it is not a hexadecimal number."""
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {text!r}") from None


def read_policy_settings(document: Document) -> Settings:
    """Return the policy module's settings. Raise ConfigError if its parser rejects them."""
    pairs = flatten(document.settings)
    try:
        settings = read_settings(pairs)
    except ValueError as error:
        raise ConfigError(f"settings: {one_line(error)}") from None
    # Settings may use either name of a column.
    columns = tuple(POLICY_COLUMN_NAMES.get(name, name) for name in settings.load_report_columns)
    return dataclasses.replace(settings, load_report_columns=columns)


def entry_names(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    """Return the names of a list's entries, or the index of one without a name. Raise ConfigError if malformed."""
    entries = settings.get(key) or []
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries):
        raise ConfigError(f"settings: {key}: not a list of objects")
    return tuple(str(entry.get("name", number)) for number, entry in enumerate(entries))


def name_list(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    """Return the names of a list or of a text separated by commas. Raise ConfigError if malformed."""
    value = settings.get(key) or []
    if isinstance(value, list):
        return tuple(map(str, value))
    if isinstance(value, str):
        return tuple(value.split(","))
    raise ConfigError(f"settings: {key}: not a list of names")
