"""Binary protocol adapter on stdin and stdout: decodes batches of events and encodes the controllers' actions.

Each batch may hold events of several instances; each event goes to the controller of its instance. It takes no
admission decisions: see frostspindle/policy for these.

Run as `python -m frostspindle.simulator_adapter`.
"""

from __future__ import annotations

import math
import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from frostspindle import policy
from frostspindle.policy.controller import Controller
from frostspindle.policy.settings_parser import parse_settings


class WireError(Exception):
    """The peer sent bytes that the protocol does not allow; it ends the process."""


HEADER = struct.Struct(">IId")
REPLY = struct.Struct(">II")
RECORD = struct.Struct(">BI")
WHO = struct.Struct(">I")
HELLO = struct.Struct(">IQI")
DIRECTORY = struct.Struct(">BI")
ENTRY = struct.Struct(">IBHHBfd")
DISCOVERY = struct.Struct(">IBQB")
REQUEST = struct.Struct(">IQHHQddffB")
STARTED = struct.Struct(">IQHId")
NOTE = struct.Struct(">IQHIBf")
ENDED = struct.Struct(">IQHIHdBIB")
LEFT = struct.Struct(">IQ")
DUE = struct.Struct(">II")
CHECKED = struct.Struct(">IIHdB")

COST_HINT_BIT = 1
COST_UNIT = 4096
MEMORY_UNIT_MB = 4


def _finite(value: float) -> float:
    return value if math.isfinite(value) else 0.0


def _report(fields: bytes, at: int, count: int) -> tuple[float, ...]:
    if at + 4 * count > len(fields):
        raise WireError("a load report runs past its record")
    return tuple(_finite(v) for v in struct.unpack_from(f">{count}f", fields, at))


def _known(kind: type, value: int, what: str) -> int:
    try:
        return int(kind(value))
    except ValueError:
        raise WireError(f"unknown {what} {value}") from None


def read_request(f: bytes) -> tuple[int, policy.Event]:
    """Decode a request record into its instance number and a Request event.

    Without the cost hint bit the cost is 0 (unknown); values that are not finite become 0. Raise struct.error where the
    record is too short.
    """
    who, request, cls, tenant, key, left, cost, memory, group, bits = REQUEST.unpack_from(f)
    cost = _finite(cost) if bits & COST_HINT_BIT else 0.0
    return who, policy.RequestArrived(request, cls, tenant, key, _finite(left), cost, _finite(memory), _finite(group))


def read_started(f: bytes) -> tuple[int, policy.Event]:
    """Decode a started record into its instance number and a Started event; its last field is not used."""
    who, request, attempt, engine, _ = STARTED.unpack_from(f)
    return who, policy.ResponseStarted(request, attempt, engine)


def read_note(f: bytes) -> tuple[int, policy.Event]:
    """Decode a progress note into its instance number and a Note event.

    Raise WireError for an unknown kind of note; a value that is not finite becomes 0.
    """
    who, request, attempt, engine, kind, value = NOTE.unpack_from(f)
    return who, policy.ProgressReported(
        request, attempt, engine, _known(policy.ProgressKind, kind, "kind of note"), _finite(value)
    )


