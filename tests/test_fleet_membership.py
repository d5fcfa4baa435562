"""Membership of the fleet: incarnations, spoofed and corrupt messages, and the gossip of updates."""

from collections import Counter

from hypothesis import given, strategies

from frostspindle.fleet import engine_verdicts, wire
from frostspindle.fleet.counters import FleetCounters
from frostspindle.fleet.gossip_buffer import GossipBuffer, SizedGossipBuffer
from frostspindle.fleet.incarnation import IncarnationChain, is_successor
from frostspindle.fleet.member_updates import retransmissions
from frostspindle.fleet.node import FleetNode, FleetSettings


def nodes() -> tuple[FleetNode, FleetNode, FleetNode]:
    seeds = {name: ("127.0.0.1", port) for name, port in (("a", 1), ("b", 2), ("c", 3))}
    created = [
        FleetNode(name, seeds[name], 10, name.encode() * 16, FleetSettings(seeds, chain_length=64), 0.0)
        for name in seeds
    ]
    deliver(created, created[0].tick(1_000.0, 0.0) + created[1].tick(1_000.0, 0.0) + created[2].tick(1_000.0, 0.0))
    return tuple(created)


def deliver(nodes, datagrams, source=None):
    node_at = {node.membership.me.address: node for node in nodes}
    queue = [(datagram, None) for datagram in datagrams]
    for _ in range(200):
        if not queue:
            return
        (address, data), _ = queue.pop(0)
        sender = wire.decode(data).sender.address
        queue += [(datagram, None) for datagram in node_at[address].receive(1_000.0, sender, data)]


def test_forged_incarnation_is_dropped():
    a, b, _ = nodes()
    known = b.membership.members["c"].claim
    for incarnation, proof in ((1, bytes(16)), (1, known.proof), (0, bytes(16)), (2**40, known.proof)):
        forged = wire.MemberState("c", known.host, known.port, wire.DEAD, known.epoch, incarnation, proof)
        b.receive(
            1_000.0,
            a.membership.me.address,
            wire.encode(wire.Packet(a.membership.me, "b", wire.Gossip(), [forged])),
        )
        assert b.membership.members["c"].claim == known
    assert b.counted["fleet_forged"] == 4


def test_message_with_a_spoofed_sender_is_ignored():
    a, b, c = nodes()
    packet = wire.encode(
        wire.Packet(c.membership.me, "b", wire.VerdictDigest([wire.Verdict("e", engine_verdicts.SICK, 0.0, [])]))
    )
    b.receive(1_000.0, a.membership.me.address, packet)
    assert b.counted["fleet_spoofed"] == 1
    assert b.verdicts.authors(1000.0, "e", engine_verdicts.SICK) == []
    b.receive(1_000.0, c.membership.me.address, packet)
    assert b.verdicts.authors(1000.0, "e", engine_verdicts.SICK) == ["c"]


def test_application_message_arrives_from_its_verified_sender_or_is_counted():
    a, b, c = nodes()
    received, changes = [], []
    b.channels[3] = lambda now, name, epoch, data: received.append((name, epoch, data))
    b.watchers.append(lambda now, name, state: changes.append((name, state)))
    longest = bytes(range(256)) * 3 + bytes(wire.MAX_MESSAGE_BYTES - 768)
    deliver([a, b, c], a.post(1_000.0, "b", 3, longest) + a.post(1_000.0, "b", 4, b"x"))
    assert (received, b.counted["fleet_no_such_channel"]) == ([("a", 10, longest)], 1)
    assert a.post(1000.0, "unknown", 3, b"x") == []
    spoofed = wire.encode(wire.Packet(c.membership.me, "b", wire.ApplicationMessage(3, b"x")))
    b.receive(1_000.0, a.membership.me.address, spoofed)  # from the address of another member
    too_long = wire.encode(
        wire.Packet(c.membership.me, "b", wire.ApplicationMessage(3, bytes(wire.MAX_MESSAGE_BYTES + 1)))
    )
    b.receive(1_000.0, c.membership.me.address, too_long)
    assert (len(received), b.counted["fleet_spoofed"], b.counted["fleet_undecodable"]) == (1, 1, 1)
    deliver([a, b, c], c.leave(1_000.0))
    assert changes == [("c", "left")]


def test_claimed_new_process_of_a_live_member_is_first_checked_at_its_known_address():
    a, b, c = nodes()
    known = b.membership.members["c"].claim
    takeover = wire.MemberState("c", known.host, known.port, wire.ALIVE, known.epoch + 1, 0, bytes(16))
    datagrams = b.receive(
        1_000.0, a.membership.me.address, wire.encode(wire.Packet(a.membership.me, "b", wire.Gossip(), [takeover]))
    )
    assert b.membership.members["c"].claim == known
    assert [d.address for d in datagrams if isinstance(wire.decode(d.data).body, wire.Ping)] == [known.address]


