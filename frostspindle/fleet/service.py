"""I/O of the fleet: one UDP socket and one timer that drive a FleetNode, with its log events, figures and verdicts.

Owns the socket and the process's secret and epoch, and decides when the node runs, but nothing about the fleet or about
requests. Reads at most DATAGRAMS_PER_TURN datagrams per iteration of the event loop. A process whose port is in use
waits until it is free, and has no quota until then. Must be used from the event loop's thread only.
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
BIND_RETRY_S = 0.25  # between attempts to bind a port that is in use
UPDATE_INTERVAL_S = 0.25  # between reads of the decision module's verdicts and log events of spending
SLOW_FACTOR = 3.0  # an engine is reported as slow above this ratio of its recent latency to its best
FINAL_FIGURES = frozenset({"sums", "counted", "bytes_in", "bytes_out"})  # logged when the service closes


def monotonic() -> float:
    """Return the monotonic time in ms; it also advances while the process is stopped."""
    return time.monotonic() * 1000.0


class FleetChannel(Protocol):
    """A part of the program that exchanges datagrams with its counterparts in other coordinators over one channel."""

    channel: int  # number below wire.CHANNELS, used by no other part

    def on_started(self, now: float, node: FleetNode) -> None:
        """Start; called once the UDP port is bound, from when on FleetService.post reaches members."""

    def on_message(self, now: float, name: str, epoch: int, data: bytes) -> None:
        """Handle a message of a verified sender. Messages may be lost, delayed or duplicated, like any datagram."""

    def on_member_changed(self, now: float, name: str, state: str) -> None:
        """Handle a member's new state: alive, suspect, dead or left."""


class FleetService:
    """Runs the FleetNode of one process: socket, timer, log and figures."""

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
        """`tenants` maps the decision module's number of each tenant with a budget to the budget's name."""
        self.name = name
        self.listen = listen
        self.advertise = advertise
        self.settings = settings
        self.tenants = tenants
        self.core = core
        self.telemetry = telemetry
        self.node: FleetNode | None = None
        self.channels: list[FleetChannel] = []  # registered before start
        self.socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._spent: Counter[str] = Counter()  # by budget, since the last log event
        self._spent_since = clock() / 1000.0
        self._agreed_sick: set[str] = set()  # engines that a quorum reports as sick, as last passed to the module

    async def start(self) -> None:
        """Start the task that binds the UDP port, waiting while another process uses it, and then runs the node.

        Requires a running event loop.
        """
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        """Bind the port, start the node, then exchange verdicts and log spending until cancelled."""
        self.socket = await self._bind()
        if self.socket is None:
            return
        self._start_node(self.socket)
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            self._update()

    async def _bind(self) -> socket.socket | None:
        """Return a socket bound to the port, waiting while it is in use; on any other error, log it and return None."""
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
            if not is_waiting:  # by this process's predecessor, which may use its quota until it releases the port
                self.telemetry.log("fleet_bind_delayed", listen=f"{self.listen[0]}:{self.listen[1]}")
            is_waiting = True
            await asyncio.sleep(BIND_RETRY_S)

    def _start_node(self, bound: socket.socket) -> None:
        address = self.advertise or bound.getsockname()
        epoch = int(time.time() * 1e6)
        self.node = FleetNode(self.name, address, epoch, secrets.token_bytes(16), self.settings, monotonic())
        self.node.log = self.telemetry.log
        for channel in self.channels:
            self.node.channels[channel.channel] = channel.on_message
            self.node.watchers.append(channel.on_member_changed)
        asyncio.get_running_loop().add_reader(bound, self._read)
        self.telemetry.log("fleet_joined", listen=bound.getsockname(), advertise=address, epoch=epoch)
        for channel in self.channels:
            channel.on_started(monotonic(), self.node)
        self._tick()

    # Socket and timer.

    def _read(self) -> None:
        assert self.socket is not None and self.node is not None
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                data, source = self.socket.recvfrom(wire.MAX_PACKET_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                continue  # an ICMP error for a datagram sent earlier to a closed port
            self._send(self.node.receive(monotonic(), source, data))
        self._schedule()

    def _tick(self) -> None:
        assert self.node is not None
        self._send(self.node.tick(monotonic(), clock()))
        self._schedule()

    def _schedule(self) -> None:
        """Set the timer to the node's next due time, at least 1 ms from now."""
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
            except OSError:  # a full buffer or an unreachable peer: equivalent to a lost datagram
                self.telemetry.count("fleet_unsent")

    # Calls of the coordinator.

    def post(self, name: str, channel: int, data: bytes) -> None:
        """Send a message of up to wire.MAX_MESSAGE_BYTES bytes to a member; no effect while the node is not running."""
        if self.node is not None and self.socket is not None:
            self._send(self.node.post(monotonic(), name, channel, data))

    def within_budget(self, tenant: int) -> bool:
        """Spend one unit of a tenant's budget on a request; return False if no unit is ready.

        Return True for a tenant without a budget, and False while the node is not running.
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
        """Log spending, publish the local verdicts, and pass those of a quorum of others to the decision module."""
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
        """Report engines whose shared verdict has changed to the decision module."""
        changed = [number for number, state in self.core.engines.items() if state.name in changed_names]
        if not changed:
            return
        shares = {number: engine.slow_start_share for number, engine in self.core.controller.engines.items()}
        loads = tuple(
            policy.WorkerLoad(
                number,
                0,
                0.0,
                self.core.engines[number].name in self._agreed_sick,
                shares.get(number, 1.0),
                (),
                0.0,
            )
            for number in changed
        )
        self.core.update_worker_loads(loads)
        self.telemetry.log("fleet_verdict_changed", sick=sorted(self._agreed_sick)[:16])

    def _own_verdicts(self, unix_ms: float) -> dict[EngineKind, Evidence]:
        """Return the local verdicts.

        Verdicts reported by others are excluded, as coordinators would otherwise confirm each other's for ever.
        """
        verdicts: dict[EngineKind, Evidence] = {}
        for number, state in self.core.engines.items():
            engine = self.core.controller.engines.get(number)
            if engine is None or state.entry.health == policy.Health.GONE:
                continue
            evidence = (round(engine.failure_rate, 3), round(engine.slowdown, 3), float(len(engine.attempts)))
            if engine.ejected and not engine.ejected_by_peer:
                verdicts[state.name, engine_verdicts.SICK] = evidence
            if state.name in self.core.banned:
                verdicts[state.name, engine_verdicts.BANNED] = evidence
            if engine.slowdown > SLOW_FACTOR:
                verdicts[state.name, engine_verdicts.SLOW] = evidence
            if engine.in_slow_start(unix_ms):
                verdicts[state.name, engine_verdicts.COLD] = evidence
        return verdicts

    def figures(self) -> dict[str, Any]:
        """Return the figures for the operators' port."""
        if self.node is None:
            return {"name": self.name, "state": "waits for its port"}
        return self.node.figures(monotonic(), clock())

    def close(self) -> None:
        """Return borrowed quota, announce the departure and close the socket. No budget can be spent afterwards."""
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
