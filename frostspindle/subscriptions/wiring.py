"""Connects subscriptions to a program that has them in its operator's file; imported only then.

Registers the service with the parts of the program that report events to it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from frostspindle.predicates.language import parse
from frostspindle.subscriptions.service import SubscriptionService

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext


def attach(program: ProgramContext) -> SubscriptionService:
    """Create the service and register it with the core, the operators' port and the fleet, if there is one."""
    settings = program.config.operator.subscriptions
    assert settings is not None and program.operator_server is not None
    parse("TRUE")  # builds the parser, which takes tens of milliseconds, before requests are served
    service = SubscriptionService(
        program.config.name,
        program.core,
        program.telemetry,
        program.config.tenants.names,
        settings.most,
        settings.remember,
        settings.backlog,
        program.fleet.post if program.fleet else None,
    )
    program.core.observer = service
    if program.fleet:
        program.fleet.channels.append(service)
    program.operator_server.stream_handlers |= {"subscribe": service.subscribe, "resume": service.resume}
    program.operator_server.handlers |= {"unsubscribe": service.unsubscribe, "show-subscriptions": service.figures}
    return service
