"""The log: each line as readers know it, and the bound of lines a second."""

import io
import json
from collections import Counter

import orjson
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as some

from frostspindle import telemetry
from frostspindle.telemetry import LogRateLimiter, Telemetry

LAW = settings(derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow])
JSON = some.recursive(
    some.none() | some.booleans() | some.integers(-(2**53), 2**53) | some.text(max_size=20),
    lambda inner: some.lists(inner, max_size=3) | some.dictionaries(some.text(), inner, max_size=3),
)


@LAW
@given(
    some.text(max_size=12),
    some.sampled_from((None, 0, 3)),
    some.text(max_size=12),
    some.dictionaries(some.text(min_size=1).filter(lambda key: key not in ("self", "event")), JSON, max_size=4),
)
def test_each_line_is_what_it_was_before_there_was_a_library(node, worker, event, fields):
    sink = io.BytesIO()
    told = Telemetry(node, sink, worker)
    told._write(1764640000.12345, event, fields)
    line = {"ts": 1764640000.123, "node": node, "event": event, **fields}
    if worker is not None:
        line["worker"] = worker
    try:
        expected, failed = orjson.dumps(line) + b"\n", 0
    except orjson.JSONEncodeError:
        expected, failed = b"", 1
    assert (sink.getvalue(), told.counts["log_failed", "", ""]) == (expected, failed)


class Gone(io.BytesIO):
    def write(self, data):
        raise BrokenPipeError


@pytest.mark.parametrize(
    "sink, fields",
    [(Gone(), {}), (io.BytesIO(), {"x": "\ud800"}), (io.BytesIO(), {"x": {1: 2}}), (io.BytesIO(), {"x": 1 << 70})],
)
def test_a_line_that_cant_be_written_is_counted_and_raises_nothing(sink, fields):
    told = Telemetry("n", sink)
    told.log("x", **fields)
    assert told.counts["log_failed", "", ""] == 1 and sink.getvalue() == b""


def test_what_json_does_not_know_is_written_as_its_text():
    sink = io.BytesIO()
    Telemetry("n", sink).log("x", at=ValueError("no"))
    assert json.loads(sink.getvalue())["at"] == "no"


@LAW
@given(some.lists(some.floats(0.0, 5.0), max_size=60))
def test_no_second_has_more_lines_than_its_bound_and_each_dropped_one_is_told(steps):
    allowance, now, taken, told, dropped = LogRateLimiter(3), 0.0, Counter(), 0, 0
    for step in steps:
        now += step
        may, before = allowance.take(now)
        taken[int(now)] += may
        told += before
        dropped += not may
    assert max(taken.values(), default=0) <= 3
    assert told + allowance.take(now + 1.0)[1] == dropped
    assert set(taken) == {second for second, lines in taken.items() if lines}, "a second with a line to tell tells it"


def test_a_storm_of_lines_is_cut_and_its_length_told(monkeypatch):
    now = 1000.0
    monkeypatch.setattr(telemetry.time, "time", lambda: now)
    sink = io.BytesIO()
    told = Telemetry("n", sink)
    for _ in range(telemetry.MAX_LINES_PER_S + 7):
        told.log("storm")
    now += 1.0
    told.log("calm")
    lines = [json.loads(line) for line in sink.getvalue().splitlines()]
    assert Counter(line["event"] for line in lines) == {
        "storm": telemetry.MAX_LINES_PER_S,
        "lines_dropped": 1,
        "calm": 1,
    }
    assert lines[-2]["lines"] == 7
