"""The one schema of settings, for an operator's TOML file and for a version's entries, and all checks of their meaning.

Owns the kinds of entries, how two entries of one kind meet (`Kind`), the checks of a version alone and against what
runs here, and the form of secrets. It must never do I/O, never let an entry through that the core can't take while it
runs (the key is named), and never show a secret: entries hold salted hashes or references only.

A version's rules are one flat table: `KIND/NAME` (of engines `engine/FRONT/NAME`) to an entry. What a table does not
speak of is as the coordinator's own files say; a list that it does speak of (`scope/...`) is whole: what is not on it
is not there.
"""

from __future__ import annotations

import hashlib
import hmac
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from frostspindle.config import STATES, ConfigError, TenantRule, address
from frostspindle.ledger.tenant_rules import Rule
from frostspindle.settings.slices import Steps, sliced, whole

MOST_ENTRIES = 20_000
MOST_FILE = 8 << 20  # bytes of a file
MOST_BYTES = 2 << 20  # of a version's entries
STATE_RANK = {"left": 0, "leaving": 1, "active": 2}
EFFECT_RANK = {"once": 0, "by_key": 1, "repeatable": 2}  # policy.Idempotency the other way about: more is permitted
RANKS: dict[str, dict[str, int]] = {"state": STATE_RANK, "effect": EFFECT_RANK}
_BYTE = r"(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_PLAIN = re.compile(rf"{_BYTE}(\.{_BYTE}){{3}}:[1-9]\d{{0,3}}")
SECRET = re.compile(r"pbkdf2:\d{4,7}:[0-9a-f]{16,64}:[0-9a-f]{64}|env:[A-Z][A-Z0-9_]{0,63}|file:/[^\0\n]{1,200}")
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[^/\s][^\s]*$")]
Positive = Annotated[float, Meta(gt=0, le=1e12)]
Least = Annotated[float, Meta(ge=0, le=1e12)]
Most = Annotated[int, Meta(ge=0, le=1_000_000)]


class InvalidSettingsError(ValueError):
    """One line that names the key at fault."""


class _Entry(Struct, forbid_unknown_fields=True, frozen=True, omit_defaults=True):
    pass


class Engine(_Entry):
    """Where queries run. `most`: at once, of all coordinators together; each has its part of it."""

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
    most: Most | None = None


class Ban(_Entry):
    """An engine that nothing is sent to; also the form of a drain."""

    engine: Name
    why: Annotated[str, Meta(max_length=200)] = ""


class Tenant(_Entry):
    """A team and its share of the engines, requests a second of all coordinators; None: no bound."""

    name: Name
    share_per_s: Least | None = None
    rule: tuple[TenantRule, ...] = ()


class Login(_Entry):
    """What a TDS log-in is served as, as in `[[tds.login]]`. `secret`: a salted hash or a reference, never the word."""

    name: Name
    cls: Annotated[str, Meta(min_length=1)] = msgspec.field(name="class")
    application: str = ""
    database: str = ""
    deadline_ms: Positive = 10_000.0
    cost_ms: Least = 0.0
    memory_mb: Least = 0.0
    secret: str = ""


class Class(_Entry):
    """A class of requests; what is left out stays as the settings have it."""

    name: Name
    aim_ms: Positive | None = None
    deadline_ms: Positive | None = None
    worth: Positive | None = None
    effect: str = "repeatable"


class Coordinator(_Entry):
    """A coordinator's part of what is bounded for all together."""

    name: Name
    part: Annotated[float, Meta(ge=0, le=1)]


class Limit(_Entry):
    """One bound, by name."""

    value: Least


class ListScope(_Entry):
    """A list that the version holds whole."""


# What may be bounded: the least and the most value, and whether all coordinators share it.
LIMITS: dict[str, tuple[float, float, bool]] = {
    "out": (0, 1_000_000, True),  # queries at engines at once, of all coordinators; relies on the engines' `most`
    "open_requests": (16, 1_000_000, False),
    "tds_sessions": (1, 100_000, False),
    "tds_batch_bytes": (512, 1 << 26, False),
    "tds_result_bytes": (512, 1 << 28, False),
    "tds_idle_ms": (1, 1e9, False),
}


@dataclass(slots=True, frozen=True)
class EntryKind:
    """How entries of a kind meet. `either`: the meet has what one of both has, else only what both have; `least`:
    fields of which it takes the lower (None: no bound); `union`: fields that it joins. In all others both must be
    alike, or the meet has no such entry. `agreed`: coordinators with different entries contradict each other."""

    entry: type[Struct]
    either: bool
    least: tuple[str, ...] = ()
    union: tuple[str, ...] = ()
    agreed: bool = True


