"""The kinds of entries of a version: their fields, keys and encoding, and how two entries of a kind intersect.

No I/O. A version's rules are one flat table from `KIND/NAME` (for engines `engine/FRONT/NAME`) to an entry. Where the
table has no entry, the coordinator's local files apply. A list that the table has (`scope/...`) is complete: an element
that is not on it doesn't exist.

The entries' field names are fixed: entries are stored and sent as maps keyed by field name, and the names are the keys
of operators' files. The docstrings of the entries are the descriptions in the JSON Schema.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from frostspindle.config import HEALTH_CODES, TenantRule

MAX_ENTRIES = 20_000
MAX_VERSION_BYTES = 2 << 20  # total size of the entries of a version
STATE_RANK = {"left": 0, "leaving": 1, "active": 2}
IDEMPOTENCY_RANK = {"once": 0, "by_key": 1, "repeatable": 2}  # reverse of policy.Idempotency: higher permits more
FIELD_RANKS: dict[str, dict[str, int]] = {"state": STATE_RANK, "effect": IDEMPOTENCY_RANK}
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[^/\s][^\s]*$")]
Positive = Annotated[float, Meta(gt=0, le=1e12)]
NonNegative = Annotated[float, Meta(ge=0, le=1e12)]
MaxQueries = Annotated[int, Meta(ge=0, le=1_000_000)]


class SettingsError(Exception):
    """Base class of the errors of this package."""


class InvalidSettingsError(SettingsError, ValueError):
    """Invalid settings. The message is one line that names the key at fault."""


class _Entry(Struct, forbid_unknown_fields=True, frozen=True, omit_defaults=True):
    pass


class Engine(_Entry):
    """Where queries run. `most`: queries at once, of all coordinators together; each has its share of it."""

    name: Name
    dial: str
    front: str = "http"
    zone: str = ""
    kind: str = ""
    block: int = 0
    cores: Positive = 8.0
    memory_mb: Positive = 16384.0
    state: str = "active"
    weight: Positive = 1.0
    most: MaxQueries | None = None


class Ban(_Entry):
    """An engine that nothing is sent to; also the form of a drain."""

    engine: Name
    why: Annotated[str, Meta(max_length=200)] = ""


class Tenant(_Entry):
    """A tenant's quota, requests a second of all coordinators together; None: no limit."""

    name: Name
    share_per_s: NonNegative | None = None
    rule: tuple[TenantRule, ...] = ()


class Login(_Entry):
    """What a TDS login is served as, as in `[[tds.login]]`. `secret`: a salted hash or a reference."""

    name: Name
    cls: Annotated[str, Meta(min_length=1)] = msgspec.field(name="class")
    application: str = ""
    database: str = ""
    deadline_ms: Positive = 10_000.0
    cost_ms: NonNegative = 0.0
    memory_mb: NonNegative = 0.0
    secret: str = ""


class Class(_Entry):
    """A request class: latency objective, deadline and priority weight; None keeps the value of the own files."""

    name: Name
    aim_ms: Positive | None = None
    deadline_ms: Positive | None = None
    worth: Positive | None = None
    effect: str = "repeatable"


class Coordinator(_Entry):
    """A coordinator's share of what is limited for all together."""

    name: Name
    part: Annotated[float, Meta(ge=0, le=1)]


class Limit(_Entry):
    """One limit, by name."""

    value: NonNegative


class ListScope(_Entry):
    """Marks a list that the version holds completely."""


@dataclass(slots=True, frozen=True)
class EntryKind:
    """How entries of one kind intersect.

    If the entries differ in a field that is in neither `minimum_fields` nor `union_fields`, the intersection has no
    such entry.
    """

    entry: type[Struct]
    in_either: bool  # an entry that only one version has is in the intersection too
    minimum_fields: tuple[str, ...] = ()  # the intersection has the lower value; None means unlimited
    union_fields: tuple[str, ...] = ()  # the intersection has the elements of both versions
    fleet_wide: bool = True  # coordinators with different entries contradict each other


KINDS: dict[str, EntryKind] = {
    "engine": EntryKind(Engine, False, ("state", "weight", "most")),
    "ban": EntryKind(Ban, True, ("why",)),
    "drain": EntryKind(Ban, True, ("why",)),
    "tenant": EntryKind(Tenant, True, ("share_per_s",), ("rule",)),
    "login": EntryKind(Login, False, ("deadline_ms", "cost_ms", "memory_mb")),
    "class": EntryKind(Class, True, ("aim_ms", "deadline_ms", "worth", "effect")),
    "coordinator": EntryKind(Coordinator, False, ("part",)),
    "limit": EntryKind(Limit, True, ("value",)),
    "scope": EntryKind(ListScope, True, fleet_wide=False),
}
LIST_SCOPES = ("http", "tds", "login", "coordinator")
Entry = Any  # one of the structs above, determined by the key
Rules = Mapping[str, Entry]  # by key `KIND/NAME`
encode_msgpack = msgspec.msgpack.Encoder().encode
ENTRY_DECODERS = {name: msgspec.msgpack.Decoder(kind.entry).decode for name, kind in KINDS.items()}


def kind_of(key: str) -> str:
    """Return the part of a key before the first `/`, without checking that it is a known kind."""
    return key.partition("/")[0]


def key_of(kind: str, entry: Entry) -> str:
    """Return the key of an entry.

    Keys of engines include the front, as a version may have the engine list of one front only.
    """
    if kind == "engine":
        return f"engine/{entry.front}/{entry.name}"
    if kind in ("ban", "drain"):
        return f"{kind}/{entry.engine}"
    return f"{kind}/{entry.name}"


def scope_of(key: str, entry: Entry) -> str:
    """Return the key of the list that an entry belongs to: for engines by front, for others by kind."""
    return f"scope/{entry.front}" if key.startswith("engine/") else f"scope/{kind_of(key)}"


def is_fleet_wide(key: str) -> bool:
    """Whether coordinators with different entries of this key contradict each other."""
    if not KINDS[kind_of(key)].fleet_wide:
        return False
    # All limits except limit/out apply to each coordinator separately, so different values can't add up to an overrun.
    return not key.startswith("limit/") or key == "limit/out"


def decode_entry(key: str, data: bytes) -> Entry:
    """Decode an entry from the wire. Raise InvalidSettingsError if it is malformed or of an unknown kind."""
    kind, _, name = key.partition("/")
    if kind not in KINDS or not 0 < len(name) <= 80:
        raise InvalidSettingsError(f"{key:.80}: no such kind of entry")
    try:
        return ENTRY_DECODERS[kind](data)
    except msgspec.MsgspecError as error:
        raise InvalidSettingsError(f"{key:.80}: {' '.join(str(error).split())}") from None


def redact(entry: Entry) -> dict[str, Any]:
    """Return an entry as plain data for operators, with its secret masked."""
    fields: dict[str, Any] = msgspec.to_builtins(entry)
    if fields.get("secret"):
        fields["secret"] = fields["secret"].partition(":")[0] + ":..."
    return fields


assert HEALTH_CODES.keys() == STATE_RANK.keys()
