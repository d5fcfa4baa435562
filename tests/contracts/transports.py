"""Adapters of the transports for the contract tests, with a common interface; TRANSPORTS lists them.

An adapter sends through the transport's own sending side, and receives where the transport calls its user. It must not
repair the transport's faults.
"""

from __future__ import annotations

import asyncio
import secrets
import socket
from collections import Counter
from collections.abc import Callable
from io import BytesIO
from types import SimpleNamespace
from typing import Any

from frostspindle.cores import mesh
from frostspindle.fleet import service, wire
from frostspindle.fleet.node import Datagram, FleetNode, FleetSettings
from frostspindle.lab import network
from frostspindle.lab.faults import relay
from frostspindle.lab.faults.script import parse
from frostspindle.replica import links
from frostspindle.replica.base import MAX_COMMAND_BYTES
from frostspindle.telemetry import Telemetry

COUNT = 3
FAR_MS = 1e12
Received = tuple[Any, bytes]  # sender (its number, a stranger's address, or None if not reported) and data


class Transport:
    """COUNT peers on one machine."""

    max_bytes: int  # of a message
    bound: int  # maximum number of waiting messages
    faults = False  # supports a fault script
    reports_sender = True

    def __init__(self, script: str = "") -> None:
        self.script = parse(script, COUNT)
        self.received: list[list[Received]] = [[] for _ in range(COUNT)]
        self.copies = 0  # deliveries according to the script

    async def start(self) -> None: ...

    def send(self, source: int, target: int, data: bytes) -> None: ...

    async def settle(self) -> None:
        """Wait until sent messages have arrived or were lost, as far as this does not depend on a timer."""
        quiet, before = 0, -1
        while quiet < 20:
            await asyncio.sleep(0)
            now = sum(map(len, self.received))
            quiet, before = (quiet + 1 if now == before else 0), now

    def counted(self) -> Counter[str]:
        """Return the transport's counters of messages that it did not deliver."""
        return Counter()

    async def flood(self, count: int) -> int:
        """Send messages to a peer that does not read them; return the maximum number that waited."""
        raise NotImplementedError

    def stranger(self, target: int, data: bytes) -> Any:
        """Send a message from an unknown address; return that address, or None if this is impossible."""
        return None

    def end(self, number: int) -> None:
        """Close one peer."""

    def close(self) -> None: ...

    def count_deliveries(self, weather: Any) -> None:
        """Count in `copies` the deliveries that the fault script decides."""
        fate = weather.draw_delays

        def counting(*args: Any) -> list[float]:
            delays = fate(*args)
            self.copies += len(delays)
            return delays

        weather.draw_delays = counting


def address(udp_socket: socket.socket) -> tuple[str, int]:
    return udp_socket.getsockname()


def make_udp_socket() -> socket.socket:
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.bind(("127.0.0.1", 0))
    udp_socket.setblocking(False)
    return udp_socket


class _ReceiverStub:
    """Replaces a node: records received datagrams, and lets the real node reject those that are too long."""

    def __init__(self, on_received: Callable[[tuple[str, int], bytes], None], node: FleetNode | None = None) -> None:
        self.on_received, self.node = on_received, node
        self.verdicts = SimpleNamespace(agreed=lambda *args: set())
        self.membership = SimpleNamespace(false_suspicions=0)

    def receive(self, now: float, source: tuple[str, int], data: bytes) -> list[Datagram]:
        if self.node is not None and len(data) > wire.MAX_PACKET_BYTES:
            assert not self.node.receive(now, source, data)
        else:
            self.on_received(source, data)
        return []

    def tick(self, *args: Any) -> list[Datagram]:
        return []

    leave = tick

    def due(self) -> float:
        return FAR_MS

    def set_verdicts(self, *args: Any) -> None: ...

    def figures(self, *args: Any) -> dict[str, Any]:
        return {}