KINDS: dict[str, EntryKind] = {
    "engine": EntryKind(Engine, False, ("state", "weight", "most")),
    "ban": EntryKind(Ban, True, ("why",)),
    "drain": EntryKind(Ban, True, ("why",)),
    "tenant": EntryKind(Tenant, True, ("share_per_s",), ("rule",)),
    "login": EntryKind(Login, False, ("deadline_ms", "cost_ms", "memory_mb")),
    "class": EntryKind(Class, True, ("aim_ms", "deadline_ms", "worth", "effect")),
    "coordinator": EntryKind(Coordinator, False, ("part",)),
    "limit": EntryKind(Limit, True, ("value",)),
    "scope": EntryKind(ListScope, True, agreed=False),
}
SCOPES = ("http", "tds", "login", "coordinator")
ENCODE = msgspec.msgpack.Encoder().encode
DECODE = {name: msgspec.msgpack.Decoder(kind.entry).decode for name, kind in KINDS.items()}
Rules = Mapping[str, Any]  # `KIND/NAME` to an entry


class Document(Struct, forbid_unknown_fields=True):
    """The operator's file."""

    lists: list[str] = []  # lists that are whole even where they are empty: http, tds, login, coordinator
    limits: dict[str, Least] = {}
    engine: Annotated[list[Engine], Meta(max_length=MOST_ENTRIES)] = []
    ban: list[Ban] = []
    drain: list[Ban] = []
    tenant: list[Tenant] = []
    login: list[Login] = []
    cls: list[Class] = msgspec.field(default=[], name="class")
    coordinator: list[Coordinator] = []


def json_schema() -> dict[str, Any]:
    """The schema of the file, as JSON Schema."""
    return msgspec.json.schema(Document)


def kind_of(key: str) -> str:
    """Return the part of a key before the first `/`; whether there is such a kind is not checked."""
    return key.partition("/")[0]


def key_of(kind: str, entry: Any) -> str:
    """Return the key of an entry. Engines are keyed by front too, as each front's list may be held or not."""
    if kind == "engine":
        return f"engine/{entry.front}/{entry.name}"
    return f"{kind}/{entry.engine if kind in ('ban', 'drain') else entry.name}"


def scope_of(key: str, entry: Any) -> str:
    """Return the key of the list that an entry is on: engines by front, others by kind."""
    return f"scope/{entry.front}" if key.startswith("engine/") else f"scope/{kind_of(key)}"


def entry_in(key: str, data: bytes) -> Any:
    """Decode an entry from the wire; BadSettings if it is malformed or of an unknown kind."""
    kind, _, name = key.partition("/")
    if kind not in KINDS or not 0 < len(name) <= 80:
        raise InvalidSettingsError(f"{key:.80}: no such kind of entry")
    try:
        return DECODE[kind](data)
    except msgspec.MsgspecError as error:
        raise InvalidSettingsError(f"{key:.80}: {' '.join(str(error).split())}") from None


def read(text: bytes) -> dict[str, Any]:
    """The rules of an operator's file; BadSettings names the key."""
    if len(text) > MOST_FILE:
        raise InvalidSettingsError(f"the file is longer than {MOST_FILE} bytes")
    try:
        document = msgspec.toml.decode(text, type=Document)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        line = " ".join(str(error).split())
        raise InvalidSettingsError(re.sub(r"(secret\S*\s*=?\s*)\S+", r"\1...", line)) from None
    rules: dict[str, Any] = {}

    def put(key: str, entry: Any, where: str) -> None:
        if key in rules:
            raise InvalidSettingsError(f"{where}: {key.rpartition('/')[2]!r} stands there twice")
        rules[key] = entry

    for name, value in document.limits.items():
        put(f"limit/{name}", Limit(value), f"limits.{name}")
    for kind, entries in (
        ("engine", document.engine),
        ("ban", document.ban),
        ("drain", document.drain),
        ("tenant", document.tenant),
        ("login", document.login),
        ("class", document.cls),
        ("coordinator", document.coordinator),
    ):
        for number, entry in enumerate(entries):
            key = key_of(kind, entry)
            put(key, entry, f"{kind}[{number}]")
            if not KINDS[kind].either:
                rules[scope_of(key, entry)] = ListScope()
    for name in document.lists:
        if name not in SCOPES:
            raise InvalidSettingsError(f"lists: not one of {', '.join(SCOPES)}: {name!r}")
        rules[f"scope/{name}"] = ListScope()
    check(rules)
    return rules


def sendable(rules: Rules, engine: Engine) -> bool:
    """Tell whether queries may be sent to an engine: active, neither banned nor draining."""
    return engine.state == "active" and f"ban/{engine.name}" not in rules and f"drain/{engine.name}" not in rules


