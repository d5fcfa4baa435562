"""The transports that the contract is put to, each behind the same few calls: a new one is one more line in TRANSPORTS.

An adapter sends through the transport's own sending side and hears at the place where its user is called. It must never
mend what the transport did on the way.
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
Heard = tuple[Any, bytes]  # the sender's number; a stranger's address; None where the transport does not tell


class Transport:
    """COUNT peers on one machine."""

    most: int  # bytes of a message
    bound: int  # messages that wait at most
    faults = False  # plays a script
    tells = True  # tells who sent

    def __init__(self, script: str = "") -> None:
        self.script = parse(script, COUNT)
        self.heard: list[list[Heard]] = [[] for _ in range(COUNT)]
        self.copies = 0  # that a script lets through

    async def start(self) -> None: ...

    def send(self, source: int, target: int, data: bytes) -> None: ...

    async def settle(self) -> None:
        """Until what was sent has come or never will, as far as that does not wait for a timer."""
        quiet, before = 0, -1
        while quiet < 20:
            await asyncio.sleep(0)
            now = sum(map(len, self.heard))
            quiet, before = (quiet + 1 if now == before else 0), now

    def counted(self) -> Counter[str]:
        """What the transport says it did not carry."""
        return Counter()

    async def flood(self, many: int) -> int:
        """Send so many to a peer that does not take them; the most that waited."""
        raise NotImplementedError

    def stranger(self, target: int, data: bytes) -> Any:
        """A message from nobody's address; that address, or None if there can be no such message."""
        return None

    def end(self, number: int) -> None:
        """Close one peer's end."""

    def close(self) -> None: ...

    def watch(self, weather: Any) -> None:
        fate = weather.fate

        def counting(*args: Any) -> list[float]:
            delays = fate(*args)
            self.copies += len(delays)
            return delays

        weather.fate = counting


def address(line: socket.socket) -> tuple[str, int]:
    return line.getsockname()


def udp() -> socket.socket:
    line = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    line.bind(("127.0.0.1", 0))
    line.setblocking(False)
    return line


class _Ear:
    """Stands where a node has its place: notes what comes, and lets the node's own reader refuse what is too long."""

    def __init__(self, heard: Callable[[tuple[str, int], bytes], None], node: FleetNode | None = None) -> None:
        self.heard, self.node = heard, node
        self.verdicts = SimpleNamespace(agreed=lambda *args: set())
        self.membership = SimpleNamespace(false_suspicions=0)

    def receive(self, now: float, source: tuple[str, int], data: bytes) -> list[Datagram]:
        if self.node is not None and len(data) > wire.MAX_PACKET_BYTES:
            assert not self.node.receive(now, source, data)
        else:
            self.heard(source, data)
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

    most, bound = wire.MAX_PACKET_BYTES, service.DATAGRAMS_PER_TURN

    async def start(self) -> None:
        core = SimpleNamespace(engines={}, banned=frozenset())
        self.services = [
            service.FleetService(
                f"c{n}", ("127.0.0.1", 0), None, FleetSettings({}, chain_length=8), {}, core, Telemetry(sink=BytesIO())
            )
            for n in range(COUNT)
        ]
        for number, one in enumerate(self.services):
            await one.start()
            while one.node is None:
                await asyncio.sleep(0)
            one.node = _Ear(lambda source, data, n=number: self.heard[n].append((self.number(source), data)), one.node)
        self.at = [address(one.socket) for one in self.services]
        self.strangers: list[socket.socket] = []

    def number(self, source: tuple[str, int]) -> Any:
        return self.at.index(source) if source in self.at else source

    def send(self, source: int, target: int, data: bytes) -> None:
        self.services[source]._send([Datagram(self.at[target], data)])

    def counted(self) -> Counter[str]:
        out: Counter[str] = Counter()
        for one in self.services:
            out["refused"] += one.node.node.counted["fleet_undecodable"] if one.node else 0
            out["unsent"] += one.telemetry.counts["fleet_unsent", "", ""]
        return out

    async def flood(self, many: int) -> int:
        for _ in range(many):
            self.send(0, 1, b"x" * 100)
        self.services[1]._read()  # one turn of the loop; the rest waits in the system's buffer, which is bounded
        return len(self.heard[1])

    def stranger(self, target: int, data: bytes) -> Any:
        self.strangers.append(udp())
        self.strangers[-1].sendto(data, self.at[target])
        return address(self.strangers[-1])

    def end(self, number: int) -> None:
        self.services[number].close()

    def close(self) -> None:
        for one in self.services:
            if one.node is not None:
                one.close()
        for line in self.strangers:
            line.close()