class Fleet(Transport):
    """The fleet's UDP socket."""

    max_bytes, bound = wire.MAX_PACKET_BYTES, service.DATAGRAMS_PER_TURN

    async def start(self) -> None:
        core = SimpleNamespace(engines={}, banned=frozenset())
        self.services = [
            service.FleetService(
                f"c{n}", ("127.0.0.1", 0), None, FleetSettings({}, chain_length=8), {}, core, Telemetry(sink=BytesIO())
            )
            for n in range(COUNT)
        ]
        for number, fleet in enumerate(self.services):
            await fleet.start()
            while fleet.node is None:
                await asyncio.sleep(0)
            fleet.node = _ReceiverStub(
                lambda source, data, n=number: self.received[n].append((self.number(source), data)), fleet.node
            )
        self.addresses = [address(fleet.socket) for fleet in self.services]
        self.strangers: list[socket.socket] = []

    def number(self, source: tuple[str, int]) -> Any:
        return self.addresses.index(source) if source in self.addresses else source

    def send(self, source: int, target: int, data: bytes) -> None:
        self.services[source]._send([Datagram(self.addresses[target], data)])

    def counted(self) -> Counter[str]:
        counters: Counter[str] = Counter()
        for fleet in self.services:
            counters["refused"] += fleet.node.node.counted["fleet_undecodable"] if fleet.node else 0
            counters["unsent"] += fleet.telemetry.counts["fleet_unsent", "", ""]
        return counters

    async def flood(self, count: int) -> int:
        for _ in range(count):
            self.send(0, 1, b"x" * 100)
        self.services[1]._read()  # one iteration of the loop; the others wait in the bounded socket buffer
        return len(self.received[1])

    def stranger(self, target: int, data: bytes) -> Any:
        self.strangers.append(make_udp_socket())
        self.strangers[-1].sendto(data, self.addresses[target])
        return address(self.strangers[-1])

    def end(self, number: int) -> None:
        self.services[number].close()

    def close(self) -> None:
        for fleet in self.services:
            if fleet.node is not None:
                fleet.close()
        for stranger in self.strangers:
            stranger.close()


class Relay(Transport):
    """The relay between processes; plain sockets represent the processes."""

    max_bytes, bound, faults = relay.MAX_DATAGRAM_BYTES, relay.MAX_PENDING, True

    async def start(self) -> None:
        self.relay = relay.Relay(COUNT, self.script, 3).start()
        self.count_deliveries(self.relay.message_faults)
        self.sockets = [make_udp_socket() for _ in range(COUNT)]
        self.relay_addresses = [address(relay_socket) for relay_socket in self.relay.sockets]
        for number, udp_socket in enumerate(self.sockets):
            self.relay.place(number, address(udp_socket))
            asyncio.get_running_loop().add_reader(udp_socket, self._read, number)
        self.relay.begin()
        self.strangers: list[socket.socket] = []

    def _read(self, number: int) -> None:
        try:
            data, source = self.sockets[number].recvfrom(1 << 16)
        except OSError:
            return
        self.received[number].append(
            (self.relay_addresses.index(source) if source in self.relay_addresses else source, data)
        )

    def send(self, source: int, target: int, data: bytes) -> None:
        self.sockets[source].sendto(data, self.relay_addresses[target])

    def counted(self) -> Counter[str]:
        return Counter(
            lost=self.relay.message_faults.lost,
            refused=self.relay.too_long,
            crowded=self.relay.crowded,
            unknown=self.relay.unknown,
        )

    async def flood(self, count: int) -> int:
        self.relay.message_faults.script = parse("delay 60000-60000", COUNT)
        self.relay.message_faults._active = (-1.0, [])
        self.relay.message_faults._edges = [0.0]
        max_waiting = 0
        for _ in range(count):
            self.send(0, 1, b"x")
            await asyncio.sleep(0)
            max_waiting = max(max_waiting, self.relay.waiting)
        return max_waiting

    def stranger(self, target: int, data: bytes) -> Any:
        self.strangers.append(make_udp_socket())
        self.strangers[-1].sendto(data, self.relay_addresses[target])
        return address(self.strangers[-1])

    def end(self, number: int) -> None:
        asyncio.get_running_loop().remove_reader(self.sockets[number])
        self.sockets[number].close()

    def close(self) -> None:
        self.relay.close()
        for number, udp_socket in enumerate(self.sockets):
            if udp_socket.fileno() >= 0:
                self.end(number)
        for stranger in self.strangers:
            stranger.close()


class Emulated(Transport):
    """The emulator's network."""

    max_bytes, bound, faults = wire.MAX_PACKET_BYTES, network.MAX_WAITING_MESSAGES, True

    async def start(self) -> None:
        self.network = network.Network(COUNT, self.script, 5)
        self.count_deliveries(self.network.message_faults)

    def send(self, source: int, target: int, data: bytes) -> None:
        self.network.send(source, target, data)

    async def settle(self) -> None:
        for _, node, message in self.network.deliver(self.network.now + 1_000.0):
            self.received[node].append(message)

    def counted(self) -> Counter[str]:
        counted = self.network.counted
        return Counter(lost=self.network.message_faults.lost, refused=counted["too_long"], crowded=counted["not_read"])

    async def flood(self, count: int) -> int:
        self.network.paused[1] = True
        for _ in range(count):
            self.send(0, 1, b"x")
        await self.settle()
        return len(self.network.waiting[1])

    def end(self, number: int) -> None:
        self.network.end(number)


