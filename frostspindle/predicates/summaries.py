"""Summaries of sets of rows: per column the least and greatest value, counts and a sketch (Bloom filter).

Owns making, widening, merging and the bytes of summaries. A summary only ever widens, so that `may_match` never goes
from yes to no by it, and is bounded in bytes whatever the rows hold. The sketch is a Bloom filter on a hash that is the
same in each process and run. Must never forget a value that it was widened with, nor take bytes that it can't check.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterable, Mapping
from typing import Annotated, Any

import msgspec
from rbloom import Bloom

from frostspindle.predicates.values import (
    KINDS,
    NULL,
    NUMBER,
    TEXT,
    TIME,
    Value,
    canonical,
    fold_column,
    parse_number,
    parse_time,
    successor,
    typed,
)

MAX_COLUMNS = 64
MAX_BITS = 65_536  # of one column's sketch
MAX_BOUND = 64  # characters of a least or greatest text; longer ones are cut, the greatest upwards
HASHES = 4  # bits of a sketch that each value sets
MIXED = 4  # kind of a column with values of several kinds, or some that can't be typed: nothing is known of it
FORMAT = 1
MAX_BYTES = MAX_COLUMNS * (MAX_BITS // 8 + 1_200) + 64
_MAX_COUNT = 2**62
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Bound = Annotated[str, msgspec.Meta(max_length=96)]


class SummaryError(ValueError):
    """Bytes that are no summary, or a summary that can't be made."""


