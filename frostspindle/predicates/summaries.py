"""Summaries of sets of rows: per column the least and greatest value, counts and a sketch (a Bloom filter).

A summary only widens, so that `may_match` never changes from yes to no, and never excludes a value that was added. Its
encoding is bounded whatever the rows contain. The hash of the sketch is the same in each process. Data that is decoded
is checked first.
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
MAX_BOUND = 64  # characters of a text bound; longer bounds are truncated, upper bounds to the next greater text
HASHES = 4  # bits set in a sketch per value
MIXED = 4  # kind of a column with values of several kinds or values that can't be typed
FORMAT = 1
MAX_BYTES = MAX_COLUMNS * (MAX_BITS // 8 + 1_200) + 64
_MAX_COUNT = 2**62
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Bound = Annotated[str, msgspec.Meta(max_length=96)]


class SummaryError(ValueError):
    """Data can't be decoded as a summary, or a summary would exceed its bounds."""


class _EncodedColumn(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    kind: Annotated[int, msgspec.Meta(ge=0, le=MIXED)]
    lo: _Bound | None
    hi: _Bound | None
    values: _Count
    nulls: _Count
    sketch: Annotated[bytes, msgspec.Meta(max_length=MAX_BITS // 8)]


class _EncodedSummary(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    format: int
    version: _Count
    rows: _Count
    hashes: Annotated[int, msgspec.Meta(ge=HASHES, le=HASHES)]
    columns: Annotated[list[_EncodedColumn], msgspec.Meta(max_length=MAX_COLUMNS)]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_EncodedSummary)


def stable_hash(text: str) -> int:
    """Return a signed 128-bit hash that is the same in every process, unlike that of Python."""
    digest = hashlib.blake2b(text.encode(), digest_size=16).digest()
    return int.from_bytes(digest, "little", signed=True)


class ColumnSummary:
    """Summary of one column, an implementation of `implication.ColumnView`."""

    __slots__ = ("hi", "kind", "lo", "nulls", "sketch", "has_values", "values")
    lo_open = hi_open = strict = False

    def __init__(self, bits: int):
        self.kind, self.lo, self.hi = NULL, None, None
        self.values = self.nulls = 0
        self.has_values = False
        self.sketch = _load_sketch(bytes(bits // 8)) if bits else None

    def has(self, value: Value) -> bool:
        """Return whether some row may have this value, by the sketch.

        Errs to yes, and is always True without a sketch.
        """
        return self.sketch is None or canonical(value) in self.sketch

    def widen(self, raw: Any) -> None:
        """Add one raw value, None for null.

        A value that can't be typed, or of a second kind, makes the column MIXED: only its counts are kept from then on.
        """
        if raw is None:
            self.nulls += 1
            return
        try:
            value = typed(raw)
        except ValueError:
            self._set_mixed()  # how an engine compares such a value is not known
            self.values += 1
            return
        kind = KINDS[type(value)]
        if self.kind not in (NULL, kind):
            self._set_mixed()
        if self.kind != MIXED:
            lo, hi = _lower_bound(value), _upper_bound(value)
            first, self.kind = self.kind == NULL, kind
            self.lo = lo if first or lo < self.lo else self.lo
            if first or self.hi is not None:
                self.hi = hi if first or hi is None or hi > self.hi else self.hi
            if self.sketch is not None:
                self.sketch.add(canonical(value))
        self.values, self.has_values = self.values + 1, True

    def merge(self, other: ColumnSummary) -> None:
        """Add the summary of this column in another set.

        Different kinds make it MIXED; sketches of different sizes, or one missing, drop the sketch.
        """
        self.nulls += other.nulls
        if not other.values:
            return
        if not self.values:
            self.kind, self.lo, self.hi = other.kind, other.lo, other.hi
        elif self.kind != other.kind or self.kind == MIXED:
            self._set_mixed()
        else:
            self.lo = min(self.lo, other.lo)
            self.hi = None if self.hi is None or other.hi is None else max(self.hi, other.hi)
        if self.sketch is not None:
            if other.sketch is None or other.sketch.size_in_bits != self.sketch.size_in_bits:
                self.sketch = None  # sketches of different sizes can't be combined
            else:
                self.sketch.update(other.sketch)
        self.values, self.has_values = self.values + other.values, True

    def _set_mixed(self) -> None:
        self.kind, self.lo, self.hi, self.sketch, self.has_values = MIXED, None, None, None, True


class Summary:
    """Summary of a set of rows in the named columns; other columns are unknown.

    `version` increases with each widening, which orders two summaries of one set.
    """

    def __init__(self, columns: Iterable[str], bits: int = 4_096):
        """Make the summary of no rows; SummaryError beyond the bounds.

        `bits`: the size of each sketch, a multiple of 8; 0: no sketches.
        """
        names = [fold_column(name) for name in columns]
        if len(names) > MAX_COLUMNS or len(set(names)) != len(names):
            raise SummaryError(f"a summary has up to {MAX_COLUMNS} columns, each once")
        if bits % 8 or not 0 <= bits <= MAX_BITS:
            raise SummaryError(f"a sketch has 0 to {MAX_BITS} bits, a multiple of 8")
        self.rows = self.version = 0
        self.columns = {name: ColumnSummary(bits) for name in names}

    def view(self, name: str) -> ColumnSummary | None:
        """Return what is known about the column of this folded name; None if the summary does not have it."""
        return self.columns.get(name)

    def widen(self, row: Mapping[str, Any]) -> None:
        """Add a row with folded names (see `typed_row`).

        A missing column is null; a value that can't be typed makes its column MIXED.
        """
        for name, summary in self.columns.items():
            summary.widen(row.get(name))
        self.rows += 1
        self.version = min(_MAX_COUNT, self.version + 1)

    def merge(self, other: Summary) -> None:
        """Add another summary. Columns that only one of the two has become unknown.

        SummaryError, without a change, if the count of rows would exceed its bound.
        """
        if self.rows + other.rows > _MAX_COUNT:
            raise SummaryError(f"more than {_MAX_COUNT} rows")
        for name in [name for name in self.columns if name not in other.columns]:
            del self.columns[name]
        for name, column in self.columns.items():
            column.merge(other.columns[name])
        self.rows += other.rows
        self.version = min(_MAX_COUNT, max(self.version, other.version) + 1)

    def encode(self) -> bytes:
        """Encode the summary in at most MAX_BYTES."""
        return _encoder.encode(
            _EncodedSummary(
                FORMAT,
                self.version,
                self.rows,
                HASHES,
                [
                    _EncodedColumn(
                        name,
                        column.kind,
                        _encode_bound(column.lo),
                        _encode_bound(column.hi),
                        column.values,
                        column.nulls,
                        b"" if column.sketch is None else column.sketch.save_bytes()[8:],
                    )
                    for name, column in self.columns.items()
                ],
            )
        )

    @classmethod
    def decode(cls, data: bytes) -> Summary:
        """Decode a summary; SummaryError for data that is recognisably not from `encode`."""
        if len(data) > MAX_BYTES:
            raise SummaryError(f"a summary of more than {MAX_BYTES} bytes")
        try:
            encoded = _decoder.decode(data)
            if encoded.format != FORMAT:
                raise SummaryError(f"a summary of format {encoded.format}, not {FORMAT}")
            summary = cls([column.name for column in encoded.columns], 0)
            for column in encoded.columns:
                if fold_column(column.name) != column.name:
                    raise SummaryError("a column's name is not folded")
                _fill_column(summary.columns[column.name], column, encoded.rows)
        except SummaryError:
            raise
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise SummaryError(f"not a summary: {error}") from None
        summary.rows, summary.version = encoded.rows, encoded.version
        return summary


def _fill_column(column: ColumnSummary, encoded: _EncodedColumn, rows: int) -> None:
    column.kind, column.values, column.nulls, column.has_values = (
        encoded.kind,
        encoded.values,
        encoded.nulls,
        encoded.values > 0,
    )
    known = encoded.kind in (NUMBER, TEXT, TIME)
    if (
        encoded.values + encoded.nulls != rows
        or known != (encoded.lo is not None)
        or (encoded.kind == NULL) != (not encoded.values)
    ):
        raise SummaryError(f"column {encoded.name}: counts, kind and bounds don't fit together")
    if not known and encoded.hi is not None or encoded.hi is None and encoded.kind in (NUMBER, TIME):
        raise SummaryError(f"column {encoded.name}: counts, kind and bounds don't fit together")
    if known:
        column.lo, column.hi = (
            None if text is None else _decode_bound(encoded.kind, text) for text in (encoded.lo, encoded.hi)
        )
        if column.hi is not None and column.lo > column.hi:
            raise SummaryError(f"column {encoded.name}: least above greatest")
    if encoded.kind == MIXED and encoded.sketch:
        raise SummaryError(f"column {encoded.name}: a sketch of mixed values")
    if encoded.sketch:
        column.sketch = _load_sketch(encoded.sketch)


def _load_sketch(bits: bytes) -> Bloom:
    # The library does not check the number of hashes and the length, so neither is taken from received data.
    return Bloom.load_bytes(HASHES.to_bytes(8, "little") + bits, stable_hash)


def _lower_bound(value: Value) -> Value:
    return value[:MAX_BOUND] if type(value) is str else value


def _upper_bound(value: Value) -> Value:
    if type(value) is not str or len(value) <= MAX_BOUND:
        return value
    return successor(value[:MAX_BOUND])


def _encode_bound(value: Value) -> str | None:
    return None if value is None else canonical(value)


def _decode_bound(kind: int, text: str) -> Value:
    if kind == TEXT:
        if len(text) > MAX_BOUND:
            raise SummaryError(f"a bound of more than {MAX_BOUND} characters")
        return typed(text)
    if kind == NUMBER:
        return parse_number(text)
    if not re.fullmatch(r"[0-9T:.+-]+", text):
        raise SummaryError("a bound that is no time")
    return parse_time(text)