class Relay(Transport):
    """The relay between processes; plain sockets stand for the processes."""

    most, bound, faults = relay.MOST, relay.WAITING, True

    async def start(self) -> None:
        self.relay = relay.Relay(COUNT, self.script, 3).start()
        self.watch(self.relay.weather)
        self.lines = [udp() for _ in range(COUNT)]
        self.outside = [address(line) for line in self.relay.sockets]
        for number, line in enumerate(self.lines):
            self.relay.place(number, address(line))
            asyncio.get_running_loop().add_reader(line, self._read, number)
        self.relay.begin()
        self.strangers: list[socket.socket] = []

    def _read(self, number: int) -> None:
        try:
            data, source = self.lines[number].recvfrom(1 << 16)
        except OSError:
            return
        self.heard[number].append((self.outside.index(source) if source in self.outside else source, data))

    def send(self, source: int, target: int, data: bytes) -> None:
        self.lines[source].sendto(data, self.outside[target])

    def counted(self) -> Counter[str]:
        return Counter(
            lost=self.relay.weather.lost,
            refused=self.relay.too_long,
            crowded=self.relay.crowded,
            unknown=self.relay.unknown,
        )

    async def flood(self, many: int) -> int:
        self.relay.weather.script = parse("delay 60000-60000", COUNT)
        self.relay.weather._now = (-1.0, [])
        self.relay.weather._edges = [0.0]
        most = 0
        for _ in range(many):
            self.send(0, 1, b"x")
            await asyncio.sleep(0)
            most = max(most, self.relay.waiting)
        return most

    def stranger(self, target: int, data: bytes) -> Any:
        self.strangers.append(udp())
        self.strangers[-1].sendto(data, self.outside[target])
        return address(self.strangers[-1])

    def end(self, number: int) -> None:
        asyncio.get_running_loop().remove_reader(self.lines[number])
        self.lines[number].close()

    def close(self) -> None:
        self.relay.close()
        for number, line in enumerate(self.lines):
            if line.fileno() >= 0:
                self.end(number)
        for line in self.strangers:
            line.close()


class Emulated(Transport):
    """The emulator's network."""

    most, bound, faults = wire.MAX_PACKET_BYTES, network.WAITING, True

    async def start(self) -> None:
        self.network = network.Network(COUNT, self.script, 5)
        self.watch(self.network.weather)

    def send(self, source: int, target: int, data: bytes) -> None:
        self.network.send(source, target, data)

    async def settle(self) -> None:
        for _, node, what in self.network.deliver(self.network.now + 1_000.0):
            self.heard[node].append(what)

    def counted(self) -> Counter[str]:
        said = self.network.counted
        return Counter(lost=self.network.weather.lost, refused=said["too_long"], crowded=said["not_read"])

    async def flood(self, many: int) -> int:
        self.network.paused[1] = True
        for _ in range(many):
            self.send(0, 1, b"x")
        await self.settle()
        return len(self.network.waiting[1])

    def end(self, number: int) -> None:
        self.network.end(number)


class _Front:
    """Stands where a worker has its front: answers each call with its own URL, but not in the order of the calls."""

    def __init__(self, heard: Callable[[bytes], None]) -> None:
        self.heard, self.telemetry, self.held, self.holds = heard, Telemetry(sink=BytesIO()), [], False

    def connection_ended(self, connection: Any) -> None:
        pass

    def call(self, slot: Any, method: bytes, url: bytes, headers: dict[str, str], body: bytes) -> None:
        self.heard(url)
        if self.holds:
            self.held.append(slot)
        elif len(url) % 2:
            asyncio.get_running_loop().call_soon(slot.reply, 200, url)
        else:
            slot.reply(200, url)

    def gone(self, slot: Any) -> None: ...


