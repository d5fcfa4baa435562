"""Binary protocol adapter on stdin and stdout: decodes batches of events and encodes the controllers' actions.

A batch may hold events of several instances; each event is passed to the controller of its instance. Admission
decisions are taken in frostspindle/policy.

Run as `python -m frostspindle.simulator_adapter`.
"""

from __future__ import annotations

import math
import struct
import sys
from collections.abc import Callable
from functools import partial
from typing import Any, BinaryIO

from frostspindle import policy
from frostspindle.policy.controller import Controller
from frostspindle.policy.settings_parser import parse_settings


class WireError(Exception):
    """The peer violated the protocol; this ends the process."""


HEADER = struct.Struct(">IId")
REPLY = struct.Struct(">II")
RECORD = struct.Struct(">BI")
INSTANCE = struct.Struct(">I")
HELLO = struct.Struct(">IQI")
DIRECTORY = struct.Struct(">BI")
ENGINE_ENTRY = struct.Struct(">IBHHBfd")
DISCOVERY = struct.Struct(">IBQB")
REQUEST = struct.Struct(">IQHHQddffB")
RESPONSE_STARTED = struct.Struct(">IQHId")
PROGRESS = struct.Struct(">IQHIBf")
ATTEMPT_ENDED = struct.Struct(">IQHIHdBIB")
CLIENT_DISCONNECTED = struct.Struct(">IQ")
TIMER_FIRED = struct.Struct(">II")
HEALTH_CHECK = struct.Struct(">IIHdB")

COST_HINT_BIT = 1
COST_UNIT = 4096
MEMORY_UNIT_MB = 4
MAX_TEXT_BYTES = 65535


def _finite(value: float) -> float:
    return value if math.isfinite(value) else 0.0


def _load_report(fields: bytes, offset: int, count: int) -> tuple[float, ...]:
    if offset + 4 * count > len(fields):
        raise WireError("a load report runs past its record")
    return tuple(_finite(value) for value in struct.unpack_from(f">{count}f", fields, offset))


def _enum_value(enum_type: type, value: int, field_name: str) -> int:
    try:
        return int(enum_type(value))
    except ValueError:
        raise WireError(f"unknown {field_name} {value}") from None


def read_request(fields: bytes) -> tuple[int, policy.Event]:
    """Decode a request record into its instance number and a RequestArrived event.

    Without the cost hint bit the cost is 0 (unknown); values that are not finite become 0. Raise struct.error if the
    record is too short.
    """
    instance, request, cls, tenant, key, left_ms, cost, memory, group, bits = REQUEST.unpack_from(fields)
    cost = _finite(cost) if bits & COST_HINT_BIT else 0.0
    event = policy.RequestArrived(request, cls, tenant, key, _finite(left_ms), cost, _finite(memory), _finite(group))
    return instance, event


def read_response_started(fields: bytes) -> tuple[int, policy.Event]:
    """Decode a started record into its instance number and a ResponseStarted event; its last field is not used."""
    instance, request, attempt, engine, _ = RESPONSE_STARTED.unpack_from(fields)
    return instance, policy.ResponseStarted(request, attempt, engine)


def read_progress(fields: bytes) -> tuple[int, policy.Event]:
    """Decode a progress note into its instance number and a ProgressReported event.

    Raise WireError for an unknown kind of progress; a value that is not finite becomes 0.
    """
    instance, request, attempt, engine, kind, value = PROGRESS.unpack_from(fields)
    return instance, policy.ProgressReported(
        request, attempt, engine, _enum_value(policy.ProgressKind, kind, "kind of note"), _finite(value)
    )


