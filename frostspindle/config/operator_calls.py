"""The settings of the operator's file that need the operators' port: `[subscriptions]` and `metrics`."""

from __future__ import annotations

import importlib.util
from typing import Annotated

from msgspec import Meta, Struct

from frostspindle.config.cores import check_single_worker
from frostspindle.config.errors import ConfigError


class SubscriptionsSection(Struct, forbid_unknown_fields=True):
    """Operators' programs may subscribe to events at this coordinator; see docs/subscriptions.md."""

    most: Annotated[int, Meta(ge=1, le=10_000)] = 1_000  # concurrent subscriptions
    remember: Annotated[int, Meta(ge=256, le=262_144)] = 16_384  # own events kept for subscribers that reconnect
    backlog: Annotated[int, Meta(ge=16, le=16_384)] = 1_024  # events queued for one subscriber


def check_metrics(has_operator_port: bool) -> None:
    """Raise ConfigError if the call `metrics` can't be served."""
    if not has_operator_port:
        raise ConfigError("metrics: needs operator (LB_OPERATOR), the port that answers it")
    if importlib.util.find_spec("prometheus_client") is None:
        raise ConfigError("metrics: needs the extra: pip install 'frostspindle[metrics]'")


def check_subscriptions(workers: int, has_operator_port: bool) -> None:
    """Raise ConfigError if `[subscriptions]` can't be served."""
    check_single_worker("subscriptions", workers)
    if not has_operator_port:
        raise ConfigError("subscriptions: needs LB_OPERATOR, where subscribers call")
