"""The log: the format of its lines, and the limit on lines per second."""

import io
import json
from collections import Counter

import orjson
import pytest
from hypothesis import HealthCheck, given, settings, strategies

from frostspindle import telemetry
from frostspindle.telemetry import LogRateLimiter, Telemetry

DETERMINISTIC = settings(derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow])
JSON = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers(-(2**53), 2**53) | strategies.text(max_size=20),
    lambda inner: strategies.lists(inner, max_size=3) | strategies.dictionaries(strategies.text(), inner, max_size=3),
)


@DETERMINISTIC
@given(
    strategies.text(max_size=12),
    strategies.sampled_from((None, 0, 3)),
    strategies.text(max_size=12),
    strategies.dictionaries(
        strategies.text(min_size=1).filter(lambda key: key not in ("self", "event")), JSON, max_size=4
    ),
)
def test_log_line_has_its_keys_in_the_documented_order(node, worker, event, fields):
    sink = io.BytesIO()
    log = Telemetry(node, sink, worker)
    log._write(1764640000.12345, event, fields)
    line = {"ts": 1764640000.123, "node": node, "event": event, **fields}
    if worker is not None:
        line["worker"] = worker
    try:
        expected, failed = orjson.dumps(line) + b"\n", 0
    except orjson.JSONEncodeError:
        expected, failed = b"", 1
    assert (sink.getvalue(), log.counts["log_failed", "", ""]) == (expected, failed)


class BrokenSink(io.BytesIO):
    def write(self, data):
        raise BrokenPipeError


@pytest.mark.parametrize(
    "sink, fields",
    [
        (BrokenSink(), {}),
        (io.BytesIO(), {"x": "\ud800"}),
        (io.BytesIO(), {"x": {1: 2}}),
        (io.BytesIO(), {"x": 1 << 70}),
    ],
)
def test_line_that_cannot_be_written_is_counted_and_raises_nothing(sink, fields):
    log = Telemetry("n", sink)
    log.log("x", **fields)
    assert log.counts["log_failed", "", ""] == 1 and sink.getvalue() == b""


def test_value_unknown_to_json_is_written_as_its_text():
    sink = io.BytesIO()
    Telemetry("n", sink).log("x", at=ValueError("no"))
    assert json.loads(sink.getvalue())["at"] == "no"


@DETERMINISTIC
@given(strategies.lists(strategies.floats(0.0, 5.0), max_size=60))
def test_rate_limit_holds_in_each_second_and_each_dropped_line_is_reported(steps):
    limiter = LogRateLimiter(3)
    now = 0.0
    allowed = Counter()  # lines by second
    reported = 0
    dropped = 0
    for step in steps:
        now += step
        is_allowed, dropped_before = limiter.take(now)
        allowed[int(now)] += is_allowed
        reported += dropped_before
        dropped += not is_allowed
    assert max(allowed.values(), default=0) <= 3
    assert reported + limiter.take(now + 1.0)[1] == dropped
    assert set(allowed) == {second for second, lines in allowed.items() if lines}, (
        "each second with log lines writes at least one"
    )


def test_lines_beyond_the_rate_limit_are_dropped_and_their_number_is_logged(monkeypatch):
    now = 1000.0
    monkeypatch.setattr(telemetry.time, "time", lambda: now)
    sink = io.BytesIO()
    log = Telemetry("n", sink)
    for _ in range(telemetry.MAX_LINES_PER_S + 7):
        log.log("storm")
    now += 1.0
    log.log("calm")
    lines = [json.loads(line) for line in sink.getvalue().splitlines()]
    assert Counter(line["event"] for line in lines) == {
        "storm": telemetry.MAX_LINES_PER_S,
        "log_lines_dropped": 1,
        "calm": 1,
    }
    assert lines[-2]["lines"] == 7
