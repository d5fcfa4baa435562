"""The wire: reads batches of events, hands each to its instance's controller, writes the actions.

Run as `python -m pinstage.adapter`. It decides nothing: see pinstage/control.py for that.
"""

from __future__ import annotations

import math
import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from pinstage import interface as api
from pinstage.control import Controller


class WireError(Exception):
    """The peer sent bytes that no page of the wire allows."""


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
EFFECTS = {"repeatable": api.Effect.REPEATABLE, "by_key": api.Effect.BY_KEY, "once": api.Effect.ONCE}


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


def read_request(f: bytes) -> tuple[int, api.Event]:
    who, request, cls, tenant, key, left, cost, memory, group, bits = REQUEST.unpack_from(f)
    cost = _finite(cost) if bits & COST_HINT_BIT else 0.0
    return who, api.Request(request, cls, tenant, key, _finite(left), cost, _finite(memory), _finite(group))


def read_started(f: bytes) -> tuple[int, api.Event]:
    who, request, attempt, engine, _ = STARTED.unpack_from(f)
    return who, api.Started(request, attempt, engine)


def read_note(f: bytes) -> tuple[int, api.Event]:
    who, request, attempt, engine, kind, value = NOTE.unpack_from(f)
    return who, api.Note(request, attempt, engine, _known(api.NoteKind, kind, "kind of note"), _finite(value))


