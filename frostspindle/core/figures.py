"""The core's figures for operators: counters, the state of requests and engines, and table sizes.

Operators, SIGUSR1 and SNMP read them by key, so don't rename keys.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any

from frostspindle.core.dispatcher import EventDispatcher
from frostspindle.core.endpoints import EndpointRegistry
from frostspindle.core.ledger import RequestLedger
from frostspindle.core.requests import SUBREQUEST_FRONT
from frostspindle.core.steady_clock import clock
from frostspindle.held_memory import HeldMemory
from frostspindle.policy import Health
from frostspindle.policy.controller import Controller
from frostspindle.telemetry import Telemetry

# Figures of a class, and the counters that each is the sum of; "lost" counts requests open when a worker died.
CLASS_FIGURES = {"success": ("served",), "busy": ("refused", "full"), "failure": ("failed", "lost")}
MAX_REPORT_AGE_MS = 1e6  # also shown for engines without a load report


def table_sizes(
    ledger: RequestLedger, endpoints: EndpointRegistry, controller: Controller, dispatcher: EventDispatcher
) -> dict[str, int]:
    """Return the size of each of the core's tables, which are all bounded, to detect leaks."""
    return {
        "records": len(ledger.entries),
        "timers": len(dispatcher.timers),
        "engines": len(endpoints.engines),
        "names": len(endpoints.names),
        "believed": len(controller.engines),
        "held": len(controller.waiting_queue),
    }


def snapshot(
    ledger: RequestLedger,
    endpoints: EndpointRegistry,
    controller: Controller,
    dispatcher: EventDispatcher,
    held_memory: HeldMemory,
) -> dict[str, Any]:
    """Return the current state of requests and engines, to compare with the traffic on the sockets."""
    return {
        "open": ledger.open_count,
        "held": len(controller.waiting_queue),
        "records": len(ledger.entries),
        "timers": len(dispatcher.timers),
        "held_bytes": held_memory.by_purpose(),
        "engines": _engine_rows(ledger, endpoints, controller),
    }


def _engine_rows(ledger: RequestLedger, endpoints: EndpointRegistry, controller: Controller) -> list[dict[str, Any]]:
    in_flight = Counter(
        attempt.engine for entry in ledger.entries.values() for attempt in entry.attempts if not attempt.is_finished
    )
    rows = []
    for number, engine in endpoints.engines.items():
        estimate = controller.engines.get(number)
        if estimate is None:
            continue
        rows.append(
            {
                "name": engine.name,
                "health": engine.entry.health,
                "out": in_flight[number],
                "threads": estimate.threads,
                "peers": estimate.peer_threads,
                "bound": round(estimate.thread_limit, 1),
                "slow": round(estimate.slowdown, 2),
                "fails": round(estimate.failure_rate, 2),
                "granted_mb": round(estimate.granted_mb),
                "suspect": estimate.ejected,
                "report_age_ms": round(min(clock() - estimate.load_report_at_ms, MAX_REPORT_AGE_MS)),
            }
        )
    return rows


def operator_figures(
    classes: Sequence[tuple[str, str]],
    telemetry: Telemetry,
    ledger: RequestLedger,
    endpoints: EndpointRegistry,
    controller: Controller,
    held_memory: HeldMemory,
) -> dict[str, Any]:
    """Return the figures for operators, SIGUSR1 and SNMP, from the counters and the ledger."""
    listed = [number for number, engine in endpoints.engines.items() if engine.entry.health != Health.GONE]
    down = [number for number in listed if _is_down(number, endpoints, controller)]
    return {
        "calls": _calls_by_class(classes, telemetry),
        "backend_calls": sum(count for (event, _, _), count in telemetry.counts.items() if event == "written"),
        "inflight": ledger.open_count,
        "hosts_listed": len(listed),
        "hosts_down": len(down),
        "held_bytes": held_memory.held_bytes,
        "held_limit": held_memory.held_limit,
    }


def _calls_by_class(classes: Sequence[tuple[str, str]], telemetry: Telemetry) -> dict[str, dict[str, int]]:
    """Return the figures of each class, summed over all client fronts."""
    calls: dict[str, dict[str, int]] = {}
    for front, class_name in classes:
        if front == SUBREQUEST_FRONT:
            continue
        row = calls.setdefault(class_name, dict.fromkeys(CLASS_FIGURES, 0))
        for figure, counters in CLASS_FIGURES.items():
            row[figure] += sum(telemetry.counts[counter, front, class_name] for counter in counters)
    return calls


def _is_down(number: int, endpoints: EndpointRegistry, controller: Controller) -> bool:
    """Return whether an engine is banned or ejected."""
    if endpoints.engines[number].name in endpoints.banned:
        return True
    estimate = controller.engines.get(number)
    return estimate is not None and bool(estimate.ejected)