class _FrontStub:
    """Replaces a worker's front: answers each call with its own URL, but not in the order of the calls."""

    def __init__(self, on_received: Callable[[bytes], None]) -> None:
        self.on_received, self.telemetry, self.unanswered, self.is_silent = (
            on_received,
            Telemetry(sink=BytesIO()),
            [],
            False,
        )

    def connection_ended(self, connection: Any) -> None:
        pass

    def call(self, slot: Any, method: bytes, url: bytes, headers: dict[str, str], body: bytes) -> None:
        self.on_received(url)
        if self.is_silent:
            self.unanswered.append(slot)
        elif len(url) % 2:
            asyncio.get_running_loop().call_soon(slot.reply, 200, url)
        else:
            slot.reply(200, url)

    def call_abandoned(self, slot: Any) -> None: ...


class Mesh(Transport):
    """The workers' mesh. It does not report the caller to the front, but must match responses to calls."""

    # 12: number, method and frame around the URL
    max_bytes, bound, reports_sender = mesh.MAX_FRAME_BYTES - 12, mesh.MAX_PENDING_CALLS, False

    async def start(self) -> None:
        self.fronts = [_FrontStub(lambda url, n=n: self.received[n].append((None, url))) for n in range(COUNT)]
        paths = {n: f"\0contract-{secrets.token_hex(8)}" for n in range(COUNT)}
        self.paths, self.meshes, self.tasks, self.lost = paths, [], set(), Counter()
        for number, front in enumerate(self.fronts):
            listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            listener.bind(paths[number])
            listener.listen(16)
            self.meshes.append(mesh.WorkerMesh(listener.detach(), paths, front))
            await self.meshes[-1].start()

    def send(self, source: int, target: int, data: bytes) -> None:
        self.tasks.add(asyncio.get_running_loop().create_task(self._call(source, target, data)))

    async def _call(self, source: int, target: int, data: bytes) -> None:
        try:
            response = await self.meshes[source].call(target, b"GET", data)
        except mesh.WorkerUnavailableError:
            self.lost["gone"] += 1
        else:
            assert response[:2] in ((200, data), (503, {"failure": "Busy"})), "the response to another call"
            self.lost["busy"] += response[0] == 503

    async def settle(self) -> None:
        await asyncio.gather(*self.tasks)

    def counted(self) -> Counter[str]:
        broken = sum(front.telemetry.counts["mesh_broken", "", ""] for front in self.fronts)
        return Counter(refused=self.lost["gone"], broken=broken)

    async def flood(self, count: int) -> int:
        self.fronts[1].is_silent = True
        for _ in range(count):
            self.send(0, 1, b"/x")
        await Transport.settle(self)
        return max(len(self.fronts[1].unanswered), len(self.meshes[0].outgoing[1].pending))

    def end(self, number: int) -> None:
        self.meshes[number].close()

    def close(self) -> None:
        for worker_mesh in self.meshes:
            worker_mesh.close()
        for front in self.fronts:
            for slot in front.unanswered:
                slot.data = b""


class Replicas(Transport):
    """The log's links. Their bound is in bytes, and is tested in test_replica.py."""

    max_bytes, bound = MAX_COMMAND_BYTES + 200, None

    async def start(self) -> None:
        self.all, ports, self.ended = [], [], set()
        for n in range(COUNT):
            self.all.append(
                links.MemberLinks(
                    f"m{n}",
                    b"s" * 16,
                    lambda peer: None,
                    lambda peer: None,
                    lambda peer, message, size, n=n: self.received[n].append((int(peer[1:]), message["command"][1:])),
                    lambda peer: peer in ("m0", "m1", "m2"),
                    lambda: True,
                    lambda *args, **fields: None,
                )
            )
            ports.append(await self.all[-1].listen("127.0.0.1", 0))
        self.ports = ports
        for member in self.all:
            member.set_targets(member.name, {f"m{n}": f"127.0.0.1:{port}" for n, port in enumerate(ports)})
        async with asyncio.timeout(10.0):
            while any(len(member.links) < COUNT - 1 for member in self.all):
                await asyncio.sleep(0.01)

    def send(self, source: int, target: int, data: bytes) -> None:
        self.all[source].send(f"m{target}", {"type": "apply_command", "request_id": 1, "command": b"\7" + data})

    async def settle(self) -> None:
        for _ in range(3):
            await Transport.settle(self)
            await asyncio.sleep(0.05)

    def counted(self) -> Counter[str]:
        counters: Counter[str] = Counter()
        for member in self.all:
            counters["refused"] += member.counters["too_long"]
            counters["unknown"] += member.counters["hello"] + member.counters["not_proved"]
        return counters

    def stranger(self, target: int, data: bytes) -> Any:
        connection = socket.create_connection(("127.0.0.1", self.ports[target]))
        connection.sendall(len(data).to_bytes(2, "big") + data)
        self.stranger_connection = connection
        return connection.getsockname()

    def end(self, number: int) -> None:
        self.ended.add(asyncio.get_running_loop().create_task(self.all[number].close()))

    def close(self) -> None:
        for number in range(COUNT):
            self.end(number)


TRANSPORTS = (Fleet, Relay, Emulated, Mesh, Replicas)
