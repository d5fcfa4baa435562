"""The simulated network: who hears what, and when, of places that are stopped, killed and started."""

import pytest

from frostspindle.lab import network
from frostspindle.lab.faults.script import parse


def test_a_stopped_place_hears_later_and_one_that_is_down_never():
    net = network.Network(3, parse("1 stop 1; 2 kill 2; 2.2 stop 2; 3 cont 1; 4 stop 0; 5 kill 0; 6 start 0", 3), 1)
    for ms in range(500, 7_000, 1_000):
        net.at(ms, 0, "beat")
    heard = []
    for at, node, what in net.deliver(7_000.0):
        if what == "beat":
            for target in range(3):
                net.send(0, target, b"%d" % at)
        elif isinstance(what, str):
            heard.append((node, what))
        else:
            assert what[0] == 0 and net.up[node] and not net.paused[node]
            heard.append((node, what[1]))
    of = [[what for place, what in heard if place == node] for node in range(3)]
    assert of[0] == [b"500", b"1500", b"2500", b"3500", "stop", "kill", "start", b"6500"]
    assert of[1] == [b"500", "stop", "cont", b"1500", b"2500", b"3500", b"4500", b"5500", b"6500"]
    assert of[2] == [b"500", b"1500", "kill", "stop"] and not net.paused[2]  # who is down can't be stopped
    assert net.now == 7_000.0 and net.waiting == [[], [], []]


def test_what_is_under_way_is_bounded_and_time_never_goes_back(monkeypatch):
    monkeypatch.setattr(network, "MAX_SCHEDULED", 3)
    net = network.Network(2, parse("dup 1", 2), 1)
    assert net.send(0, 1, b"a") and net.send(0, 1, b"b") and net.counted["crowded"] == 1
    with pytest.raises(OverflowError):
        net.at(1.0, 0, "timer")
    times = []
    for at, *_ in net.deliver(1_000.0):
        times.append(at)
        if len(times) == 2:
            net.at(0.0, 1, "late")  # for a time that is past: at once
    assert times == sorted(times) and len(times) == 4 and net.due() == float("inf")