class _Column(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    kind: Annotated[int, msgspec.Meta(ge=0, le=MIXED)]
    lo: _Bound | None
    hi: _Bound | None
    values: _Count
    nulls: _Count
    sketch: Annotated[bytes, msgspec.Meta(max_length=MAX_BITS // 8)]


class _Wire(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    format: int
    version: _Count
    rows: _Count
    hashes: Annotated[int, msgspec.Meta(ge=HASHES, le=HASHES)]
    columns: Annotated[list[_Column], msgspec.Meta(max_length=MAX_COLUMNS)]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Wire)


def stable_hash(text: str) -> int:
    """Return a signed 128-bit hash that is the same in every process, unlike Python's."""
    digest = hashlib.blake2b(text.encode(), digest_size=16).digest()
    return int.from_bytes(digest, "little", signed=True)


class ColumnSummary:
    """Summary of one column; `judge.View` says what its values mean."""

    __slots__ = ("hi", "kind", "lo", "nulls", "sketch", "some", "values")
    lo_open = hi_open = strict = False

    def __init__(self, bits: int):
        self.kind, self.lo, self.hi = NULL, None, None
        self.values = self.nulls = 0
        self.some = False
        self.sketch = _sketch(bytes(bits // 8)) if bits else None

    def has(self, value: Value) -> bool:
        """Tell whether some row may have this value, by the sketch.

        Errs to yes, and is always True without a sketch.
        """
        return self.sketch is None or canonical(value) in self.sketch

    def widen(self, raw: Any) -> None:
        """Take in one raw value, None for null.

        A value that can't be typed, or of a second kind, makes the column MIXED: only counts are known from then on.
        """
        if raw is None:
            self.nulls += 1
            return
        try:
            value = typed(raw)
        except ValueError:
            self._mixed()  # an engine may compare it in ways that nobody here knows
            self.values += 1
            return
        kind = KINDS[type(value)]
        if self.kind not in (NULL, kind):
            self._mixed()
        if self.kind != MIXED:
            lo, hi = _low(value), _high(value)
            first, self.kind = self.kind == NULL, kind
            self.lo = lo if first or lo < self.lo else self.lo
            if first or self.hi is not None:
                self.hi = hi if first or hi is None or hi > self.hi else self.hi
            if self.sketch is not None:
                self.sketch.add(canonical(value))
        self.values, self.some = self.values + 1, True

    def merge(self, other: ColumnSummary) -> None:
        """Take in another set's summary of this column.

        Different kinds make it MIXED; sketches of different sizes, or one missing, drop the sketch.
        """
        self.nulls += other.nulls
        if not other.values:
            return
        if not self.values:
            self.kind, self.lo, self.hi = other.kind, other.lo, other.hi
        elif self.kind != other.kind or self.kind == MIXED:
            self._mixed()
        else:
            self.lo = min(self.lo, other.lo)
            self.hi = None if self.hi is None or other.hi is None else max(self.hi, other.hi)
        if self.sketch is not None:
            if other.sketch is None or other.sketch.size_in_bits != self.sketch.size_in_bits:
                self.sketch = None  # members of sketches of two sizes can't be told
            else:
                self.sketch.update(other.sketch)
        self.values, self.some = self.values + other.values, True

    def _mixed(self) -> None:
        self.kind, self.lo, self.hi, self.sketch, self.some = MIXED, None, None, None, True


class Summary:
    """Summary of a set of rows in the named columns; of others nothing is known.

    `version` grows with each widening, so that of two summaries of one set the newer can be told.
    """

    def __init__(self, columns: Iterable[str], bits: int = 4_096):
        """`bits` of each column's sketch, a multiple of 8; 0: no sketch. SummaryError beyond the bounds."""
        names = [fold_column(name) for name in columns]
        if len(names) > MAX_COLUMNS or len(set(names)) != len(names):
            raise SummaryError(f"a summary has up to {MAX_COLUMNS} columns, each once")
        if bits % 8 or not 0 <= bits <= MAX_BITS:
            raise SummaryError(f"a sketch has 0 to {MAX_BITS} bits, a multiple of 8")
        self.rows = self.version = 0
        self.columns = {name: ColumnSummary(bits) for name in names}

    def view(self, name: str) -> ColumnSummary | None:
        """Return what is known of the column of this folded name; None if it is not among the summary's columns."""
        return self.columns.get(name)

    def widen(self, row: Mapping[str, Any]) -> None:
        """Take in a row with folded names (see `typed_row`).

        A column that it lacks is null; a value that can't be typed makes its column one of which nothing is known.
        """
        for name, one in self.columns.items():
            one.widen(row.get(name))
        self.rows += 1
        self.version = min(_MAX_COUNT, self.version + 1)

    def merge(self, other: Summary) -> None:
        """Take in another summary. Columns that only one of the two has are no longer known.

        SummaryError, and no change, if the rows would be too many to count.
        """
        if self.rows + other.rows > _MAX_COUNT:
            raise SummaryError(f"more than {_MAX_COUNT} rows")
        for name in [name for name in self.columns if name not in other.columns]:
            del self.columns[name]
        for name, one in self.columns.items():
            one.merge(other.columns[name])
        self.rows += other.rows
        self.version = min(_MAX_COUNT, max(self.version, other.version) + 1)

    def encode(self) -> bytes:
        """Encode the summary in at most MAX_BYTES."""
        return _encoder.encode(
            _Wire(
                FORMAT,
                self.version,
                self.rows,
                HASHES,
                [
                    _Column(
                        name,
                        one.kind,
                        _text(one.lo),
                        _text(one.hi),
                        one.values,
                        one.nulls,
                        b"" if one.sketch is None else one.sketch.save_bytes()[8:],
                    )
                    for name, one in self.columns.items()
                ],
            )
        )

    @classmethod
    def decode(cls, data: bytes) -> Summary:
        """Decode a summary; SummaryError for bytes that `encode` never makes, as far as that can be told from them."""
        if len(data) > MAX_BYTES:
            raise SummaryError(f"a summary of more than {MAX_BYTES} bytes")
        try:
            wire = _decoder.decode(data)
            if wire.format != FORMAT:
                raise SummaryError(f"a summary of format {wire.format}, not {FORMAT}")
            out = cls([one.name for one in wire.columns], 0)
            for one in wire.columns:
                if fold_column(one.name) != one.name:
                    raise SummaryError("a column's name is not folded")
                _fill(out.columns[one.name], one, wire.rows)
        except SummaryError:
            raise
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise SummaryError(f"not a summary: {error}") from None
        out.rows, out.version = wire.rows, wire.version
        return out


def _fill(made: ColumnSummary, wire: _Column, rows: int) -> None:
    made.kind, made.values, made.nulls, made.some = wire.kind, wire.values, wire.nulls, wire.values > 0
    known = wire.kind in (NUMBER, TEXT, TIME)
    if wire.values + wire.nulls != rows or known != (wire.lo is not None) or (wire.kind == NULL) != (not wire.values):
        raise SummaryError(f"column {wire.name}: counts, kind and bounds don't fit together")
    if not known and wire.hi is not None or wire.hi is None and wire.kind in (NUMBER, TIME):
        raise SummaryError(f"column {wire.name}: counts, kind and bounds don't fit together")
    if known:
        made.lo, made.hi = (None if text is None else _value(wire.kind, text) for text in (wire.lo, wire.hi))
        if made.hi is not None and made.lo > made.hi:
            raise SummaryError(f"column {wire.name}: least above greatest")
    if wire.kind == MIXED and wire.sketch:
        raise SummaryError(f"column {wire.name}: a sketch of mixed values")
    if wire.sketch:
        made.sketch = _sketch(wire.sketch)


def _sketch(bits: bytes) -> Bloom:
    # The library trusts the number of hashes and the length that it reads: neither comes from outside.
    return Bloom.load_bytes(HASHES.to_bytes(8, "little") + bits, stable_hash)


def _low(value: Value) -> Value:
    return value[:MAX_BOUND] if type(value) is str else value


def _high(value: Value) -> Value:
    if type(value) is not str or len(value) <= MAX_BOUND:
        return value
    return successor(value[:MAX_BOUND])


def _text(value: Value) -> str | None:
    return None if value is None else canonical(value)


def _value(kind: int, text: str) -> Value:
    if kind == TEXT:
        if len(text) > MAX_BOUND:
            raise SummaryError(f"a bound of more than {MAX_BOUND} characters")
        return typed(text)
    if kind == NUMBER:
        return parse_number(text)
    if not re.fullmatch(r"[0-9T:.+-]+", text):
        raise SummaryError("a bound that is no time")
    return parse_time(text)
