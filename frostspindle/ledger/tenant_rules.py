"""The operator's tenant rules: their conditions, their precedence, and a reference matcher without an index.

A rule names what must hold of a request: its front, one HTTP header, the TDS login, application and database, the
schema that the statement names, the client's address. A name may end in `*` and then matches every name with that
prefix; names are compared without case, header values with case. Among the rules that match, the longest address prefix
wins, then the rule with more conditions, then the longer names, then the one that stands first.

Functions and values without I/O or clock.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

NAME_CONDITIONS = ("front", "login", "application", "database", "schema")  # fields of a rule that may end in `*`
Rank = tuple[int, int, int, int]  # smaller is better


class RequestAttributes(NamedTuple):
    """What a front knows of a request: rules match on it."""

    front: str
    address: str = ""
    headers: Mapping[bytes, bytes] = {}  # by lower-case name
    login: str = ""
    application: str = ""
    database: str = ""
    schema: str = ""


@dataclass(frozen=True, slots=True)
class Rule:
    """One rule of the operator's; an empty condition always holds."""

    tenant: str
    front: str = ""
    header: str = ""  # NAME=VALUE
    login: str = ""
    application: str = ""
    database: str = ""
    schema: str = ""
    address: str = ""  # an address or PREFIX/LENGTH

    def check(self) -> None:
        """Raise ValueError, with the field's name, if a condition can't be used."""
        name, separator, _ = self.header.partition("=")
        if self.header and (not separator or not name.strip()):
            raise ValueError(f"header: not NAME=VALUE: {self.header!r}")
        for field_name in NAME_CONDITIONS:
            if "*" in getattr(self, field_name)[:-1]:
                raise ValueError(f"{field_name}: a * may stand at the end only")
        if self.address:
            ipaddress.ip_network(self.address)


class NetworkPrefix(NamedTuple):
    """An address prefix: IP version, the leading bits as a number, and how many they are."""

    family: int
    bits: int
    length: int


def network_prefix(address: str) -> NetworkPrefix | None:
    """Return the prefix that an address or PREFIX/LENGTH of a rule stands for; None for an empty one. ValueError."""
    if not address:
        return None
    network = ipaddress.ip_network(address)
    length = network.prefixlen
    return NetworkPrefix(network.version, int(network.network_address) >> (network.max_prefixlen - length), length)


def rank(rule: Rule, number: int) -> Rank:
    """Return a rule's rank, smaller is better: longer prefix, more conditions, longer names, earlier place."""
    return rank_with_prefix(rule, number, network_prefix(rule.address))


def rank_with_prefix(rule: Rule, number: int, prefix: NetworkPrefix | None) -> Rank:
    """Return a rule's rank, as `rank`, where its address prefix is known already."""
    prefix_length = prefix.length if prefix else -1
    texts = (rule.front, rule.login, rule.application, rule.database, rule.schema, rule.header)
    conditions = [text for text in texts if text]
    return -prefix_length, -len(conditions), -sum(map(len, conditions)), number


def matches(rule: Rule, attributes: RequestAttributes) -> bool:
    """Return whether all conditions of a rule hold: the reference that the index is tested and measured against."""
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
    """Return the best match by testing every rule: the reference for `RuleIndex.find`."""
    ranked = [(rank(rule, number), rule) for number, rule in enumerate(rules) if matches(rule, attributes)]
    return min(ranked, key=lambda entry: entry[0])[1] if ranked else None