def capacity(rules: Rules) -> float:
    """Return how many queries at once all engines that may be sent to allow; inf if no bound is known."""
    engines = [entry for key, entry in rules.items() if key.startswith("engine/")]
    if not engines:
        return 0.0 if "scope/http" in rules and "scope/tds" in rules else math.inf
    return sum(math.inf if engine.most is None else engine.most for engine in engines if sendable(rules, engine))


def _check_entry(key: str, entry: Any) -> None:
    kind, _, name = key.partition("/")
    if kind not in KINDS or type(entry) is not KINDS[kind].entry:
        raise InvalidSettingsError(f"{key}: no such kind of entry")
    if kind not in ("limit", "scope") and key_of(kind, entry) != key:
        raise InvalidSettingsError(f"{key}: names another: {key_of(kind, entry)}")
    for field_name in KINDS[kind].least:
        value = getattr(entry, field_name)
        if field_name in RANKS and value not in RANKS[field_name]:
            raise InvalidSettingsError(f"{key}.{field_name}: not one of {', '.join(RANKS[field_name])}")
        if isinstance(value, float) and not math.isfinite(value):
            raise InvalidSettingsError(f"{key}.{field_name}: not a finite number")
    if kind == "engine":
        if entry.front not in ("http", "tds"):
            raise InvalidSettingsError(f"{key}.front: not http or tds")
        if not _PLAIN.fullmatch(entry.dial):  # nearly all are; ten thousand others take a second
            try:
                address(entry.dial, f"{key}.dial")
            except ConfigError as error:
                raise InvalidSettingsError(str(error)) from None
    elif kind == "limit":
        if name not in LIMITS:
            raise InvalidSettingsError(f"limits.{name}: not one of {', '.join(LIMITS)}")
        low, high, _ = LIMITS[name]
        if not low <= entry.value <= high:
            raise InvalidSettingsError(f"limits.{name}: not from {low:g} to {high:g}")
    elif kind == "login" and entry.secret and not SECRET.fullmatch(entry.secret):
        raise InvalidSettingsError(f"{key}.secret: not pbkdf2:ROUNDS:SALT:HASH, env:NAME or file:/PATH")
    elif kind == "scope" and name not in SCOPES:
        raise InvalidSettingsError(f"{key}: not one of {', '.join(SCOPES)}")
    elif kind == "tenant":
        for number, rule in enumerate(entry.rule):
            try:
                Rule(name, *msgspec.structs.astuple(rule)).check()
            except ValueError as error:
                raise InvalidSettingsError(f"{key}.rule[{number}]: {error}") from None


def divided(key: str, entry: Any) -> bool:
    """Tell whether an entry is a bound of which each coordinator has its part."""
    return key == "limit/out" or (key.startswith("engine/") and entry.most is not None)


def check(rules: Rules, changes: Rules | None = None) -> None:
    """Check a version by itself; BadSettings names the key. `changes`: check only these, made to rules that passed."""
    whole(checking(rules, changes))


def checking(rules: Rules, changes: Rules | None = None) -> Steps[None]:
    """Check as `check` does, in slices."""
    fresh = rules if changes is None else {key: entry for key, entry in changes.items() if entry is not None}
    touched = {kind_of(key) for key in (rules if changes is None else changes)}
    if len(rules) > MOST_ENTRIES:
        raise InvalidSettingsError(f"{len(rules)} entries, at most {MOST_ENTRIES}")
    for (key, entry), turn in sliced(fresh.items()):
        if turn:
            yield
        _check_entry(key, entry)
    # A list that is no longer held must be empty, and what is no longer divided not be there.
    whole_ones = "scope/coordinator" not in rules
    for (key, entry), turn in sliced((rules if "scope" in touched else fresh).items()):
        if turn:
            yield
        if not KINDS[kind_of(key)].either and scope_of(key, entry) not in rules:
            raise InvalidSettingsError(f"{key}: is on a list that the version does not hold")
        if whole_ones and divided(key, entry):
            raise InvalidSettingsError(f"{key}: needs [[coordinator]] entries, whose parts of it add up to 1 at most")
    if "coordinator" in touched:
        parts = sum(entry.part for key, entry in rules.items() if key.startswith("coordinator/"))
        if parts > 1.0 + 1e-9:
            raise InvalidSettingsError(f"coordinator: the parts add up to {parts:g}, past the whole")
    if touched & {"login", "class"} and any(key.startswith("class/") for key in rules):
        for key, entry in rules.items():
            if key.startswith("login/") and f"class/{entry.cls}" not in rules:
                raise InvalidSettingsError(f"{key}.class: there is no [[class]] {entry.cls!r}")
    out = rules.get("limit/out")
    if (
        out is not None
        and touched & {"limit", "engine", "ban", "drain", "scope"}
        and out.value > (room := capacity(rules))
    ):
        raise InvalidSettingsError(
            f"limits.out: {out.value:g} at once rely on engines that let {room:g} through: see their "
            "most, state, bans and drains"
        )


