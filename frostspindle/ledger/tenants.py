"""Which tenant a request is of: the operator's rules, compiled once into an index.

Owns the meaning of a rule and of the best fit among several. It must never read a file, a socket or a clock, and never
costs a request more than one look for each *kind* of rule, however many rules there are.

A rule names what must hold of a request: its front, one HTTP header, the TDS login, application and database, the
schema that the statement names, the client's address. A name may end in `*` and then fits all that begin so; names do
not differ by case, header values do. Among the rules that fit, the longest address prefix wins, then the rule with
more conditions, then the longer names, then the one that stands first.

The index is a tuple space: rules of the same kind (the same names as conditions, those with a `*` of the same length,
the same header) share one table, keyed by all its names together; below each key address prefixes stand by length, so
that the longest match is found first.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

NAMES = ("front", "login", "application", "database", "schema")  # of a rule, each with or without a `*`
Rank = tuple[int, int, int, int]


class Facts(NamedTuple):
    """What a front knows of a request."""

    front: str
    address: str = ""
    headers: Mapping[bytes, bytes] = {}  # by lower-case name
    login: str = ""
    application: str = ""
    database: str = ""
    schema: str = ""


@dataclass(frozen=True, slots=True)
class Rule:
    """One rule; an empty condition always holds."""

    tenant: str
    front: str = ""
    header: str = ""  # NAME=VALUE
    login: str = ""
    application: str = ""
    database: str = ""
    schema: str = ""
    address: str = ""  # an address or PREFIX/LENGTH

    def check(self) -> None:
        """ValueError says what can't be used."""
        name, mark, _ = self.header.partition("=")
        if self.header and (not mark or not name.strip()):
            raise ValueError(f"header: not NAME=VALUE: {self.header!r}")
        for field_name in NAMES:
            if "*" in getattr(self, field_name)[:-1]:
                raise ValueError(f"{field_name}: a * may stand at the end only")
        if self.address:
            ipaddress.ip_network(self.address)


def _bits(address: str) -> tuple[int, int, int] | None:
    """An address or network: its family, its bits from the left, how many."""
    try:
        network = ipaddress.ip_network(address)
    except ValueError:
        return None
    size = network.max_prefixlen
    return network.version, int(network.network_address) >> (size - network.prefixlen), network.prefixlen


@dataclass(slots=True)
class _Prefixes:
    """Address prefixes of one family by length; a look starts at the longest length that any rule has."""

    tables: dict[int, dict[int, tuple[Rank, int]]] = field(default_factory=dict)
    lengths: list[int] = field(default_factory=list)

    def add(self, bits: int, length: int, entry: tuple[Rank, int]) -> None:
        table = self.tables.setdefault(length, {})
        if bits not in table or entry < table[bits]:
            table[bits] = entry
        self.lengths = sorted(self.tables, reverse=True)

    def find(self, bits: int, size: int) -> tuple[Rank, int] | None:
        for length in self.lengths:
            if (entry := self.tables[length].get(bits >> (size - length))) is not None:
                return entry
        return None


Kind = tuple[tuple[tuple[int, int], ...], bytes]  # place and length (-1: whole) of each name; the header
Table = dict[tuple[object, ...], dict[int, _Prefixes]]  # by the names' values; then by address family, 0 for any


class Index:
    """All rules, compiled."""

    def __init__(self, rules: Sequence[Rule]) -> None:
        self.rules = rules
        self._kinds: dict[Kind, Table] = {}
        for number, rule in enumerate(rules):
            self._add(number, rule)

    def _add(self, number: int, rule: Rule) -> None:
        names, values = [], list[object]()
        for place, name in enumerate(NAMES):
            text = getattr(rule, name).casefold()
            if text:
                star = text.endswith("*")
                names.append((place, len(text) - 1 if star else -1))
                values.append(text[:-1] if star else text)
        header_name, _, header_value = rule.header.partition("=")
        header = header_name.strip().lower().encode()
        if header:
            values.append(header_value.strip().encode())
        table = self._kinds.setdefault((tuple(names), header), {})
        entry = (rank(rule, number), number)
        family, bits, length = _bits(rule.address) or (0, 0, 0)
        prefixes = table.setdefault(tuple(values), {}).setdefault(family, _Prefixes())
        prefixes.add(bits, length, entry)

    def find(self, facts: Facts) -> Rule | None:
        """The rule that fits best, or None."""
        texts = [getattr(facts, name).casefold() for name in NAMES]
        address = _bits(facts.address)
        best: tuple[Rank, int] | None = None
        for (names, header), table in self._kinds.items():
            key: list[object] = []
            for place, length in names:
                text = texts[place]
                if length >= 0:
                    if len(text) < length:
                        break
                    text = text[:length]
                key.append(text)
            else:
                if header:
                    value = facts.headers.get(header)
                    if value is None:
                        continue
                    key.append(value.strip())
                for entry in self._below(table.get(tuple(key)), address):
                    if best is None or entry < best:
                        best = entry
        return self.rules[best[1]] if best is not None else None

    @staticmethod
    def _below(families: Mapping[int, _Prefixes] | None,
               address: tuple[int, int, int] | None) -> Iterator[tuple[Rank, int]]:
        if families is None:
            return
        if (anywhere := families.get(0)) is not None and (entry := anywhere.find(0, 0)) is not None:
            yield entry
        if address is not None and (prefixes := families.get(address[0])) is not None:
            if (entry := prefixes.find(address[1], address[2])) is not None:
                yield entry


def rank(rule: Rule, number: int) -> Rank:
    """Smaller is better: longer prefix, more conditions, longer names, earlier."""
    conditions = [getattr(rule, name) for name in NAMES if getattr(rule, name)] + ([rule.header] if rule.header else [])
    bits = _bits(rule.address)
    return -(bits[2] if bits else -1), -len(conditions), -sum(map(len, conditions)), number


def fits(rule: Rule, facts: Facts) -> bool:
    """Whether all that the rule names holds; the plain meaning that the index is tested and measured against."""
    for name in NAMES:
        wanted, text = getattr(rule, name).casefold(), getattr(facts, name).casefold()
        if wanted.endswith("*"):
            if not text.startswith(wanted[:-1]):
                return False
        elif wanted and wanted != text:
            return False
    if rule.header:
        name, _, value = rule.header.partition("=")
        if facts.headers.get(name.strip().lower().encode(), b"\0").strip() != value.strip().encode():
            return False
    if rule.address:
        try:
            return ipaddress.ip_address(facts.address) in ipaddress.ip_network(rule.address)
        except ValueError:
            return False
    return True


def scan(rules: Iterable[Rule], facts: Facts) -> Rule | None:
    """The best fit by looking at every rule."""
    fitting = [(rank(rule, number), rule) for number, rule in enumerate(rules) if fits(rule, facts)]
    return min(fitting, key=lambda entry: entry[0])[1] if fitting else None
