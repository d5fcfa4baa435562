"""The simulated network: delivery to nodes that are stopped, killed and started, and its bounds."""

import pytest

from frostspindle.lab import network
from frostspindle.lab.faults.script import parse


def test_a_stopped_node_receives_messages_later_and_a_node_that_is_down_never():
    net = network.Network(3, parse("1 stop 1; 2 kill 2; 2.2 stop 2; 3 cont 1; 4 stop 0; 5 kill 0; 6 start 0", 3), 1)
    for ms in range(500, 7_000, 1_000):
        net.at(ms, 0, "beat")
    deliveries = []
    for at, node, event in net.deliver(7_000.0):
        if event == "beat":
            for target in range(3):
                net.send(0, target, b"%d" % at)
        elif isinstance(event, str):
            deliveries.append((node, event))
        else:
            assert event[0] == 0 and net.up[node] and not net.paused[node]
            deliveries.append((node, event[1]))
    by_node = [[event for receiver, event in deliveries if receiver == node] for node in range(3)]
    assert by_node[0] == [b"500", b"1500", b"2500", b"3500", "stop", "kill", "start", b"6500"]
    assert by_node[1] == [b"500", "stop", "cont", b"1500", b"2500", b"3500", b"4500", b"5500", b"6500"]
    assert by_node[2] == [b"500", b"1500", "kill", "stop"] and not net.paused[2]  # a node that is down can't be stopped
    assert net.now == 7_000.0 and net.waiting == [[], [], []]


def test_number_of_scheduled_events_is_bounded_and_time_never_goes_back(monkeypatch):
    monkeypatch.setattr(network, "MAX_SCHEDULED", 3)
    net = network.Network(2, parse("dup 1", 2), 1)
    assert net.send(0, 1, b"a") and net.send(0, 1, b"b") and net.counted["crowded"] == 1
    with pytest.raises(OverflowError):
        net.at(1.0, 0, "timer")
    times = []
    for at, *_ in net.deliver(1_000.0):
        times.append(at)
        if len(times) == 2:
            net.at(0.0, 1, "late")  # a past time: delivered at once
    assert times == sorted(times) and len(times) == 4 and net.due() == float("inf")
