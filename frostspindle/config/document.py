"""The JSON file that LB_CONFIG names: its form, and the request classes and kinds that its settings name.

Owns the form of the file and of the events of the bus, which it holds the first of. It leaves the meaning of its
settings to frostspindle.policy.settings_parser, the parser that the simulator's adapter uses too.
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
# Figures of a load report have one name on the wire and another in the module.
POLICY_COLUMN_NAMES = {
    "util": "load_share",
    "queue": "depth",
    "inflight": "concurrent",
    "latency_ms": "mean_ms",
    "qps": "tps",
    "eps": "err_ps",
}


class Host(Struct):
    """One engine as an event of the bus describes it."""

    host: str
    dial: str = ""
    site: str = ""
    kind: str = msgspec.field(default="", name="class")
    block: int = 0
    health: str = "active"
    share: float = 1.0
    born_ms: float = 0.0


class Topology(Struct):
    """The engine list in an event of the bus: all engines if `whole`, else only those that are new or have changed."""

    hosts: list[Host]
    seq: int = 0
    whole: bool = False


class BusEvent(Struct):
    """One numbered event of the bus; one without a topology only advances the number."""

    offset: int
    topology: Topology | None = None


class KnownEngines(Struct):
    """The events of the bus up to `offset`, as they were known when the file was written."""

    offset: int = 0
    batch: list[BusEvent] = []


class Limits(Struct):
    """The bounds on this coordinator's resources: memory in MB, and file descriptors for all its sockets."""

    memory_mb: Annotated[float, Meta(gt=0)] = 192.0
    sockets: Annotated[int, Meta(ge=64)] = 1024


class Document(Struct):
    """The whole file; `settings` is read by the decision module's parser."""

    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    seed: str = "0"
    bus: str = ""
    operator: str = ""
    limits: Limits = msgspec.field(default_factory=Limits)
    known: KnownEngines = msgspec.field(default_factory=KnownEngines)


def read_document(path: str) -> Document:
    """Read the file; ConfigError if it can't be read or has another form."""
    if not path:
        raise ConfigError("LB_CONFIG: not set")
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Document)
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"LB_CONFIG: {path}: {one_line(error)}") from None


def read_seed(text: str) -> int:
    """Return the seed of all random choices; ConfigError if it is no hexadecimal number."""
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {text!r}") from None


def read_policy_settings(document: Document) -> Settings:
    """Return the decision module's settings; ConfigError for what its parser refuses."""
    pairs = flatten(document.settings)
    try:
        settings = read_settings(pairs)
    except ValueError as error:
        raise ConfigError(f"settings: {one_line(error)}") from None
    # Settings may have either name of a figure.
    columns = tuple(POLICY_COLUMN_NAMES.get(name, name) for name in settings.load_report_columns)
    return dataclasses.replace(settings, load_report_columns=columns)


def entry_names(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    """Return the names of a list's entries, a number for one without; ConfigError for any other form."""
    entries = settings.get(key) or []
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries):
        raise ConfigError(f"settings: {key}: not a list of objects")
    return tuple(str(entry.get("name", number)) for number, entry in enumerate(entries))


def name_list(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    """Return a list of names, or one that is written with commas; ConfigError for any other form."""
    value = settings.get(key) or []
    if isinstance(value, list):
        return tuple(map(str, value))
    if isinstance(value, str):
        return tuple(value.split(","))
    raise ConfigError(f"settings: {key}: not a list of names")
