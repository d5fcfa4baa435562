"""Contract of every transport: a message arrives unchanged with its true sender, or not at all."""

import asyncio
import contextlib
import random
from collections import Counter

import pytest
from transports import COUNT, TRANSPORTS, Mesh

each = pytest.mark.parametrize("kind", TRANSPORTS, ids=lambda kind: kind.__name__)


def run_test(kind, call, script=""):
    """Run a test's coroutine with a started transport; unhandled exceptions in the event loop fail it."""

    async def run():
        faults = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
        transport = kind(script)
        await transport.start()
        try:
            async with asyncio.timeout(20.0):
                await call(transport)
        finally:
            transport.close()
        for _ in range(5):
            await asyncio.sleep(0)
        assert not faults

    asyncio.run(run())


def messages(kind, count, seed=1):
    """Return unique messages of all lengths up to the maximum; the first byte is the sender's number."""
    rng = random.Random(seed)
    sizes = [
        1,
        2,
        kind.max_bytes - 1,
        kind.max_bytes,
        *(rng.randrange(1, rng.choice((60, kind.max_bytes))) for _ in range(count - 4)),
    ]
    return [
        (
            source := rng.randrange(COUNT),
            rng.choice([n for n in range(COUNT) if n != source]),
            bytes([source]) + rng.randbytes(size - 1),
        )
        for size in sizes
    ]


@each
def test_message_arrives_unchanged_with_its_sender_and_only_at_its_target(kind):
    async def call(transport):
        sent = messages(kind, 40)
        for source, target, data in sent:
            transport.send(source, target, data)
        await transport.settle()
        for number in range(COUNT):
            expected = Counter(
                (source if kind.reports_sender else None, data) for source, target, data in sent if target == number
            )
            assert Counter(transport.received[number]) == expected  # also: none of its own messages

    run_test(kind, call)


@each
def test_oversized_message_is_rejected_and_counted_and_no_part_of_it_arrives(kind):
    async def call(transport):
        for attempt, excess in enumerate((1, 2, 40, 5_000), 1):
            transport.send(0, 1, b"\0" * (kind.max_bytes + excess))
            await transport.settle()
            transport.send(0, 1, b"after %d" % attempt)
            await transport.settle()
            assert [data for _, data in transport.received[1]] == [b"after %d" % n for n in range(1, attempt + 1)]
            assert transport.counted()["refused"] == attempt

    run_test(kind, call)


@each
def test_stranger_is_never_mistaken_for_a_peer(kind):
    async def call(transport):
        stranger_address = transport.stranger(1, b"stranger")
        await transport.settle()
        if stranger_address is None:
            return
        if transport.counted()["unknown"]:
            assert transport.received[1] == []
        else:
            assert transport.received[1] == [(stranger_address, b"stranger")]

    run_test(kind, call)


@pytest.mark.parametrize("kind", [kind for kind in TRANSPORTS if kind.bound], ids=lambda kind: kind.__name__)
def test_messages_to_a_peer_that_does_not_read_are_bounded(kind):
    async def call(transport):
        max_waiting = await transport.flood(kind.bound + 300)
        assert max_waiting == kind.bound
        if transport.counted()["crowded"] or kind.faults:
            assert max_waiting + transport.counted()["crowded"] == kind.bound + 300

    run_test(kind, call)


@each
def test_closed_peer_receives_nothing_and_others_continue(kind):
    async def call(transport):
        transport.send(0, 1, b"before")
        await transport.settle()
        transport.end(1)
        for _ in range(3):
            transport.send(0, 1, b"late")
            transport.send(0, 2, b"here")
            await transport.settle()
        assert [data for _, data in transport.received[1]] == [b"before"]
        assert [data for _, data in transport.received[2]] == [b"here"] * 3

    run_test(kind, call)


@pytest.mark.parametrize("kind", [kind for kind in TRANSPORTS if kind.faults], ids=lambda kind: kind.__name__)
def test_lost_and_repeated_messages_are_counted_and_none_are_invented(kind):
    async def call(transport):
        sent = messages(kind, 200, seed=2)
        for source, target, data in sent:
            transport.send(source, target, data)
            await asyncio.sleep(0)
        while sum(map(len, transport.received)) < transport.copies or transport.copies < 1:
            await transport.settle()
        lost = transport.counted()["lost"]
        received = Counter(
            (source, number, data) for number in range(COUNT) for source, data in transport.received[number]
        )
        assert received.keys() <= Counter(sent).keys()
        assert len(received) == len(sent) - lost and 20 < lost < 120
        assert sum(received.values()) - len(received) > 10 and max(received.values()) == 2

    run_test(kind, call, "loss 0.3; dup 0.3; reorder 0.2")


def test_malformed_frame_closes_its_connection_and_is_counted():
    async def call(transport):
        for frame in (b"\xc1", b"\x93\x01\x02\x03", b"\x91\x01", b"", b"\x93\x01\xc4\x01a\xa1a", b"\x91" * 5_000):
            reader, writer = await asyncio.open_unix_connection(transport.paths[1])
            writer.write(len(frame).to_bytes(4, "little") + frame + b"\0" * 8)
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read() == b""
            writer.close()
        assert transport.counted()["broken"] == 6
        assert transport.received[1] == []

    run_test(Mesh, call)