def read_ended(f: bytes) -> tuple[int, api.Event]:
    who, request, attempt, engine, verdict, elapsed, last, cost, count = ENDED.unpack_from(f)
    return who, api.Ended(
        request, attempt, engine, _known(api.Verdict, verdict, "verdict"), _finite(elapsed), bool(last),
        float(cost // COST_UNIT), float(cost % COST_UNIT * MEMORY_UNIT_MB), _report(f, ENDED.size, count))


def read_left(f: bytes) -> tuple[int, api.Event]:
    who, request = LEFT.unpack_from(f)
    return who, api.Left(request)


def read_due(f: bytes) -> tuple[int, api.Event]:
    who, token = DUE.unpack_from(f)
    return who, api.Due(token)


def read_checked(f: bytes) -> tuple[int, api.Event]:
    who, engine, verdict, elapsed, count = CHECKED.unpack_from(f)
    return who, api.Probed(engine, _known(api.Verdict, verdict, "verdict"), _finite(elapsed),
                           _report(f, CHECKED.size, count))


READERS: dict[int, Callable[[bytes], tuple[int, api.Event]]] = {
    0: read_started, 1: read_request, 3: read_left, 4: read_ended, 7: read_due, 10: read_note,
    11: read_checked}
HELLO_CODE, DISCOVERY_CODE, SHUTDOWN_CODE, DIRECTORY_CODE, MEMO_CODE = 9, 2, 5, 6, 8


def _send(who: int, a: Any) -> tuple[int, bytes]:
    return 1, struct.pack(">IQdI", who, a.request, a.timeout_ms, a.engine)


def _text(who: int, text: str) -> bytes:
    data = text.encode()[:65535]
    return struct.pack(">IH", who, len(data)) + data


WRITERS: dict[type, Callable[[int, Any], tuple[int, bytes]]] = {
    api.Send: _send,
    api.Terms: lambda who, a: (2, struct.pack(">IQBf", who, a.request, a.priority, a.memory_mb)),
    api.Cancel: lambda who, a: (4, struct.pack(">IQH", who, a.request, a.attempt)),
    api.Refuse: lambda who, a: (9, struct.pack(">IQd", who, a.request, a.retry_after_ms)),
    api.Fail: lambda who, a: (10, struct.pack(">IQ", who, a.request)),
    api.Probe: lambda who, a: (6, struct.pack(">II", who, a.engine)),
    api.Remind: lambda who, a: (7, struct.pack(">IId", who, a.token, a.due_at_ms)),
    api.Watch: lambda who, a: (0, struct.pack(">IB", who, a.on)),
    api.Log: lambda who, a: (12, _text(who, a.text)),
}
BAIL_OUT_CODE = 5


class _Pairs:
    """Typed look-ups in the path=value lines of a Hello."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            if line.strip():
                path, mark, value = line.partition("=")
                if not mark:
                    raise ValueError(f"{path}: not a path=value line")
                self.values[path.strip()] = value.strip()

    def text(self, path: str, default: str | None = None) -> str:
        value = self.values.get(path, default)
        if value is None:
            raise ValueError(f"{path}: missing")
        return value

    def number(self, path: str, default: float | None = None) -> float:
        if path not in self.values and default is not None:
            return default
        try:
            value = float(self.text(path))
        except ValueError:
            raise ValueError(f"{path}: missing or not a number") from None
        if not math.isfinite(value):
            raise ValueError(f"{path}: not a finite number")
        return value

    def flag(self, path: str, default: bool = False) -> bool:
        value = self.values.get(path, str(default).lower())
        if value not in ("true", "false"):
            raise ValueError(f"{path}: neither true nor false")
        return value == "true"

    def items(self, path: str) -> list[str]:
        value = self.values.get(path, "")
        return value.split(",") if value else []

    def numbers(self, path: str) -> list[float]:
        try:
            return [float(v) for v in self.items(path)]
        except ValueError:
            raise ValueError(f"{path}: not a list of numbers") from None

    def places(self, path: str) -> frozenset[int] | None:
        return frozenset(int(v) for v in self.numbers(path)) if path in self.values else None


def parse_settings(text: str) -> api.Settings:
    """Read the settings of a Hello; keys that are not known here are skipped."""
    p = _Pairs(text)
    count = int(p.number("categories.count"))
    threads, loads = p.numbers("domain.classThreads"), p.items("domain.classLoad")
    waits = p.items("domain.blockedByLoads")
    classes = []
    for i in range(count):
        c = f"categories.{i}."
        effect = p.text(c + "effect")
        if effect not in EFFECTS:
            raise ValueError(f"{c}effect: unknown effect {effect!r}")
        classes.append(api.ClassSettings(
            aim_ms=p.number(c + "promise"), deadline_ms=p.number(c + "hardLimit"),
            worth=p.number(c + "worth", 1.0),
            aim_stretch=p.number(c + "aimStretch", 0.0), late_share=p.number(c + "lateShare", 0.0),
            effect=EFFECTS[effect], dedup_scope=p.text(c + "dedupScope", "all"),
            window_ms=p.number(c + "window", 0.0), in_order=p.flag(c + "inOrder"),
            stream=p.flag(c + "stream"),
            threads=int(threads[i]) if i < len(threads) else 1, is_load=i < len(loads) and loads[i] == "true",
            waits_for_loads=i < len(waits) and waits[i] == "true",
            only_kinds=p.places(c + "servedOn"), only_zones=p.places(c + "failureDomainsOpen")))
    parties = int(p.number("parties.count", 0))
    return api.Settings(
        classes=tuple(classes), dispatchers=int(p.number("balancers", 1)), number=int(p.number("me", 0)),
        tenant_quota_per_s=tuple(p.number(f"parties.{i}.allowancePerS", 0.0) for i in range(parties)),
        kind_cores=tuple(p.numbers("domain.kindCores")) or (1.0,),
        kind_memory_mb=tuple(p.numbers("domain.sizeMb")) or (0.0,),
        most_grant=p.number("domain.mostGrant", 1.0),
        grants=p.flag("domain.grants"), priorities=p.flag("domain.priorities"),
        says_cost=p.flag("domain.saysCost"),
        note_period_ms=p.number("domain.notePeriod", 0.0), when_short=p.text("domain.whenShort", "wait"),
        report_columns=tuple(p.items("report.columns")),
        reports_in_answers=p.text("report.how", "silent") == "piggyback",
        subscribe=p.text("discovery", "automatic") == "subscribe",
        ask_within_ms=p.number("rules.mustAskIn", 0.0),
        may_cancel=p.flag("limits.cancel"), may_probe=p.flag("limits.probes"),
        second_copies=p.flag("limits.secondCopies"), retry_after=p.flag("limits.retryAfter"),
        max_retry_after_ms=p.number("limits.maxRetryAfter", 0.0),
        max_attempts=int(p.number("limits.mostTries", 1)),
        connect_timeout_ms=p.number("limits.dialTimeout", 250.0),
        drain_grace_ms=p.number("rules.stopSendingWithin", 0.0),
        cold_capacity=p.number("rules.startCapacity", 1.0), warm_within_ms=p.number("rules.warmWithin", 0.0),
        cold_multiple=p.number("rules.tipMultiple", 1.0), cold_window_ms=p.number("rules.fall", 1000.0),
        order_pause_ms=p.number("rules.orderPause", 0.0), retry_floor=p.number("rules.extraFloor", 0.0),
        retry_ratio=p.number("rules.extraRatio", 0.0), retry_span_ms=p.number("rules.resendSpan", 0.0),
        over_share_worth=p.number("overShareWorth", 1.0))


class Host:
    """All instances of one process; each has a controller of its own and they share nothing."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.failed: set[int] = set()
        self.lists: dict[int, tuple[api.EngineEntry, ...]] = {}
        self.settings: dict[bytes, api.Settings] = {}

    def _read_hello(self, f: bytes) -> tuple[int, int, bytes]:
        who, seed, size = HELLO.unpack_from(f)
        if HELLO.size + size > len(f):
            raise WireError("the settings run past their record")
        return who, seed, f[HELLO.size:HELLO.size + size]

    def _read_directory(self, f: bytes) -> None:
        number, count = DIRECTORY.unpack_from(f)
        end = DIRECTORY.size + count * ENTRY.size
        if end > len(f):
            raise WireError("an engine list runs past its record")
        entries = tuple(api.EngineEntry(*e) for e in ENTRY.iter_unpack(f[DIRECTORY.size:end]))
        for entry in entries:
            _known(api.Health, entry.health, "health")
        self.lists[number] = entries

    def _read_discovery(self, f: bytes) -> tuple[int, api.Event]:
        who, how, version, number = DISCOVERY.unpack_from(f)
        if _known(api.ListKind, how, "kind of list") == api.ListKind.FAILED:
            return who, api.EngineList(how, version, ())
        if number not in self.lists:
            raise WireError(f"engine list {number} was never sent")
        return who, api.EngineList(how, version, self.lists[number])

    def _start(self, who: int, seed: int, setup: bytes) -> None:
        if setup not in self.settings:
            self.settings[setup] = parse_settings(setup.decode())
        self.controllers[who] = Controller(self.settings[setup], seed)

    def record(self, now_ms: float, code: int, f: bytes) -> list[tuple[int, bytes]]:
        """Handle one event record; the reply records that it caused."""
        if code == DIRECTORY_CODE:
            self._read_directory(f)
            return []
        if code == MEMO_CODE:
            return []
        if code == SHUTDOWN_CODE:
            self.controllers.pop(WHO.unpack_from(f)[0], None)
            return []
        event: api.Event | None = None
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
        """Handle one batch; the whole reply frame."""
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
                replies = self.record(now_ms, code, body[at:at + size])
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
    """Answer batches until the input ends."""
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
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"pinstage: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
