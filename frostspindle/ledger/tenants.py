"""Which tenant a request is of: the operator's rules, compiled once into an index, and the names of the settings.

Owns the meaning of a rule, of the best fit among several, and of a name that a client gives beside them. It must never
read a file, a socket or a clock, and never costs a request more than one look for each *kind* of rule, however many
rules there are.

A rule names what must hold of a request: its front, one HTTP header, the TDS login, application and database, the
schema that the statement names, the client's address. A name may end in `*` and then fits all that begin so; names do
not differ by case, header values do. Among the rules that fit, the longest address prefix wins, then the rule with
more conditions, then the longer names, then the one that stands first.

The index is a tuple space: rules of the same kind (the same names as conditions, those with a `*` of the same length,
the same header) share one table, keyed by all its names together and, for rules with an address, by the prefix: a look
tries each length of prefix that the kind has, the longest first.
"""

from __future__ import annotations

import ipaddress
import socket
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

NAMES = ("front", "login", "application", "database", "schema")  # of a rule, each with or without a `*`
Rank = tuple[int, int, int, int]


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
        name, mark, _ = self.header.partition("=")
        if self.header and (not mark or not name.strip()):
            raise ValueError(f"header: not NAME=VALUE: {self.header!r}")
        for field_name in NAMES:
            if "*" in getattr(self, field_name)[:-1]:
                raise ValueError(f"{field_name}: a * may stand at the end only")
        if self.address:
            ipaddress.ip_network(self.address)


def _bits(address: str) -> tuple[int, int, int] | None:
    """Of a network: its family, its bits from the left, how many."""
    if not address:
        return None
    network = ipaddress.ip_network(address)
    length = network.prefixlen
    return network.version, int(network.network_address) >> (network.max_prefixlen - length), length


def _packed(address: str) -> tuple[int, int, int] | None:
    """Of one address, as a socket names it: its family, its bits, how many; None for what is no address."""
    try:
        if ":" in address:
            return 6, int.from_bytes(socket.inet_pton(socket.AF_INET6, address.partition("%")[0]), "big"), 128
        return 4, int.from_bytes(socket.inet_pton(socket.AF_INET, address), "big"), 32
    except OSError:
        return None


class UnknownTenantError(ValueError):
    """A client named a tenant that the settings do not have."""


class Tenants:
    """The module's number of each tenant: 0 the default, then those of the settings, then the operator's further ones.

    A matching rule of the operator's decides first, whatever the client says. Else the name that the client gives
    counts, if the settings have tenants at all; an unknown name is the client's error. A request with neither belongs
    to the default, which may be one of the settings' tenants.
    """

    def __init__(
        self, settings: Sequence[str], rules: Sequence[Rule] = (), operator: Sequence[str] = (), default: str = ""
    ) -> None:
        self.names = tuple(dict.fromkeys((*settings, *operator)))
        self.numbers = {name: number for number, name in enumerate(self.names, 1)}
        self.default = self.numbers.get(default, 0)
        self._said = {name.encode(): self.numbers[name] for name in settings}
        self._index = Index(rules) if rules else None

    @property
    def on(self) -> bool:
        """Whether there is any tenant beside the default."""
        return bool(self.names)

    def number(self, facts: RequestAttributes, said: bytes | None = None) -> int:
        """Return the number of a request's tenant; `said` is the name that the client gave. Raises Unknown."""
        if self._index is not None and (rule := self._index.find(facts)) is not None:
            return self.numbers[rule.tenant]
        if said is None or not self._said:
            return self.default
        if said not in self._said:
            raise UnknownTenantError("the settings have no such tenant")
        return self._said[said]


Key = tuple[object, ...]  # the values of a kind's names, its header's last
Kind = tuple[tuple[tuple[int, int], ...], bytes]  # place and length (-1: whole) of each name; the header


@dataclass(slots=True)
class _Table:
    """The rules of one kind, by number: those without an address, and the others by family and length of prefix."""

    anywhere: dict[Key, int] = field(default_factory=dict)
    networks: dict[tuple[int, int], dict[tuple[Key, int], int]] = field(default_factory=dict)


class Index:
    """All rules, compiled into one table for each kind of rule."""

    def __init__(self, rules: Sequence[Rule]) -> None:
        self.rules = rules
        self._ranks: list[Rank] = []
        self._kinds: dict[Kind, _Table] = {}
        for number, rule in enumerate(rules):
            self._add(number, rule)
        for table in self._kinds.values():  # longest first: the first hit is the best of its key
            table.networks = dict(sorted(table.networks.items(), reverse=True))

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
        network = _bits(rule.address)
        self._ranks.append(_rank(rule, number, network[2] if network else -1))
        table, key = self._kinds.setdefault((tuple(names), header), _Table()), tuple(values)
        if network is None:
            self._keep(table.anywhere, key, number)
        else:
            family, bits, length = network
            self._keep(table.networks.setdefault((family, length), {}), (key, bits), number)

    def _keep(self, table: dict[Any, int], key: Any, number: int) -> None:
        if key not in table or self._ranks[number] < self._ranks[table[key]]:
            table[key] = number

    def find(self, facts: RequestAttributes) -> Rule | None:
        """Return the rule that fits best, or None."""
        texts = [getattr(facts, name).casefold() for name in NAMES]
        address = _packed(facts.address)
        best: int | None = None
        for (names, header), table in self._kinds.items():
            values: list[object] = []
            for place, length in names:
                text = texts[place]
                if length >= 0:
                    if len(text) < length:
                        break
                    text = text[:length]
                values.append(text)
            else:
                if header:
                    if (value := facts.headers.get(header)) is None:
                        continue
                    values.append(value.strip())
                found = self._in(table, tuple(values), address)
                if found is not None and (best is None or self._ranks[found] < self._ranks[best]):
                    best = found
        return self.rules[best] if best is not None else None

    @staticmethod
    def _in(table: _Table, key: Key, address: tuple[int, int, int] | None) -> int | None:
        if address is not None:
            family, bits, size = address
            for (of, length), networks in table.networks.items():
                if of == family and (number := networks.get((key, bits >> (size - length)))) is not None:
                    return number
        return table.anywhere.get(key)


def rank(rule: Rule, number: int) -> Rank:
    """Return a rule's rank, smaller is better: longer prefix, more conditions, longer names, earlier place."""
    network = _bits(rule.address)
    return _rank(rule, number, network[2] if network else -1)


def _rank(rule: Rule, number: int, length: int) -> Rank:
    conditions = [text for name in NAMES if (text := getattr(rule, name))] + ([rule.header] if rule.header else [])
    return -length, -len(conditions), -sum(map(len, conditions)), number


def fits(rule: Rule, facts: RequestAttributes) -> bool:
    """Return whether all conditions of a rule hold: the reference that the index is tested and measured against."""
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


def scan(rules: Iterable[Rule], facts: RequestAttributes) -> Rule | None:
    """Return the best fit by testing every rule: the reference for `Index.find`."""
    fitting = [(rank(rule, number), rule) for number, rule in enumerate(rules) if fits(rule, facts)]
    return min(fitting, key=lambda entry: entry[0])[1] if fitting else None
