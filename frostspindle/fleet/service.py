"""The fleet's socket and clock: one UDP socket, one timer, and what the node says put into log, figures and module.

Owns the socket, the process's secret and epoch, and when the node is called. It must never decide anything about the
fleet or requests, never take more datagrams in a turn than TURN, and never serve under an address that another process
still holds: a process that finds its port in use waits for it, and holds no rights until then.
"""

from __future__ import annotations

import asyncio
import errno
import secrets
import socket
import time
from collections import Counter
from typing import TYPE_CHECKING, Any, Protocol

from frostspindle import policy
from frostspindle.fleet import engine_verdicts, wire
from frostspindle.fleet.node import Datagram, FleetNode, FleetSettings
from frostspindle.telemetry import Telemetry

if TYPE_CHECKING:
    from frostspindle.core import Core

TURN = 64  # datagrams read at a time
AGAIN_S = 0.25  # a port that is in use is tried again after this
LOOK_S = 0.25  # how often the own judgements are taken from the module, and spending is logged
SLOW = 3.0  # an engine whose recent latency is so many times its best is judged slow


def monotonic() -> float:
    """Return milliseconds of a clock that runs on while the process is stopped."""
    return time.monotonic() * 1000.0


class FleetChannel(Protocol):
    """A part of the program that exchanges datagrams with its counterparts in other coordinators over one channel."""

    channel: int  # of wire.CHANNELS, its own

    def begin(self, now: float, node: FleetNode) -> None:
        """Start: the UDP port is this process's, and Service.post reaches members from now on."""

    def hear(self, now: float, name: str, epoch: int, data: bytes) -> None:
        """Take a message whose sender was verified; as any datagram it may be lost, late or doubled."""

    def member(self, now: float, name: str, state: str) -> None:
        """Take a member's new state: alive, suspect, dead or left."""


