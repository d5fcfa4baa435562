"""The fleet's socket and clock: one UDP socket and one timer around a FleetNode, its log, figures and verdicts.

Owns the socket, the process's secret and epoch, and when the node is called; decides nothing about the fleet or
requests. At most DATAGRAMS_PER_TURN datagrams are read in one turn of the event loop. A process that finds its port in
use waits for it, and has no quota until then. Belongs to the event loop.
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
from frostspindle.core.steady_clock import clock
from frostspindle.fleet import engine_verdicts, wire
from frostspindle.fleet.engine_verdicts import EngineKind, Evidence
from frostspindle.fleet.member_table import Address
from frostspindle.fleet.node import Datagram, FleetNode, FleetSettings
from frostspindle.telemetry import Telemetry

if TYPE_CHECKING:
    from frostspindle.core import Core

DATAGRAMS_PER_TURN = 64
BIND_RETRY_S = 0.25  # a port that is in use is tried again after this
UPDATE_INTERVAL_S = 0.25  # how often the own verdicts are taken from the module, and spending is logged
SLOW_FACTOR = 3.0  # an engine whose recent latency is so many times its best is reported as slow
FINAL_FIGURES = frozenset({"sums", "counted", "bytes_in", "bytes_out"})  # logged at the end


def monotonic() -> float:
    """Return milliseconds of a clock that runs on while the process is stopped."""
    return time.monotonic() * 1000.0


class FleetChannel(Protocol):
    """A part of the program that exchanges datagrams with its counterparts in other coordinators over one channel."""

    channel: int  # of wire.CHANNELS, its own

    def on_started(self, now: float, node: FleetNode) -> None:
        """Start: the UDP port is this process's, and FleetService.post reaches members from now on."""

    def on_message(self, now: float, name: str, epoch: int, data: bytes) -> None:
        """Take a message whose sender was verified; as any datagram it may be lost, late or doubled."""

    def on_member_changed(self, now: float, name: str, state: str) -> None:
        """Take a member's new state: alive, suspect, dead or left."""