def read_attempt_ended(fields: bytes) -> tuple[int, policy.Event]:
    """Decode the end of an attempt into its instance number and an AttemptEnded event.

    The cost field holds milliseconds in units of COST_UNIT and, as the remainder, memory in units of MEMORY_UNIT_MB.
    Raise WireError for an unknown outcome or a load report that is longer than the record.
    """
    instance, request, attempt, engine, outcome, elapsed, is_last, cost, count = ATTEMPT_ENDED.unpack_from(fields)
    return instance, policy.AttemptEnded(
        request,
        attempt,
        engine,
        _enum_value(policy.AttemptOutcome, outcome, "verdict"),
        _finite(elapsed),
        bool(is_last),
        float(cost // COST_UNIT),
        float(cost % COST_UNIT * MEMORY_UNIT_MB),
        _load_report(fields, ATTEMPT_ENDED.size, count),
    )


def read_client_disconnected(fields: bytes) -> tuple[int, policy.Event]:
    """Decode a left record (the client has disconnected) into its instance number and a ClientDisconnected event."""
    instance, request = CLIENT_DISCONNECTED.unpack_from(fields)
    return instance, policy.ClientDisconnected(request)


def read_timer_fired(fields: bytes) -> tuple[int, policy.Event]:
    """Decode a due record (a timer has expired) into its instance number and a TimerFired event."""
    instance, token = TIMER_FIRED.unpack_from(fields)
    return instance, policy.TimerFired(token)


def read_health_check(fields: bytes) -> tuple[int, policy.Event]:
    """Decode a health check's result into its instance number and a HealthCheckCompleted event.

    Raise WireError for an unknown outcome or a load report that is longer than the record.
    """
    instance, engine, outcome, elapsed, count = HEALTH_CHECK.unpack_from(fields)
    return instance, policy.HealthCheckCompleted(
        engine,
        _enum_value(policy.AttemptOutcome, outcome, "verdict"),
        _finite(elapsed),
        _load_report(fields, HEALTH_CHECK.size, count),
    )


READERS: dict[int, Callable[[bytes], tuple[int, policy.Event]]] = {
    0: read_response_started,
    1: read_request,
    3: read_client_disconnected,
    4: read_attempt_ended,
    7: read_timer_fired,
    10: read_progress,
    11: read_health_check,
}
DISCOVERY_CODE = 2
SHUTDOWN_CODE = 5
DIRECTORY_CODE = 6
MEMO_CODE = 8
HELLO_CODE = 9


def _start_attempt(instance: int, action: policy.StartAttempt) -> tuple[int, bytes]:
    return 1, struct.pack(">IQdI", instance, action.request, action.timeout_ms, action.engine)


def _update_priority(instance: int, action: policy.UpdatePriority) -> tuple[int, bytes]:
    return 2, struct.pack(">IQBf", instance, action.request, action.priority, action.memory_mb)


def _cancel_attempt(instance: int, action: policy.CancelAttempt) -> tuple[int, bytes]:
    return 4, struct.pack(">IQH", instance, action.request, action.attempt)


def _reject_request(instance: int, action: policy.RejectRequest) -> tuple[int, bytes]:
    return 9, struct.pack(">IQd", instance, action.request, action.retry_after_ms)


def _fail_request(instance: int, action: policy.FailRequest) -> tuple[int, bytes]:
    return 10, struct.pack(">IQ", instance, action.request)


def _run_health_check(instance: int, action: policy.RunHealthCheck) -> tuple[int, bytes]:
    return 6, struct.pack(">II", instance, action.engine)


def _set_timer(instance: int, action: policy.SetTimer) -> tuple[int, bytes]:
    return 7, struct.pack(">IId", instance, action.token, action.due_at_ms)


def _subscribe_endpoints(instance: int, action: policy.SubscribeEndpoints) -> tuple[int, bytes]:
    return 0, struct.pack(">IB", instance, action.on)


def _write_log(instance: int, action: policy.WriteLog) -> tuple[int, bytes]:
    return 12, _text(instance, action.text)


def _text(instance: int, text: str) -> bytes:
    data = text.encode()[:MAX_TEXT_BYTES]
    return struct.pack(">IH", instance, len(data)) + data


WRITERS: dict[type, Callable[[int, Any], tuple[int, bytes]]] = {
    policy.StartAttempt: _start_attempt,
    policy.UpdatePriority: _update_priority,
    policy.CancelAttempt: _cancel_attempt,
    policy.RejectRequest: _reject_request,
    policy.FailRequest: _fail_request,
    policy.RunHealthCheck: _run_health_check,
    policy.SetTimer: _set_timer,
    policy.SubscribeEndpoints: _subscribe_endpoints,
    policy.WriteLog: _write_log,
}
BAIL_OUT_CODE = 5


class AdapterHost:
    """All instances of one process; each has its own controller, and they share no state."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.failed: set[int] = set()
        self.lists: dict[int, tuple[policy.EngineEntry, ...]] = {}
        self.settings: dict[bytes, policy.Settings] = {}

    def _read_hello(self, fields: bytes) -> tuple[int, int, bytes]:
        instance, seed, size = HELLO.unpack_from(fields)
        if HELLO.size + size > len(fields):
            raise WireError("the settings run past their record")
        return instance, seed, fields[HELLO.size : HELLO.size + size]

    def _read_directory(self, fields: bytes) -> None:
        number, count = DIRECTORY.unpack_from(fields)
        end = DIRECTORY.size + count * ENGINE_ENTRY.size
        if end > len(fields):
            raise WireError("an engine list runs past its record")
        entries = tuple(policy.EngineEntry(*item) for item in ENGINE_ENTRY.iter_unpack(fields[DIRECTORY.size : end]))
        for entry in entries:
            _enum_value(policy.Health, entry.health, "health")
        self.lists[number] = entries

    def _read_discovery(self, fields: bytes) -> tuple[int, policy.Event]:
        instance, kind, version, number = DISCOVERY.unpack_from(fields)
        if _enum_value(policy.EndpointListKind, kind, "kind of list") == policy.EndpointListKind.FAILED:
            return instance, policy.EndpointListUpdated(kind, version, ())
        if number not in self.lists:
            raise WireError(f"engine list {number} was never sent")
        return instance, policy.EndpointListUpdated(kind, version, self.lists[number])

    def _start(self, instance: int, seed: int, settings_text: bytes) -> list[tuple[int, bytes]]:
        if settings_text not in self.settings:
            self.settings[settings_text] = parse_settings(settings_text.decode())
        self.controllers[instance] = Controller(self.settings[settings_text], seed)
        return []

    def record(self, now_ms: float, code: int, fields: bytes) -> list[tuple[int, bytes]]:
        """Handle one event record and return the reply records that it caused, as pairs of code and fields.

        Raise WireError for an unknown code or a malformed record, struct.error for one that is too short; these end the
        process. Any other exception ends only the instance concerned: it is answered with one bail-out record, and the
        instance's events are ignored until its next hello.
        """
        if code == DIRECTORY_CODE:
            self._read_directory(fields)
            return []
        if code == MEMO_CODE:
            return []
        if code == SHUTDOWN_CODE:
            self.controllers.pop(INSTANCE.unpack_from(fields)[0], None)
            return []
        if code == HELLO_CODE:
            instance, seed, settings_text = self._read_hello(fields)
            self.failed.discard(instance)
            return self._guarded(instance, partial(self._start, instance, seed, settings_text))
        instance, event = self._read_event(code, fields)
        if instance in self.failed:
            return []
        return self._guarded(instance, partial(self._handle, instance, now_ms, event))

    def _read_event(self, code: int, fields: bytes) -> tuple[int, policy.Event]:
        if code == DISCOVERY_CODE:
            return self._read_discovery(fields)
        if code in READERS:
            return READERS[code](fields)
        raise WireError(f"unknown event code {code}")

    def _guarded(self, instance: int, step: Callable[[], list[tuple[int, bytes]]]) -> list[tuple[int, bytes]]:
        """Run a step of an instance; an exception ends only that instance."""
        try:
            return step()
        except Exception as error:  # noqa: BLE001 - the other instances must continue
            self.failed.add(instance)
            return [(BAIL_OUT_CODE, _text(instance, f"{type(error).__name__}: {error}"))]

    def _handle(self, instance: int, now_ms: float, event: policy.Event) -> list[tuple[int, bytes]]:
        if instance not in self.controllers:
            return []
        actions = self.controllers[instance].handle(now_ms, event)
        return [WRITERS[type(action)](instance, action) for action in actions]

    def batch(self, count: int, now_ms: float, body: bytes) -> bytes:
        """Handle one batch of `count` records, all of time `now_ms`, and return the complete reply frame.

        Raise WireError for a malformed record, or if the records do not fill `body` exactly.
        """
        output_records: list[bytes] = []
        offset = 0
        for _ in range(count):
            if offset + RECORD.size > len(body):
                raise WireError("the batch ends before its last record")
            code, size = RECORD.unpack_from(body, offset)
            offset += RECORD.size
            if offset + size > len(body):
                raise WireError("a record runs past its batch")
            try:
                replies = self.record(now_ms, code, body[offset : offset + size])
            except struct.error as error:
                raise WireError(f"a record of code {code} is too short: {error}") from None
            for reply_code, fields in replies:
                output_records.append(RECORD.pack(reply_code, len(fields)) + fields)
            offset += size
        if offset != len(body):
            raise WireError("the batch is longer than its records")
        output = b"".join(output_records)
        return REPLY.pack(4 + len(output), len(output_records)) + output


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends, flushing after each.

    Raise WireError for a malformed or incomplete batch, or for a header with a negative length or a non-finite time.
    """
    host = AdapterHost()
    while True:
        header = source.read(HEADER.size)
        if not header:
            return
        if len(header) < HEADER.size:
            raise WireError("the input ends inside a header")
        size, count, now_ms = HEADER.unpack(header)
        remaining = size - (HEADER.size - 4)
        if remaining < 0 or not math.isfinite(now_ms):
            raise WireError("a batch header has a negative length or a time that is not finite")
        body = source.read(remaining)
        if len(body) < remaining:
            raise WireError("the input ends inside a batch")
        sink.write(host.batch(count, now_ms, body))
        sink.flush()


def main() -> int:
    """Serve stdin and stdout; return exit status 0 at the end of the input, or 2 after a protocol error."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"frostspindle: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
