"""Cold engines' rights in the emulator of power losses: one coordinator's fleet node, as the program ties it.

Owns the node's life and timer, what its module is told of its parts, and the payment at the first byte. It must never
move a right by itself, nor choose what is sent: `fleet/slow_start.py` and the module do.
"""

from __future__ import annotations

from collections.abc import Callable

from frostspindle import policy
from frostspindle.fleet.node import Datagram, FleetNode, FleetSettings
from frostspindle.fleet.slow_start import SlowStartBudgets, budget_factor, requests_at, work_to_request
from frostspindle.policy.controller import Controller
from frostspindle.policy.slow_start import SLOW_START_SAFETY

PORT, LEASE_MS, TICK_MS, IDLE_MS = 4_000, 1_500.0, 20.0, 250.0  # the last three as in slow_start_service, config
CHAIN, WAITING = 512, 64


def address(number: int) -> tuple[str, int]:
    """Return the simulated address of a coordinator: a loopback host that encodes its number, and PORT."""
    return f"127.{number >> 16}.{number >> 8 & 255}.{number & 255}", PORT


def numbered(place: tuple[str, int]) -> int:
    """Return the number of the coordinator that has this address, the inverse of `address`."""
    _, high, middle, low = map(int, place[0].split("."))
    return high << 16 | middle << 8 | low


class Warming:
    """The fleet node of one life of a coordinator, with its rights in cold engines' budgets. Times are simulated ms,
    or Unix ms where named so."""

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
            FleetSettings({name: address(place) for place, name in enumerate(seeds)}, chain_length=CHAIN),
            now,
        )
        self.cold = SlowStartBudgets(
            self.node, settings.slow_start_window_ms, settings.coordinators, 0, LEASE_MS, now, unix
        )
        self.look_at = -1e18

    def hear(self, now: float, source: int, data: bytes) -> None:
        """Hand a datagram from coordinator `source` to the node, and send what it answers."""
        self._post(self.node.receive(now, address(source), data))

    def _post(self, out: list[Datagram]) -> None:
        for place, data in out:
            self.send(numbered(place), data)

    def tick(
        self, now: float, unix: float, controller: Controller, born: dict[int, float]
    ) -> policy.WorkerLoadReported | None:
        """Run the node's timer and the look at cold engines, each if due; return the decision module's parts that
        changed, None if none did. `born`: each engine's start by the bus, Unix ms."""
        if now >= self.node.due():
            self._post(self.node.tick(now, unix))
        if now < self.look_at:
            return None
        cold = any(e.ready and e.in_slow_start(unix) for e in controller.engines.values())
        self.look_at = now + (TICK_MS if cold else IDLE_MS)
        self.cold.tick(now)
        times, words = (
            budget_factor(controller.settings.coordinators, 0, controller.fractional_share, SLOW_START_SAFETY),
            [],
        )
        needs = controller.slow_start.needs(unix)
        works = [controller.slow_start.work_ms(job) for *_, job in controller.waiting_queue[:WAITING]] if needs else []
        for place, number in enumerate(sorted(needs)):
            engine = controller.engines[number]
            whole = times * controller.slow_start.budget_ms(engine, unix)
            wish, least = work_to_request(works, len(needs), whole / controller.settings.coordinators)
            here = requests_at(
                controller.settings.number, self.node.name, self.node.membership.alive, place, len(needs)
            )
            part = times * self.cold.usable_fraction(
                now,
                unix,
                f"e{number}",
                born[number],
                whole,
                needs[number][0] / times,
                here * wish / whole,
                least / whole,
                TICK_MS,
            )
            if part != engine.slow_start_share:
                words.append(
                    policy.WorkerLoad(
                        number, engine.peer_threads, engine.peer_memory_mb, engine.ejected_by_peer, part, (), 0.0
                    )
                )
        return policy.WorkerLoadReported(tuple(words)) if words else None

    def due(self, now: float) -> float:
        """Return when to tick next, at least 1 ms from now."""
        return max(now + 1.0, min(self.node.due() + 0.01, self.look_at))

    def pays(self, now: float, unix: float, controller: Controller, request: int, engine: int, born: float) -> bool:
        """Pay for an attempt right before its first byte, and return whether it may be sent. Warm engines need no
        payment."""
        believed, job = controller.engines.get(engine), controller.requests.get(request)
        if believed is None or not believed.ready or not believed.in_slow_start(unix):
            return True
        times = budget_factor(controller.settings.coordinators, 0, controller.fractional_share, SLOW_START_SAFETY)
        return job is not None and self.cold.spend(
            now,
            f"e{engine}",
            born,
            unix,
            controller.slow_start.work_ms(job),
            times * controller.slow_start.budget_ms(believed, unix),
        )