class FleetService:
    """One process's part in the fleet: socket, timer, log and figures around a FleetNode."""

    def __init__(
        self,
        name: str,
        listen: Address,
        advertise: Address | None,
        settings: FleetSettings,
        tenants: dict[int, str],
        core: Core,
        telemetry: Telemetry,
    ) -> None:
        """`tenants`: the budget of each tenant that has one, by the module's number of the tenant."""
        self.name = name
        self.listen = listen
        self.advertise = advertise
        self.settings = settings
        self.tenants = tenants
        self.core = core
        self.telemetry = telemetry
        self.node: FleetNode | None = None
        self.channels: list[FleetChannel] = []  # set before start
        self.socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._spent: Counter[str] = Counter()  # by budget, since the last log event
        self._spent_since = clock() / 1000.0
        self._agreed_sick: set[str] = set()  # engines that a quorum of others reports as sick, as the module knows it

    async def start(self) -> None:
        """Start the task that binds the UDP port, waiting while another process holds it, and then runs the node.

        Needs a running event loop.
        """
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        """Bind the port, start the node, then update verdicts and log spending until cancelled."""
        self.socket = await self._bind()
        if self.socket is None:
            return
        self._start_node(self.socket)
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            self._update()

    async def _bind(self) -> socket.socket | None:
        """Return a socket bound to the port, once no other process holds it; None, with a log event, on an error."""
        is_waiting = False
        while True:
            bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            bound.setblocking(False)
            try:
                bound.bind(self.listen)
                return bound
            except OSError as error:
                bound.close()
                if error.errno != errno.EADDRINUSE:
                    self.telemetry.log("fleet_disabled", error=error.strerror)
                    return None
            if not is_waiting:  # our predecessor: its quota is its own until it lets go of the port
                self.telemetry.log("fleet_bind_delayed", listen=f"{self.listen[0]}:{self.listen[1]}")
            is_waiting = True
            await asyncio.sleep(BIND_RETRY_S)

    def _start_node(self, bound: socket.socket) -> None:
        address = self.advertise or bound.getsockname()
        epoch = int(time.time() * 1e6)
        self.node = FleetNode(self.name, address, epoch, secrets.token_bytes(16), self.settings, monotonic())
        self.node.log = self.telemetry.log
        for part in self.channels:
            self.node.channels[part.channel] = part.on_message
            self.node.watchers.append(part.on_member_changed)
        asyncio.get_running_loop().add_reader(bound, self._read)
        self.telemetry.log("fleet_joined", listen=bound.getsockname(), advertise=address, epoch=epoch)
        for part in self.channels:
            part.on_started(monotonic(), self.node)
        self._tick()

    # The socket.

    def _read(self) -> None:
        assert self.socket is not None and self.node is not None
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                data, source = self.socket.recvfrom(wire.MAX_PACKET_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                continue  # an ICMP error for an earlier datagram that nobody took
            self._send(self.node.receive(monotonic(), source, data))
        self._schedule()

    def _tick(self) -> None:
        assert self.node is not None
        self._send(self.node.tick(monotonic(), clock()))
        self._schedule()

    def _schedule(self) -> None:
        """Set the timer to when the node is due, at least 1 ms from now."""
        assert self.node is not None
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(0.001, (self.node.due() - monotonic()) / 1000.0)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._tick)

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

    def within_budget(self, tenant: int) -> bool:
        """Spend one unit of a tenant's budget on a request; return whether there was one.

        True for a tenant without a budget, False while the node does not serve.
        """
        budget = self.tenants.get(tenant)
        if budget is None:
            return True
        if self.node is None or not self.node.spend(monotonic(), clock(), budget):
            self.telemetry.count("fleet_over", budget)
            return False
        self._spent[budget] += 1
        return True

    # Spending and verdicts.

    def _update(self) -> None:
        """Log what was spent, publish the own verdicts, and tell the module what a quorum of others reports."""
        assert self.node is not None
        unix_s = clock() / 1000.0
        self._log_spent(unix_s)
        now = monotonic()
        self.node.set_verdicts(now, self._own_verdicts(unix_s * 1000.0))
        agreed = self.node.verdicts.agreed(now, engine_verdicts.SICK)
        if agreed != self._agreed_sick:
            changed_names = agreed ^ self._agreed_sick
            self._agreed_sick = agreed
            self._report_agreed(changed_names)

    def _log_spent(self, until: float) -> None:
        for budget, units in self._spent.items():
            self.telemetry.log(
                "fleet_budget_spent",
                budget=budget,
                units=units,
                since=round(self._spent_since, 4),
                until=round(until, 4),
            )
        self._spent.clear()
        self._spent_since = clock() / 1000.0

    def _report_agreed(self, changed_names: set[str]) -> None:
        """Tell the module about the engines on which the others' agreement has changed."""
        changed = [number for number, state in self.core.engines.items() if state.name in changed_names]
        if not changed:
            return
        parts = {number: believed.slow_start_share for number, believed in self.core.controller.engines.items()}
        loads = tuple(
            policy.WorkerLoad(
                number,
                0,
                0.0,
                self.core.engines[number].name in self._agreed_sick,
                parts.get(number, 1.0),
                (),
                0.0,
            )
            for number in changed
        )
        self.core.update_worker_loads(loads)
        self.telemetry.log("fleet_verdict_changed", sick=sorted(self._agreed_sick)[:16])

    def _own_verdicts(self, unix_ms: float) -> dict[EngineKind, Evidence]:
        """The own verdicts: never what others reported, else a report would keep itself alive."""
        verdicts: dict[EngineKind, Evidence] = {}
        for number, state in self.core.engines.items():
            believed = self.core.controller.engines.get(number)
            if believed is None or state.entry.health == policy.Health.GONE:
                continue
            evidence = (round(believed.failure_rate, 3), round(believed.slowdown, 3), float(len(believed.attempts)))
            if believed.ejected and not believed.ejected_by_peer:
                verdicts[state.name, engine_verdicts.SICK] = evidence
            if state.name in self.core.banned:
                verdicts[state.name, engine_verdicts.BANNED] = evidence
            if believed.slowdown > SLOW_FACTOR:
                verdicts[state.name, engine_verdicts.SLOW] = evidence
            if believed.in_slow_start(unix_ms):
                verdicts[state.name, engine_verdicts.COLD] = evidence
        return verdicts

    def figures(self) -> dict[str, Any]:
        """Return the figures for the operators' port."""
        if self.node is None:
            return {"name": self.name, "state": "waits for its port"}
        return self.node.figures(monotonic(), clock())

    def close(self) -> None:
        """Return what is borrowed, announce the departure and close the socket; no budget is spent afterwards."""
        if self._task is not None:
            self._task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        if self.node is not None and self.socket is not None:
            self._update()
            self._send(self.node.leave(monotonic()))
            final = {key: value for key, value in self.figures().items() if key in FINAL_FIGURES}
            self.telemetry.log("fleet_left", **final)
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
        self.node = None
