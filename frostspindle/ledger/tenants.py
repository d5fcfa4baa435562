"""Which tenant a request is of, by the operator's rules and the name that the client gives. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Sequence

from frostspindle.ledger.rule_index import RuleIndex
from frostspindle.ledger.tenant_rules import RequestAttributes, Rule


class UnknownTenantError(ValueError):
    """A client named a tenant that the settings do not have."""


class Tenants:
    """The decision module's number of each tenant: 0 the default, then those of the settings, then the operator's.

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
        self._numbers_by_client_name = {name.encode(): self.numbers[name] for name in settings}
        self._index = RuleIndex(rules) if rules else None

    @property
    def has_tenants(self) -> bool:
        """Whether there is any tenant beside the default."""
        return bool(self.names)

    def number(self, attributes: RequestAttributes, client_name: bytes | None = None) -> int:
        """Return the number of a request's tenant; UnknownTenantError if the client named one that does not exist.

        `client_name` is the name that the client gave, None if it gave none.
        """
        rule = self._index.find(attributes) if self._index is not None else None
        if rule is not None:
            return self.numbers[rule.tenant]
        if client_name is None or not self._numbers_by_client_name:
            return self.default
        if client_name not in self._numbers_by_client_name:
            raise UnknownTenantError("the settings have no such tenant")
        return self._numbers_by_client_name[client_name]
