"""Assignment of requests to tenants, by the operator's rules and the client's tenant name. Uses no I/O and no clock."""

from __future__ import annotations

from collections.abc import Sequence

from frostspindle.ledger.rule_index import RuleIndex
from frostspindle.ledger.tenant_rules import RequestAttributes, Rule


class UnknownTenantError(ValueError):
    """The client gave a tenant name that is not in the settings."""


class Tenants:
    """Maps requests to the decision module's tenant numbers: 0 the default, then the settings', then the operator's.

    A matching rule of the operator takes precedence over the name that the client gives. Without one, the client's
    name counts if the settings define tenants; an unknown name is an error of the client. All other requests belong to
    the default tenant, which may be one of the settings' tenants.
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
        """Whether there are tenants besides the default one."""
        return bool(self.names)

    def number(self, attributes: RequestAttributes, client_name: bytes | None = None) -> int:
        """Return the number of a request's tenant.

        `client_name` is the tenant name that the client gave, or None. Raise UnknownTenantError if it is not known.
        """
        rule = self._index.find(attributes) if self._index is not None else None
        if rule is not None:
            return self.numbers[rule.tenant]
        if client_name is None or not self._numbers_by_client_name:
            return self.default
        if client_name not in self._numbers_by_client_name:
            raise UnknownTenantError("the settings have no such tenant")
        return self._numbers_by_client_name[client_name]
