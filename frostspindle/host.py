"""The running program as its optional parts see it: what they may read of it and hang themselves into.

Owns the one interface between `program.py`, which puts all parts together, and the parts that an operator's file turns
on (recovery, scatter, subscriptions, cold engines' rights). It must never import what it describes from above: parts
are told here what there is, and the program has it.
"""

from __future__ import annotations

from typing import Any, Protocol

from frostspindle.config import Config
from frostspindle.core import Core
from frostspindle.telemetry import Telemetry


class ProgramContext(Protocol):
    """The running coordinator as optional parts see it; `attach(host)` of each is called before the start."""

    config: Config
    core: Core
    telemetry: Telemetry
    fleet: Any  # fleet.service.Service, None without [fleet]: its `parts` are heard over the fleet's datagrams
    desk: Any  # net.operator.Desk, None without an operators' port: `does` names the calls
    driver: Any  # net.engines.Engines
    platform: Any  # net.platform.Platform
    bus: Any  # net.bus.Bus
    replica: Any  # replica.base.Log, None without [replica]; what stands on it is attached before the start
    shared: Any  # shared.Shared or the workers' link; set only after the parts are attached