class FleetService:
    """One process's part in the fleet: socket, timer, log and figures around a Node."""

    def __init__(
        self,
        name: str,
        listen: tuple[str, int],
        advertise: tuple[str, int] | None,
        terms: FleetSettings,
        tenants: dict[int, str],
        core: Core,
        telemetry: Telemetry,
    ) -> None:
        self.name, self.listen, self.advertise, self.terms = name, listen, advertise, terms
        self.tenants, self.core, self.telemetry = tenants, core, telemetry  # tenants: the module's number, its budget
        self.node: FleetNode | None = None
        self.parts: list[FleetChannel] = []  # set before start
        self.socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._spent: Counter[str] = Counter()
        self._since = time.time()
        self._heard: set[str] = set()

    async def start(self) -> None:
        """Start the task that binds the UDP port, waiting while another process holds it, and then runs the node.

        Needs a running event loop.
        """
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        """Take the port, then look over judgements and figures until cancelled."""
        loop = asyncio.get_running_loop()
        waits = False
        while self.socket is None:
            line = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            line.setblocking(False)
            try:
                line.bind(self.listen)
                self.socket = line
            except OSError as error:
                line.close()
                if error.errno != errno.EADDRINUSE:
                    self.telemetry.log("fleet_off", error=error.strerror)
                    return
                if not waits:  # our predecessor: its rights are its own until it lets go of the port
                    self.telemetry.log("fleet_waits", listen=f"{self.listen[0]}:{self.listen[1]}")
                waits = True
                await asyncio.sleep(AGAIN_S)
        here = self.advertise or self.socket.getsockname()
        self.node = FleetNode(self.name, here, int(time.time() * 1e6), secrets.token_bytes(16), self.terms, monotonic())
        self.node.note = self.telemetry.log
        for part in self.parts:
            self.node.channels[part.channel] = part.hear
            self.node.watchers.append(part.member)
        loop.add_reader(self.socket, self._read)
        self.telemetry.log("fleet", listen=self.socket.getsockname(), advertise=here, epoch=self.node.epoch)
        for part in self.parts:
            part.begin(monotonic(), self.node)
        self._tick()
        while True:
            await asyncio.sleep(LOOK_S)
            self._look()

    # The socket.

    def _read(self) -> None:
        assert self.socket is not None and self.node is not None
        for _ in range(TURN):
            try:
                data, source = self.socket.recvfrom(wire.MOST_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                continue  # word of an earlier datagram that nobody took
            self._send(self.node.receive(monotonic(), source, data))
        self._plan()

    def _tick(self) -> None:
        assert self.node is not None
        self._send(self.node.tick(monotonic(), time.time() * 1000.0))
        self._plan()

    def _plan(self) -> None:
        assert self.node is not None
        if self._timer is not None:
            self._timer.cancel()
        wait_s = max(0.001, (self.node.due() - monotonic()) / 1000.0)
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)

    def _send(self, datagrams: list[Datagram]) -> None:
        assert self.socket is not None
        for address, data in datagrams:
            try:
                self.socket.sendto(data, address)
            except OSError:  # a full buffer or nobody there: a lost datagram like any other
                self.telemetry.count("fleet_unsent")

    # What the coordinator uses.

    def post(self, name: str, channel: int, data: bytes) -> None:
        """Send a message of up to wire.MAX_MESSAGE_BYTES bytes to a member; nothing where the node does not serve."""
        if self.node is not None and self.socket is not None:
            self._send(self.node.post(monotonic(), name, channel, data))

    def within(self, tenant: int) -> bool:
        """Book one request of a tenant on the fleet's budget for it; return whether it is within.

        True for a tenant without a budget, False while the node does not serve.
        """
        budget = self.tenants.get(tenant)
        if budget is None:
            return True
        if self.node is None or not self.node.spend(monotonic(), time.time() * 1000.0, budget):
            self.telemetry.count("fleet_over", budget)
            return False
        self._spent[budget] += 1
        return True

    def _look(self) -> None:
        """Log what was spent, judge engines by what the module holds of them, pass on what enough others say."""
        assert self.node is not None
        now = time.time()
        for budget, units in self._spent.items():
            self.telemetry.log(
                "fleet_spent", budget=budget, units=units, since=round(self._since, 4), until=round(now, 4)
            )
        self._spent.clear()
        self._since = time.time()
        at = monotonic()
        self.node.judge(at, self._standing(now * 1000.0))
        agreed = self.node.verdicts.agreed(at, engine_verdicts.SICK)
        if agreed != self._heard:
            changed = [number for number, state in self.core.engines.items() if state.name in agreed ^ self._heard]
            self._heard = agreed
            if changed:
                parts = {n: believed.slow_start_share for n, believed in self.core.controller.engines.items()}
                self.core.update_worker_loads(
                    tuple(
                        policy.WorkerLoad(
                            number, 0, 0.0, self.core.engines[number].name in agreed, parts.get(number, 1.0), (), 0.0
                        )
                        for number in changed
                    )
                )
                self.telemetry.log("fleet_verdict", sick=sorted(agreed)[:16])

    def _standing(self, now: float) -> dict[tuple[str, int], tuple[float, ...]]:
        """The own judgements: never what was only heard, else a rumour would keep itself alive."""
        out: dict[tuple[str, int], tuple[float, ...]] = {}
        for number, state in self.core.engines.items():
            believed = self.core.controller.engines.get(number)
            if believed is None or state.entry.health == policy.Health.GONE:
                continue
            evidence = (round(believed.failure_rate, 3), round(believed.slowdown, 3), float(len(believed.attempts)))
            if believed.ejected and not believed.ejected_by_peer:
                out[state.name, engine_verdicts.SICK] = evidence
            if state.name in self.core.banned:
                out[state.name, engine_verdicts.BANNED] = evidence
            if believed.slowdown > SLOW:
                out[state.name, engine_verdicts.SLOW] = evidence
            if believed.in_slow_start(now):
                out[state.name, engine_verdicts.COLD] = evidence
        return out

    def figures(self) -> dict[str, Any]:
        """Return the figures for the operators' port."""
        if self.node is None:
            return {"name": self.name, "state": "waits for its port"}
        return self.node.figures(monotonic(), time.time() * 1000.0)

    def close(self) -> None:
        """Return what is borrowed, announce the departure and close the socket; no budget is spent afterwards."""
        if self._task is not None:
            self._task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        if self.node is not None and self.socket is not None:
            self._look()
            self._send(self.node.leave(monotonic()))
            self.telemetry.log(
                "fleet_end",
                **{
                    key: value
                    for key, value in self.figures().items()
                    if key in ("sums", "counted", "bytes_in", "bytes_out")
                },
            )
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
        self.node = None
