"""Parser of the operator's TOML file with the rules of a version. No I/O."""

from __future__ import annotations

import re
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from frostspindle.settings.schema import (
    KINDS,
    LIST_SCOPES,
    MAX_ENTRIES,
    Ban,
    Class,
    Coordinator,
    Engine,
    Entry,
    InvalidSettingsError,
    Limit,
    ListScope,
    Login,
    NonNegative,
    Tenant,
    key_of,
    scope_of,
)
from frostspindle.settings.validation import validate

MAX_FILE_BYTES = 8 << 20


class Document(Struct, forbid_unknown_fields=True):
    """The operator's file."""

    lists: list[str] = []  # lists that the file defines even if they are empty: http, tds, login, coordinator
    limits: dict[str, NonNegative] = {}
    engine: Annotated[list[Engine], Meta(max_length=MAX_ENTRIES)] = []
    ban: list[Ban] = []
    drain: list[Ban] = []
    tenant: list[Tenant] = []
    login: list[Login] = []
    cls: list[Class] = msgspec.field(default=[], name="class")
    coordinator: list[Coordinator] = []


def json_schema() -> dict[str, Any]:
    """Return the JSON Schema of the file."""
    return msgspec.json.schema(Document)


def parse_document(text: bytes) -> dict[str, Entry]:
    """Return the rules of an operator's file. Raise InvalidSettingsError, which names the key and shows no secret."""
    document = _decode(text)
    rules: dict[str, Entry] = {}
    for name, value in document.limits.items():
        _add(rules, f"limit/{name}", Limit(value), f"limits.{name}")
    for kind, entries in _entries_by_kind(document).items():
        for number, entry in enumerate(entries):
            key = key_of(kind, entry)
            _add(rules, key, entry, f"{kind}[{number}]")
            if not KINDS[kind].in_either:
                rules[scope_of(key, entry)] = ListScope()
    for name in document.lists:
        if name not in LIST_SCOPES:
            raise InvalidSettingsError(f"lists: not one of {', '.join(LIST_SCOPES)}: {name!r}")
        rules[f"scope/{name}"] = ListScope()
    validate(rules)
    return rules


def _decode(text: bytes) -> Document:
    if len(text) > MAX_FILE_BYTES:
        raise InvalidSettingsError(f"the file is longer than {MAX_FILE_BYTES} bytes")
    try:
        return msgspec.toml.decode(text, type=Document)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        line = " ".join(str(error).split())
        raise InvalidSettingsError(re.sub(r"(secret\S*\s*=?\s*)\S+", r"\1...", line)) from None


def _entries_by_kind(document: Document) -> dict[str, list[Entry]]:
    return {
        "engine": document.engine,
        "ban": document.ban,
        "drain": document.drain,
        "tenant": document.tenant,
        "login": document.login,
        "class": document.cls,
        "coordinator": document.coordinator,
    }


def _add(rules: dict[str, Entry], key: str, entry: Entry, location: str) -> None:
    if key in rules:
        raise InvalidSettingsError(f"{location}: {key.rpartition('/')[2]!r} is defined twice")
    rules[key] = entry
