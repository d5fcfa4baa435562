"""The SNMP agent: the program's counters, engines and sessions, read-only, by SNMPv2c.

Serves the objects of mibs/FROSTSPINDLE-MIB.txt on one UDP socket, from the same counters and figures as SIGUSR1 and the
operators' port. Every SET is rejected, and requests with a wrong community are not answered. Import it only if the
operator's file enables it.
"""

from __future__ import annotations

import bisect
import logging
import socket
import time
from collections.abc import Callable
from typing import Any

from pysnmp.carrier.asyncio.dgram import udp
from pysnmp.entity import config as snmp_config
from pysnmp.entity.engine import SnmpEngine
from pysnmp.entity.rfc3413 import cmdrsp, context
from pysnmp.proto import rfc1902, rfc1905
from pysnmp.smi import error
from pysnmp.smi.instrum import AbstractMibInstrumController

from frostspindle.config import SnmpSection, address
from frostspindle.core import Core
from frostspindle.telemetry import Telemetry

ROOT = (1, 3, 6, 1, 4, 1, 32473, 1)
SCALARS, CLASSES, ENGINES, SESSIONS = (*ROOT, 1, 1), (*ROOT, 1, 2, 1), (*ROOT, 1, 3, 1), (*ROOT, 1, 4, 1)
FRONTS = {"http": 1, "tds": 2}
CLASS_COUNTS = ("taken", "full", "sent", "served", "refused", "failed", "left")
HEALTH = {0: 3, 1: 1, 2: 2}  # decision module's value: MIB value; ready, draining, gone
SNAPSHOT_MAX_AGE_MS = 200.0  # one snapshot serves the many reads of a walk
Oid = tuple[int, ...]


class Objects(AbstractMibInstrumController):
    """All objects, as an ordered snapshot that is renewed after SNAPSHOT_MAX_AGE_MS."""

    def __init__(self, core: Core, telemetry: Telemetry, sessions: Callable[[], dict[str, int]]) -> None:
        self.core, self.telemetry, self.sessions = core, telemetry, sessions
        self._snapshot_ms, self._values, self._order = 0.0, dict[Oid, Any](), list[Oid]()

    def _snapshot(self) -> dict[Oid, Any]:
        now = time.monotonic() * 1000.0
        if self._order and now - self._snapshot_ms < SNAPSHOT_MAX_AGE_MS:
            return self._values
        telemetry, counts, values = self.telemetry, self.telemetry.counts, {}
        figures = self.core.figures()
        up = int(telemetry.up_s() * 100) & 0xFFFFFFFF
        for number, value in enumerate(
            (
                rfc1902.OctetString(telemetry.name.encode()),
                rfc1902.TimeTicks(up),
                rfc1902.Gauge32(figures["inflight"]),
                rfc1902.Counter64(counts["faults", "", ""]),
                rfc1902.Counter64(counts["bus_reconnects", "", ""]),
                rfc1902.Counter64(figures["backend_calls"]),
                rfc1902.Gauge32(figures["hosts_listed"]),
                rfc1902.Gauge32(figures["hosts_down"]),
            ),
            1,
        ):
            values[(*SCALARS, number, 0)] = value
        for index, (front, cls) in enumerate(self.core.classes, 1):
            row = (FRONTS[front], index)
            values[(*CLASSES, 3, *row)] = rfc1902.OctetString(cls.encode())
            for column, name in enumerate(CLASS_COUNTS, 4):
                values[(*CLASSES, column, *row)] = rfc1902.Counter64(counts[name, front, cls])
        for number, state in self.core.engines.items():
            row = (number + 1,) if number < 0xFFFFFFFF else (number,)
            values[(*ENGINES, 2, *row)] = rfc1902.OctetString(state.name.encode()[:255])
            values[(*ENGINES, 3, *row)] = rfc1902.OctetString(f"{state.address[0]}:{state.address[1]}".encode())
            values[(*ENGINES, 4, *row)] = rfc1902.Integer32(HEALTH[state.entry.health])
        for front, count in self.sessions().items():
            values[(*SESSIONS, 2, FRONTS[front])] = rfc1902.Gauge32(count)
        self._snapshot_ms, self._values, self._order = now, values, sorted(values)
        return values

    def _check_access(self, name: Oid, context: dict[str, Any]) -> None:
        context["acFun"]("read", (rfc1902.ObjectName(name), None), **{**context, "idx": 0})

    def read_variables(self, *varBinds: Any, **context: Any) -> list[tuple[Any, Any]]:
        """Answer a GET: look up each object by its complete name."""
        values = self._snapshot()
        results = []
        for name, _ in varBinds:
            oid = tuple(name)
            self._check_access(ROOT, context)
            if oid in values:
                results.append((name, values[oid]))
            else:
                known = (
                    any(known_oid[: len(oid) - 1] == oid[:-1] for known_oid in self._order)
                    if len(oid) > len(ROOT)
                    else False
                )
                results.append((name, rfc1905.noSuchInstance if known else rfc1905.noSuchObject))
        return results

    def read_next_variables(self, *varBinds: Any, **context: Any) -> list[tuple[Any, Any]]:
        """Answer a GETNEXT or GETBULK: the object that follows each name in order."""
        values = self._snapshot()
        results = []
        for name, _ in varBinds:
            self._check_access(ROOT, context)
            index = bisect.bisect_right(self._order, tuple(name))
            if index < len(self._order):
                results.append((rfc1902.ObjectName(self._order[index]), values[self._order[index]]))
            else:
                results.append((name, rfc1905.endOfMibView))
        return results

    def write_variables(self, *varBinds: Any, **context: Any) -> list[tuple[Any, Any]]:
        """Reject every SET by NotWritableError."""
        self.telemetry.count("snmp_sets_refused")
        raise error.NotWritableError(idx=0)


class Agent:
    """The agent's UDP socket and its SNMP engine."""

    def __init__(
        self, snmp: SnmpSection, core: Core, telemetry: Telemetry, sessions: Callable[[], dict[str, int]]
    ) -> None:
        self.snmp = snmp
        self.objects = Objects(core, telemetry, sessions)
        self.port = 0
        self._engine: Any = None

    async def start(self, shared: bool = False) -> None:
        """Listen; raise OSError if the address is not available.

        `shared`: the other process of an upgrade may still be bound to the address.
        """
        logging.getLogger("pysnmp").addHandler(logging.NullHandler())
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address(self.snmp.listen, "snmp.listen"))
        self.port = sock.getsockname()[1]
        self._engine = SnmpEngine()
        snmp_config.add_transport(self._engine, udp.DOMAIN_NAME, udp.UdpTransport().open_server_mode(sock=sock))
        snmp_config.add_v1_system(self._engine, "reader", self.snmp.community)
        # 2: SNMPv2c only; the community has a read view and no write view.
        snmp_config.add_vacm_user(self._engine, 2, "reader", "noAuthNoPriv", readSubTree=ROOT)
        scope = context.SnmpContext(self._engine)
        scope.unregister_context_name(b"")
        scope.register_context_name(b"", self.objects)
        for responder in (
            cmdrsp.GetCommandResponder,
            cmdrsp.NextCommandResponder,
            cmdrsp.BulkCommandResponder,
            cmdrsp.SetCommandResponder,
        ):
            responder(self._engine, scope)
        self._engine.transport_dispatcher.job_started(1)

    def close(self) -> None:
        """Close the agent's socket; no effect if it was not started or is closed already."""
        if self._engine is not None:
            self._engine.close_dispatcher()
            self._engine = None