class Mesh(Transport):
    """The workers' mesh. It does not tell the front who asks; what it must tell right is whose the answer is."""

    # 12: number, method and frame round the URL
    most, bound, tells = mesh.MAX_FRAME_BYTES - 12, mesh.MAX_PENDING_CALLS, False

    async def start(self) -> None:
        self.fronts = [_Front(lambda url, n=n: self.heard[n].append((None, url))) for n in range(COUNT)]
        paths = {n: f"\0contract-{secrets.token_hex(8)}" for n in range(COUNT)}
        self.paths, self.meshes, self.tasks, self.lost = paths, [], set(), Counter()
        for number, front in enumerate(self.fronts):
            line = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            line.bind(paths[number])
            line.listen(16)
            self.meshes.append(mesh.WorkerMesh(line.detach(), paths, front))
            await self.meshes[-1].start()

    def send(self, source: int, target: int, data: bytes) -> None:
        self.tasks.add(asyncio.get_running_loop().create_task(self._ask(source, target, data)))

    async def _ask(self, source: int, target: int, data: bytes) -> None:
        try:
            answer = await self.meshes[source].call(target, b"GET", data)
        except mesh.WorkerUnavailableError:
            self.lost["gone"] += 1
        else:
            assert answer[:2] in ((200, data), (503, {"failure": "Busy"})), "the answer of another call"
            self.lost["busy"] += answer[0] == 503

    async def settle(self) -> None:
        await asyncio.gather(*self.tasks)

    def counted(self) -> Counter[str]:
        broken = sum(front.telemetry.counts["mesh_broken", "", ""] for front in self.fronts)
        return Counter(refused=self.lost["gone"], broken=broken)

    async def flood(self, many: int) -> int:
        self.fronts[1].holds = True
        for _ in range(many):
            self.send(0, 1, b"/x")
        await Transport.settle(self)
        return max(len(self.fronts[1].held), len(self.meshes[0].outgoing[1].pending))

    def end(self, number: int) -> None:
        self.meshes[number].close()

    def close(self) -> None:
        for one in self.meshes:
            one.close()
        for front in self.fronts:
            for slot in front.held:
                slot.data = b""


class Replicas(Transport):
    """The log's links. What may wait is counted in bytes there: a test of its own holds that bound."""

    most, bound = MAX_COMMAND_BYTES + 200, None

    async def start(self) -> None:
        self.all, ports, self.ended = [], [], set()
        for n in range(COUNT):
            self.all.append(
                links.MemberLinks(
                    f"m{n}",
                    b"s" * 16,
                    lambda peer: None,
                    lambda peer: None,
                    lambda peer, message, size, n=n: self.heard[n].append((int(peer[1:]), message["command"][1:])),
                    lambda peer: peer in ("m0", "m1", "m2"),
                    lambda: True,
                    lambda *args, **fields: None,
                )
            )
            ports.append(await self.all[-1].listen("127.0.0.1", 0))
        self.ports = ports
        for one in self.all:
            one.set_targets(one.name, {f"m{n}": f"127.0.0.1:{port}" for n, port in enumerate(ports)})
        async with asyncio.timeout(10.0):
            while any(len(one.links) < COUNT - 1 for one in self.all):
                await asyncio.sleep(0.01)

    def send(self, source: int, target: int, data: bytes) -> None:
        self.all[source].send(f"m{target}", {"type": "apply_command", "request_id": 1, "command": b"\7" + data})

    async def settle(self) -> None:
        for _ in range(3):
            await Transport.settle(self)
            await asyncio.sleep(0.05)

    def counted(self) -> Counter[str]:
        out: Counter[str] = Counter()
        for one in self.all:
            out["refused"] += one.counters["too_long"]
            out["unknown"] += one.counters["hello"] + one.counters["not_proved"]
        return out

    def stranger(self, target: int, data: bytes) -> Any:
        line = socket.create_connection(("127.0.0.1", self.ports[target]))
        line.sendall(len(data).to_bytes(2, "big") + data)
        self.line = line
        return line.getsockname()

    def end(self, number: int) -> None:
        self.ended.add(asyncio.get_running_loop().create_task(self.all[number].close()))

    def close(self) -> None:
        for number in range(COUNT):
            self.end(number)


TRANSPORTS = (Fleet, Relay, Emulated, Mesh, Replicas)
