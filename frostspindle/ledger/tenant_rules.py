"""The operator's tenant rules: their conditions, their precedence, and a reference matcher without an index.

A rule has conditions on a request's front, one HTTP header, the TDS login, application and database, the schema in the
statement, and the client's address. A name may end in `*`, which matches every name with that prefix. Names are
compared case-insensitively, header values case-sensitively. Of the matching rules, the one with the longest address
prefix wins, then the one with more conditions, then the one with longer names, then the first in the list.

This module uses no I/O and no clock.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

NAME_CONDITIONS = ("front", "login", "application", "database", "schema")  # fields of a rule that may end in `*`
Rank = tuple[int, int, int, int]  # see `rank`; the smallest wins


class RequestAttributes(NamedTuple):
    """Attributes of a request that rules match on, as its front supplies them."""

    front: str
    address: str = ""
    headers: Mapping[bytes, bytes] = {}  # by lower-case name
    login: str = ""
    application: str = ""
    database: str = ""
    schema: str = ""


@dataclass(frozen=True, slots=True)
class Rule:
    """A tenant rule of the operator; an empty condition always matches."""

    tenant: str
    front: str = ""
    header: str = ""  # NAME=VALUE
    login: str = ""
    application: str = ""
    database: str = ""
    schema: str = ""
    address: str = ""  # an address or PREFIX/LENGTH

    def check(self) -> None:
        """Raise ValueError, with the field's name, if a condition is invalid."""
        name, separator, _ = self.header.partition("=")
        if self.header and (not separator or not name.strip()):
            raise ValueError(f"header: must be NAME=VALUE, not {self.header!r}")
        for field_name in NAME_CONDITIONS:
            if "*" in getattr(self, field_name)[:-1]:
                raise ValueError(f"{field_name}: a * is allowed at the end only")
        if self.address:
            ipaddress.ip_network(self.address)


class NetworkPrefix(NamedTuple):
    """An address prefix: IP version, the leading bits as an integer, and their number."""

    family: int
    bits: int
    length: int


def network_prefix(address: str) -> NetworkPrefix | None:
    """Return the prefix for an address or PREFIX/LENGTH of a rule, None if it is empty.

    Raise ValueError if it is invalid.
    """
    if not address:
        return None
    network = ipaddress.ip_network(address)
    length = network.prefixlen
    return NetworkPrefix(network.version, int(network.network_address) >> (network.max_prefixlen - length), length)


def rank(rule: Rule, number: int) -> Rank:
    """Return a rule's rank; the smallest wins: longer prefix, more conditions, longer names, earlier in the list."""
    return rank_with_prefix(rule, number, network_prefix(rule.address))


def rank_with_prefix(rule: Rule, number: int, prefix: NetworkPrefix | None) -> Rank:
    """Return the same as `rank`, given the rule's address prefix."""
    prefix_length = prefix.length if prefix else -1
    texts = (rule.front, rule.login, rule.application, rule.database, rule.schema, rule.header)
    conditions = [text for text in texts if text]
    return -prefix_length, -len(conditions), -sum(map(len, conditions)), number


def matches(rule: Rule, attributes: RequestAttributes) -> bool:
    """Return whether all conditions of a rule match. This is the reference for tests and benchmarks of the index."""
    return (
        all(_matches_name(getattr(rule, name), getattr(attributes, name)) for name in NAME_CONDITIONS)
        and _matches_header(rule.header, attributes.headers)
        and _matches_address(rule.address, attributes.address)
    )


def _matches_name(pattern: str, text: str) -> bool:
    pattern = pattern.casefold()
    text = text.casefold()
    if pattern.endswith("*"):
        return text.startswith(pattern[:-1])
    return not pattern or pattern == text


def _matches_header(condition: str, headers: Mapping[bytes, bytes]) -> bool:
    if not condition:
        return True
    name, _, value = condition.partition("=")
    return headers.get(name.strip().lower().encode(), b"\0").strip() == value.strip().encode()


def _matches_address(network: str, address: str) -> bool:
    if not network:
        return True
    try:
        return ipaddress.ip_address(address) in ipaddress.ip_network(network)
    except ValueError:
        return False


def best_match(rules: Iterable[Rule], attributes: RequestAttributes) -> Rule | None:
    """Return the best match by testing every rule; the reference for `RuleIndex.find`."""
    ranked = [(rank(rule, number), rule) for number, rule in enumerate(rules) if matches(rule, attributes)]
    return min(ranked, key=lambda entry: entry[0])[1] if ranked else None