def test_suspected_member_refutes_with_its_next_incarnation():
    a, b, c = nodes()
    b.membership.on_claim(
        1_000.0,
        wire.MemberState(
            *[getattr(b.membership.members["c"].claim, f) for f in ("name", "host", "port")],
            wire.SUSPECT,
            10,
            0,
            b.membership.members["c"].claim.proof,
        ),
        "a",
    )
    assert b.membership.members["c"].claim.state == wire.SUSPECT
    b.membership.send("c", wire.Ping(1))
    deliver((a, b, c), b._flush(1_000.0))
    assert (c.membership.me.incarnation, b.membership.members["c"].claim.state) == (1, wire.ALIVE)


def test_suspicion_of_an_unknown_incarnation_is_not_accepted():
    a, b, _ = nodes()

    def suspect(name, state, epoch, incarnation, suspected_by="a"):
        suspicion = wire.Suspicion(name, state, epoch, incarnation, suspected_by)
        packet = wire.Packet(a.membership.me, "b", wire.Gossip(), suspicions=[suspicion])
        return b.receive(1_000.0, a.membership.me.address, wire.encode(packet))

    known = b.membership.members["c"].claim
    for index, (epoch, incarnation) in enumerate(((10, 1), (11, 0), (9, 5), (10, 2**40))):
        suspect("c", wire.DEAD, epoch, incarnation)
        assert b.membership.members["c"].claim == known
        assert b.counted["fleet_unproven"] == (1, 2, 2, 3)[index]
    suspect("unknown", wire.SUSPECT, 10, 0)
    assert "unknown" not in b.membership.members
    suspect("c", wire.SUSPECT, 10, 0)
    member = b.membership.members["c"]
    assert (member.claim.state, member.claim.proof, member.claim.address, member.confirmers) == (
        wire.SUSPECT,
        known.proof,
        known.address,
        frozenset("a"),
    )
    suspect("c", wire.SUSPECT, 10, 0, "d")
    suspect("c", wire.SUSPECT, 10, 0, "a")
    assert b.membership.members["c"].confirmers == {"a", "d"}
    suspect("b", wire.DEAD, 10, 3)
    assert (b.counted["fleet_forged"], b.membership.me.incarnation) == (1, 0)
    suspect("b", wire.SUSPECT, 10, 0)
    assert b.membership.me.incarnation == 1
    claims, suspicions, _ = b.membership.piggyback("a", 1_000)
    assert ([claim.name for claim in claims], [suspicion.name for suspicion in suspicions]) == (["b"], ["c"])


@given(strategies.integers(0, 60), strategies.integers(0, 60))
def test_only_a_later_value_of_the_same_chain_is_a_successor(first, second):
    chain = IncarnationChain(b"s" * 16, 64)
    assert is_successor(first, chain.proof(first), second, chain.proof(second)) == (second >= first)
    assert not is_successor(first, chain.proof(first), second, IncarnationChain(b"t" * 16, 64).proof(second))


@given(strategies.binary(max_size=1_400))
def test_undecodable_datagram_is_counted_and_dropped(data):
    node = FleetNode("a", ("127.0.0.1", 1), 1, b"s" * 16, FleetSettings({"a": ("127.0.0.1", 1)}, chain_length=64), 0.0)
    assert node.receive(0.0, ("127.0.0.1", 2), data) == []
    assert node.counted["fleet_undecodable"] == 1


def test_update_is_sent_once_in_a_message_and_up_to_its_transmission_limit():
    buffer = GossipBuffer()
    for key in range(50):
        buffer.put(key, str(key))
    transmissions = Counter()
    while buffer.keys:
        updates = buffer.peek(32)
        assert len({key for key, _ in updates}) == len(updates)
        for key, _ in updates:
            buffer.mark_transmitted(key, 3)
            transmissions[key] += 1
    assert set(transmissions.values()) == {3}
    counters = FleetCounters("o", 1, 0.0)
    counters.add("k", 1)
    counters.publish(1e6, 1)
    assert len(counters.updates(0.0, 2000)) == 1  # once, although there is room for more copies


def test_retransmissions_grow_with_the_logarithm_of_the_fleet():
    assert [retransmissions(size) for size in (2, 9, 30, 100, 300, 999, 3000)] == [4, 4, 6, 9, 10, 12, 14]


@given(
    strategies.lists(strategies.tuples(strategies.integers(0, 9), strategies.integers(1, 9)), max_size=40),
    strategies.randoms(use_true_random=False),
)
def test_take_equals_peek_and_mark_transmitted_one_by_one(puts, rng):
    batched, stepwise = SizedGossipBuffer(), SizedGossipBuffer()
    for number, (key, size) in enumerate(puts):
        for buffer in (batched, stepwise):
            buffer.put(key, (number, size))
        room, count, times, excluded = rng.randrange(30), rng.randrange(1, 12), rng.randrange(1, 4), rng.randrange(12)
        remaining, expected = room, []
        for name, (update, size) in stepwise.peek(count):
            if size > remaining:
                break
            stepwise.mark_transmitted(name, times)
            if name != excluded:
                remaining -= size
                expected.append(update)
        assert batched.take(room, count, times, excluded) == (expected, remaining)
        assert batched.peek(99) == stepwise.peek(99)
