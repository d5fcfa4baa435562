"""An index of tenant rules, with a fixed number of look-ups per rule kind, independent of the number of rules.

The index is a tuple space: rules of the same kind (conditions on the same names, `*` prefixes of the same length, the
same header) share one table, keyed by all their values together and, for rules with an address, by the address prefix.
A look-up tries each address prefix length of the kind, the longest first. It uses no I/O and no clock.
"""

from __future__ import annotations

import socket
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

from frostspindle.ledger.tenant_rules import (
    NAME_CONDITIONS,
    NetworkPrefix,
    Rank,
    RequestAttributes,
    Rule,
    network_prefix,
    rank_with_prefix,
)

Key = tuple[object, ...]  # the values of a kind's conditions, the header's last
KeyType = TypeVar("KeyType")


class RuleKind(NamedTuple):
    """The conditions that the rules of one table have."""

    names: tuple[tuple[int, int], ...]  # index in NAME_CONDITIONS, length of the prefix or -1 for a full name
    header: bytes  # lower-case name, empty if there is no header condition


@dataclass(slots=True)
class _Table:
    """The numbers of the best rules of one kind by key: without an address condition, and by address prefix."""

    any_address: dict[Key, int] = field(default_factory=dict)
    networks: dict[tuple[int, int], dict[tuple[Key, int], int]] = field(default_factory=dict)  # by family, length


def _address_bits(address: str) -> NetworkPrefix | None:
    """Return the address of a socket's peer as a prefix of full length, or None if it is not an IP address."""
    try:
        if ":" in address:
            packed = socket.inet_pton(socket.AF_INET6, address.partition("%")[0])
            return NetworkPrefix(6, int.from_bytes(packed, "big"), 128)
        return NetworkPrefix(4, int.from_bytes(socket.inet_pton(socket.AF_INET, address), "big"), 32)
    except OSError:
        return None


def _kind_and_key(rule: Rule) -> tuple[RuleKind, Key]:
    """Return the kind of a rule and the values of its conditions."""
    names = []
    values = list[object]()
    for index, name in enumerate(NAME_CONDITIONS):
        text = getattr(rule, name).casefold()
        if text.endswith("*"):
            names.append((index, len(text) - 1))
            values.append(text[:-1])
        elif text:
            names.append((index, -1))
            values.append(text)
    header_name, _, header_value = rule.header.partition("=")
    header = header_name.strip().lower().encode()
    if header:
        values.append(header_value.strip().encode())
    return RuleKind(tuple(names), header), tuple(values)


def _request_key(
    names: tuple[tuple[int, int], ...], header: bytes, texts: Sequence[str], attributes: RequestAttributes
) -> Key | None:
    """Return a request's key in the table of a kind, or None if no rule of the kind can match it.

    `texts` are the request's names, case-folded, in the order of NAME_CONDITIONS.
    """
    values: list[object] = []
    for index, length in names:
        text = texts[index]
        if length >= 0:
            if len(text) < length:
                return None
            text = text[:length]
        values.append(text)
    if header:
        header_value = attributes.headers.get(header)
        if header_value is None:
            return None
        values.append(header_value.strip())
    return tuple(values)


class RuleIndex:
    """All rules, compiled into one table for each rule kind."""

    def __init__(self, rules: Sequence[Rule]) -> None:
        self.rules = rules
        self._ranks: list[Rank] = []  # by rule number
        self._tables: dict[RuleKind, _Table] = {}
        for number, rule in enumerate(rules):
            self._add(number, rule)
        for table in self._tables.values():  # longest prefix first, so that the first hit is the best
            table.networks = dict(sorted(table.networks.items(), reverse=True))

    def _add(self, number: int, rule: Rule) -> None:
        kind, key = _kind_and_key(rule)
        prefix = network_prefix(rule.address)
        self._ranks.append(rank_with_prefix(rule, number, prefix))
        table = self._tables.setdefault(kind, _Table())
        if prefix is None:
            self._keep_best(table.any_address, key, number)
        else:
            networks = table.networks.setdefault((prefix.family, prefix.length), {})
            self._keep_best(networks, (key, prefix.bits), number)

    def _keep_best(self, numbers: dict[KeyType, int], key: KeyType, number: int) -> None:
        if key not in numbers or self._ranks[number] < self._ranks[numbers[key]]:
            numbers[key] = number

    def find(self, attributes: RequestAttributes) -> Rule | None:
        """Return the best matching rule, or None."""
        texts = [getattr(attributes, name).casefold() for name in NAME_CONDITIONS]
        address = _address_bits(attributes.address)
        best: int | None = None
        for (names, header), table in self._tables.items():
            key = _request_key(names, header, texts, attributes)
            if key is None:
                continue
            found = self._find_in_table(table, key, address)
            if found is not None and (best is None or self._ranks[found] < self._ranks[best]):
                best = found
        return self.rules[best] if best is not None else None

    @staticmethod
    def _find_in_table(table: _Table, key: Key, address: NetworkPrefix | None) -> int | None:
        if address is not None:
            family, bits, size = address
            for (rule_family, length), networks in table.networks.items():
                if rule_family != family:
                    continue
                number = networks.get((key, bits >> (size - length)))
                if number is not None:
                    return number
        return table.any_address.get(key)
