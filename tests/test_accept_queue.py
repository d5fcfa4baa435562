"""Since when a connection can have waited in the accept queue: net/http/accept_queue.py."""

import socket

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as some

from frostspindle.net.http.accept_queue import TCP_INFO_BYTES, AcceptQueue, queue_length


# Guards against: while a crowd kept the queue from ever being empty, each new request counted as old as the crowd,
# and was answered as failed because its time seemed to be over.
def test_queue_that_is_never_empty_makes_no_connection_older_than_its_place_in_it():
    queue = AcceptQueue(0.0)
    for turn in range(100):
        queue.record_length(turn * 20.0, 40)
        for _ in range(16):
            queue.accept()
    assert queue.accept() >= 99 * 20.0 - 3 * 20.0


@settings(derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(some.lists(some.tuples(some.integers(0, 30), some.integers(0, 20)), max_size=60))
def test_no_connection_counts_as_younger_than_it_is(turns):
    queue, waiting, now_ms = AcceptQueue(0.0), [], 0.0
    for arrivals, accepts in turns:
        waiting += [now_ms] * arrivals
        now_ms += 7.0
        queue.record_length(now_ms, len(waiting))
        for _ in range(min(accepts, len(waiting))):
            assert queue.accept() <= waiting.pop(0)
        if not waiting:
            queue.record_empty(now_ms)


def test_length_of_the_queue_is_read_from_the_system():
    listening = socket.create_server(("127.0.0.1", 0), backlog=8)
    clients = [socket.create_connection(listening.getsockname()) for _ in range(3)]
    info = listening.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    assert queue_length(info) == 3
    assert queue_length(clients[0].getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)) is None
    assert queue_length(b"") is None and queue_length(bytes(TCP_INFO_BYTES)) is None
    for opened in (listening, *clients):
        opened.close()
