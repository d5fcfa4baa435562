"""Budgets of cold engines in the emulator of power losses: one coordinator's fleet node, connected as in the program.

It runs the node's timer, computes the shares that are passed to the decision module, and pays for an attempt before its
first byte. `fleet/slow_start.py` moves the rights, and the decision module chooses what is sent.
"""

from __future__ import annotations

from collections.abc import Callable

from frostspindle import policy
from frostspindle.fleet.node import Datagram, FleetNode, FleetSettings
from frostspindle.fleet.slow_start import SlowStartBudgets, budget_factor, requests_at, work_to_request
from frostspindle.policy.controller import Controller
from frostspindle.policy.slow_start import SLOW_START_SAFETY

PORT, LEASE_MS, TICK_MS, IDLE_MS = 4_000, 1_500.0, 20.0, 250.0  # the last three as in slow_start_service, config
CHAIN_LENGTH, MAX_WAITING_REQUESTS = 512, 64


def address(number: int) -> tuple[str, int]:
    """Return the simulated address of a coordinator: a loopback host that encodes its number, and PORT."""
    return f"127.{number >> 16}.{number >> 8 & 255}.{number & 255}", PORT


def number_of(node_address: tuple[str, int]) -> int:
    """Return the number of the coordinator that has this address, the inverse of `address`."""
    _, high, middle, low = map(int, node_address[0].split("."))
    return high << 16 | middle << 8 | low


class ColdBudgets:
    """The fleet node of one incarnation of a coordinator, with its rights in the budgets of cold engines.

    Times are simulated ms; `unix`, `started_ms` and `engine_starts` are Unix ms.
    """

    def __init__(
        self,
        number: int,
        seeds: tuple[str, ...],
        settings: policy.Settings,
        secret: bytes,
        now: float,
        unix: float,
        send: Callable[[int, bytes], None],
    ) -> None:
        self.send = send
        self.node = FleetNode(
            f"c{number:03d}",
            address(number),
            int(unix * 1_000.0),
            secret,
            FleetSettings({name: address(index) for index, name in enumerate(seeds)}, chain_length=CHAIN_LENGTH),
            now,
        )
        self.cold = SlowStartBudgets(
            self.node, settings.slow_start_window_ms, settings.coordinators, 0, LEASE_MS, now, unix
        )
        self.next_tick = -1e18

    def hear(self, now: float, source: int, data: bytes) -> None:
        """Pass a datagram from coordinator `source` to the node, and send its replies."""
        self._post(self.node.receive(now, address(source), data))

    def _post(self, datagrams: list[Datagram]) -> None:
        for target, data in datagrams:
            self.send(number_of(target), data)

    def tick(
        self, now: float, unix: float, controller: Controller, engine_starts: dict[int, float]
    ) -> policy.WorkerLoadReported | None:
        """Run the timers of the node and of the budgets, if due; return the changed shares, None without a change.

        `engine_starts`: each engine's start as announced by the bus, Unix ms.
        """
        if now >= self.node.due():
            self._post(self.node.tick(now, unix))
        if now < self.next_tick:
            return None
        cold = any(e.ready and e.in_slow_start(unix) for e in controller.engines.values())
        self.next_tick = now + (TICK_MS if cold else IDLE_MS)
        self.cold.tick(now)
        factor, loads = (
            budget_factor(controller.settings.coordinators, 0, controller.fractional_share, SLOW_START_SAFETY),
            [],
        )
        needs = controller.slow_start.needs(unix)
        works = (
            [controller.slow_start.work_ms(job) for *_, job in controller.waiting_queue[:MAX_WAITING_REQUESTS]]
            if needs
            else []
        )
        for index, number in enumerate(sorted(needs)):
            engine = controller.engines[number]
            budget = factor * controller.slow_start.budget_ms(engine, unix)
            wanted, least = work_to_request(works, len(needs), budget / controller.settings.coordinators)
            requested = requests_at(
                controller.settings.number, self.node.name, self.node.membership.alive, index, len(needs)
            )
            share = factor * self.cold.usable_fraction(
                now,
                unix,
                f"e{number}",
                engine_starts[number],
                budget,
                needs[number][0] / factor,
                requested * wanted / budget,
                least / budget,
                TICK_MS,
            )
            if share != engine.slow_start_share:
                loads.append(
                    policy.WorkerLoad(
                        number, engine.peer_threads, engine.peer_memory_mb, engine.ejected_by_peer, share, (), 0.0
                    )
                )
        return policy.WorkerLoadReported(tuple(loads)) if loads else None

    def due(self, now: float) -> float:
        """Return when to tick next, at least 1 ms from now."""
        return max(now + 1.0, min(self.node.due() + 0.01, self.next_tick))

    def pays(
        self, now: float, unix: float, controller: Controller, request: int, engine: int, started_ms: float
    ) -> bool:
        """Pay for an attempt right before its first byte, and return whether it may be sent. Warm engines need no
        payment."""
        known_engine, job = controller.engines.get(engine), controller.requests.get(request)
        if known_engine is None or not known_engine.ready or not known_engine.in_slow_start(unix):
            return True
        factor = budget_factor(controller.settings.coordinators, 0, controller.fractional_share, SLOW_START_SAFETY)
        return job is not None and self.cold.spend(
            now,
            f"e{engine}",
            started_ms,
            unix,
            controller.slow_start.work_ms(job),
            factor * controller.slow_start.budget_ms(known_engine, unix),
        )