@dataclass(slots=True, frozen=True)
class RunningProgram:
    """What this coordinator was started with, as far as a version must fit it."""

    classes: Mapping[str, str] = field(default_factory=dict)  # by name the effect
    tenants: Mapping[str, tuple[TenantRule, ...]] = field(default_factory=dict)
    bus: bool = False  # the event bus lists HTTP engines
    tds: bool = False
    tds_classes: frozenset[str] = frozenset()
    tds_sizes: frozenset[tuple[float, float]] = frozenset()
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    sockets: int = 1024
    memory_mb: float = 192.0


def fits(rules: Rules, running: RunningProgram, changes: Rules | None = None) -> str:
    """Return why a version can't be taken while this coordinator runs, naming the key; "" if it can.

    `changes`: look at these only, made to rules that can be taken.
    """
    for key, entry in (rules if changes is None else changes).items():
        if entry is None:
            continue
        kind, _, name = key.partition("/")
        if kind == "engine":
            if entry.front == "http" and running.bus:
                return f"{key}: the event bus lists HTTP engines here; bans, drains and limits may name them"
            if entry.front == "tds" and not running.tds:
                return f"{key}: needs a new start with [tds]"
            if entry.front == "tds" and (entry.cores, entry.memory_mb) not in running.tds_sizes:
                return f"{key}.cores: a size that needs a new start"
            if entry.front == "http" and entry.zone and entry.zone not in running.zones:
                return f"{key}.zone: a failure domain that needs a new start"
            if entry.front == "http" and entry.kind and entry.kind not in running.kinds:
                return f"{key}.kind: a kind that needs a new start"
        elif kind == "class":
            if name not in running.classes:
                return f"{key}: a class that needs a new start"
            if entry.effect != running.classes[name]:
                return f"{key}.effect: needs a new start"
        elif kind == "tenant":
            if name not in running.tenants:
                return f"{key}: a tenant that needs a new start"
            if entry.rule and entry.rule != running.tenants[name]:
                return f"{key}.rule: needs a new start"
        elif kind == "login":
            if not running.tds:
                return f"{key}: needs a new start with [tds]"
            if entry.cls not in running.tds_classes:
                return f"{key}.class: a class that needs a new start"
        elif kind == "limit" and name.startswith("tds_"):
            if not running.tds:
                return f"limits.{name}: needs a new start with [tds]"
            if name == "tds_sessions" and entry.value > running.sockets // 6:
                return f"limits.{name}: more than a sixth of {running.sockets} sockets"
        elif kind == "limit" and name == "open_requests" and entry.value > running.sockets // 2:
            return f"limits.{name}: more than half of {running.sockets} sockets"
    sizes = [
        rules[key].value
        for key in ("limit/tds_sessions", "limit/tds_batch_bytes", "limit/tds_result_bytes")
        if key in rules
    ]
    if len(sizes) == 3 and 3 * sizes[0] * (sizes[1] + sizes[2]) > running.memory_mb * 2**19:
        return f"limits.tds_result_bytes: with sessions and batches more than half of {running.memory_mb:g} MB"
    return ""


def shown(entry: Any) -> dict[str, Any]:
    """Return an entry as plain data for operators, without its secret."""
    told: dict[str, Any] = msgspec.to_builtins(entry)
    if told.get("secret"):
        told["secret"] = told["secret"].partition(":")[0] + ":..."
    return told


def hashed(word: str, salt: bytes, rounds: int = 100_000) -> str:
    """Return a secret's salted hash (PBKDF2, SHA-256) in the form that may stand in a version."""
    return f"pbkdf2:{rounds}:{salt.hex()}:{hashlib.pbkdf2_hmac('sha256', word.encode(), salt, rounds).hex()}"


def secret_holds(secret: str, word: str) -> bool:
    """Tell whether a password matches a hash, in constant time. False for references, which their readers resolve."""
    form, _, rest = secret.partition(":")
    if form != "pbkdf2" or rest.count(":") != 2:
        return False
    rounds, salt, _ = rest.split(":")
    return hmac.compare_digest(hashed(word, bytes.fromhex(salt), int(rounds)), secret)


assert STATES.keys() == STATE_RANK.keys()