def read_ended(f: bytes) -> tuple[int, policy.Event]:
    """Decode the end of an attempt into its instance number and an Ended event.

    The cost field holds milliseconds in units of COST_UNIT and, as the rest, memory in units of MEMORY_UNIT_MB. Raise
    WireError for an unknown verdict or a load report that is longer than the record.
    """
    who, request, attempt, engine, outcome, elapsed, last, cost, count = ENDED.unpack_from(f)
    return who, policy.AttemptEnded(
        request,
        attempt,
        engine,
        _known(policy.AttemptOutcome, outcome, "verdict"),
        _finite(elapsed),
        bool(last),
        float(cost // COST_UNIT),
        float(cost % COST_UNIT * MEMORY_UNIT_MB),
        _report(f, ENDED.size, count),
    )


def read_left(f: bytes) -> tuple[int, policy.Event]:
    """Decode a left record (the client has gone) into its instance number and a Left event."""
    who, request = LEFT.unpack_from(f)
    return who, policy.ClientDisconnected(request)


def read_due(f: bytes) -> tuple[int, policy.Event]:
    """Decode a due record (a timer has expired) into its instance number and a Due event."""
    who, token = DUE.unpack_from(f)
    return who, policy.TimerFired(token)


def read_checked(f: bytes) -> tuple[int, policy.Event]:
    """Decode a health check's result into its instance number and a Probed event.

    Raise WireError for an unknown verdict or a load report that is longer than the record.
    """
    who, engine, outcome, elapsed, count = CHECKED.unpack_from(f)
    return who, policy.HealthCheckCompleted(
        engine, _known(policy.AttemptOutcome, outcome, "verdict"), _finite(elapsed), _report(f, CHECKED.size, count)
    )


READERS: dict[int, Callable[[bytes], tuple[int, policy.Event]]] = {
    0: read_started,
    1: read_request,
    3: read_left,
    4: read_ended,
    7: read_due,
    10: read_note,
    11: read_checked,
}
HELLO_CODE, DISCOVERY_CODE, SHUTDOWN_CODE, DIRECTORY_CODE, MEMO_CODE = 9, 2, 5, 6, 8


def _send(who: int, a: Any) -> tuple[int, bytes]:
    return 1, struct.pack(">IQdI", who, a.request, a.timeout_ms, a.engine)


def _text(who: int, text: str) -> bytes:
    data = text.encode()[:65535]
    return struct.pack(">IH", who, len(data)) + data


WRITERS: dict[type, Callable[[int, Any], tuple[int, bytes]]] = {
    policy.StartAttempt: _send,
    policy.UpdatePriority: lambda who, a: (2, struct.pack(">IQBf", who, a.request, a.priority, a.memory_mb)),
    policy.CancelAttempt: lambda who, a: (4, struct.pack(">IQH", who, a.request, a.attempt)),
    policy.RejectRequest: lambda who, a: (9, struct.pack(">IQd", who, a.request, a.retry_after_ms)),
    policy.FailRequest: lambda who, a: (10, struct.pack(">IQ", who, a.request)),
    policy.RunHealthCheck: lambda who, a: (6, struct.pack(">II", who, a.engine)),
    policy.SetTimer: lambda who, a: (7, struct.pack(">IId", who, a.token, a.due_at_ms)),
    policy.SubscribeEndpoints: lambda who, a: (0, struct.pack(">IB", who, a.on)),
    policy.WriteLog: lambda who, a: (12, _text(who, a.text)),
}
BAIL_OUT_CODE = 5


class Host:
    """All instances of one process, each with a controller of its own and no state shared between them."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.failed: set[int] = set()
        self.lists: dict[int, tuple[policy.EngineEntry, ...]] = {}
        self.settings: dict[bytes, policy.Settings] = {}

    def _read_hello(self, f: bytes) -> tuple[int, int, bytes]:
        who, seed, size = HELLO.unpack_from(f)
        if HELLO.size + size > len(f):
            raise WireError("the settings run past their record")
        return who, seed, f[HELLO.size : HELLO.size + size]

    def _read_directory(self, f: bytes) -> None:
        number, count = DIRECTORY.unpack_from(f)
        end = DIRECTORY.size + count * ENTRY.size
        if end > len(f):
            raise WireError("an engine list runs past its record")
        entries = tuple(policy.EngineEntry(*e) for e in ENTRY.iter_unpack(f[DIRECTORY.size : end]))
        for entry in entries:
            _known(policy.Health, entry.health, "health")
        self.lists[number] = entries

    def _read_discovery(self, f: bytes) -> tuple[int, policy.Event]:
        who, how, version, number = DISCOVERY.unpack_from(f)
        if _known(policy.EndpointListKind, how, "kind of list") == policy.EndpointListKind.FAILED:
            return who, policy.EndpointListUpdated(how, version, ())
        if number not in self.lists:
            raise WireError(f"engine list {number} was never sent")
        return who, policy.EndpointListUpdated(how, version, self.lists[number])

    def _start(self, who: int, seed: int, setup: bytes) -> None:
        if setup not in self.settings:
            self.settings[setup] = parse_settings(setup.decode())
        self.controllers[who] = Controller(self.settings[setup], seed)

    def record(self, now_ms: float, code: int, f: bytes) -> list[tuple[int, bytes]]:
        """Handle one event record and return the reply records that it caused, as pairs of code and fields.

        Raise WireError for an unknown code or a malformed record, struct.error for one that is too short; these end the
        process. Any other exception ends only the instance concerned: it is answered with one bail-out record, and the
        instance's events are ignored until its next hello.
        """
        if code == DIRECTORY_CODE:
            self._read_directory(f)
            return []
        if code == MEMO_CODE:
            return []
        if code == SHUTDOWN_CODE:
            self.controllers.pop(WHO.unpack_from(f)[0], None)
            return []
        event: policy.Event | None = None
        hello = (0, b"")
        if code == HELLO_CODE:
            who, *hello_rest = self._read_hello(f)
            hello = (hello_rest[0], hello_rest[1])
            self.failed.discard(who)
        elif code == DISCOVERY_CODE:
            who, event = self._read_discovery(f)
        elif code in READERS:
            who, event = READERS[code](f)
        else:
            raise WireError(f"unknown event code {code}")
        if who in self.failed:
            return []
        try:
            if event is None:
                self._start(who, *hello)
                return []
            if who not in self.controllers:
                return []
            actions = self.controllers[who].handle(now_ms, event)
            return [WRITERS[type(action)](who, action) for action in actions]
        except Exception as error:  # noqa: BLE001 - any fault of one instance ends that instance alone
            self.failed.add(who)
            return [(BAIL_OUT_CODE, _text(who, f"{type(error).__name__}: {error}"))]

    def batch(self, count: int, now_ms: float, body: bytes) -> bytes:
        """Handle one batch of `count` records, all of time `now_ms`, and return the whole reply frame.

        Raise WireError for a malformed record, and unless the records fill `body` exactly.
        """
        out: list[bytes] = []
        at = 0
        for _ in range(count):
            if at + RECORD.size > len(body):
                raise WireError("the batch ends before its last record")
            code, size = RECORD.unpack_from(body, at)
            at += RECORD.size
            if at + size > len(body):
                raise WireError("a record runs past its batch")
            try:
                replies = self.record(now_ms, code, body[at : at + size])
            except struct.error as error:
                raise WireError(f"a record of code {code} is too short: {error}") from None
            for reply_code, fields in replies:
                out.append(RECORD.pack(reply_code, len(fields)) + fields)
            at += size
        if at != len(body):
            raise WireError("the batch is longer than its records")
        body_out = b"".join(out)
        return REPLY.pack(4 + len(body_out), len(out)) + body_out


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends, flushing after each.

    Raise WireError for a malformed batch, where the input ends within one, or where a header has a negative length or a
    time that is not finite.
    """
    host = Host()
    while head := source.read(HEADER.size):
        if len(head) < HEADER.size:
            raise WireError("the input ends inside a header")
        size, count, now_ms = HEADER.unpack(head)
        rest = size - (HEADER.size - 4)
        if rest < 0 or not math.isfinite(now_ms):
            raise WireError("a batch header makes no sense")
        body = source.read(rest)
        if len(body) < rest:
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
