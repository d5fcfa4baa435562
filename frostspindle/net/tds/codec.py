"""A codec for TDS 7.4 (MS-TDS): packets, PRELOGIN, LOGIN7, SQL batches and the tokens of a result.

Lengths are checked before use, and input that violates the layout or exceeds a limit raises ProtocolError. Results are
parsed to check that they are complete; their rows are passed on unchanged. No I/O.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field

BATCH, RPC, RESULT, ATTENTION, BULK, MANAGER, LOGIN7, SSPI, PRELOGIN = 1, 3, 4, 6, 7, 14, 16, 17, 18
EOM, IGNORE, RESET_CONNECTION = 0x01, 0x02, 0x08
HEADER = struct.Struct(">BBHHBB")
DEFAULT_PACKET_BYTES, MIN_PACKET_BYTES, MAX_PACKET_BYTES = 4096, 512, 32767
MAX_SHORT_PACKETS = 64  # of a message, whatever its length; only the last should be short
MIN_MEAN_PACKET_BYTES = 128  # of the longest message
VERSION = 0x74000004

# Tokens.
COLMETADATA, ERROR, INFO, LOGINACK, ROW, NBCROW, ENVCHANGE = 0x81, 0xAA, 0xAB, 0xAD, 0xD1, 0xD2, 0xE3
ORDER, RETURNSTATUS, FEATUREEXTACK, DONE, DONEPROC, DONEINPROC = 0xA9, 0x79, 0xAE, 0xFD, 0xFE, 0xFF
TABNAME, COLINFO, SESSIONSTATE = 0xA4, 0xA5, 0xE4
# Status bits of DONE.
DONE_MORE, DONE_ERROR, DONE_COUNT, DONE_ATTN = 0x01, 0x02, 0x10, 0x20
ENCRYPT_NOT_SUP, ENCRYPT_OFF = 2, 0
O_VERSION, O_ENCRYPTION, O_INSTANCE, O_THREAD, O_MARS, O_END = 0, 1, 2, 3, 4, 0xFF

_FIXED = {0x1F: 0, 0x30: 1, 0x32: 1, 0x34: 2, 0x38: 4, 0x3A: 4, 0x3B: 4, 0x3C: 8, 0x3D: 8, 0x3E: 8, 0x7A: 4, 0x7F: 8}
_BYTE_LEN = {
    0x24: 1,
    0x26: 1,
    0x68: 1,
    0x6D: 1,
    0x6E: 1,
    0x6F: 1,
    0x6A: 3,
    0x6C: 3,
    0x28: 0,
    0x29: 1,
    0x2A: 1,
    0x2B: 1,
}  # bytes of type information; values have one-byte lengths
_SHORT_LEN = {0xA5: 0, 0xAD: 0, 0xA7: 5, 0xAF: 5, 0xE7: 5, 0xEF: 5}  # bytes of collation
_LONG_LEN = {0x23: 5, 0x63: 5, 0x22: 0}
_VARIANT, _XML, NVARCHAR = 0x62, 0xF1, 0xE7
_COLLATION = bytes((0x09, 0x04, 0xD0, 0x00, 0x34))  # US English, Windows collation


class ProtocolError(Exception):
    """The peer's bytes violate MS-TDS or exceed a limit."""


class MessageTooLongError(ProtocolError):
    """A message exceeds its maximum length."""


@dataclass(slots=True)
class Message:
    """One complete message: packet type, status bits of the last packet, and body without packet headers."""

    kind: int
    status: int
    body: bytes


class PacketReassembler:
    """Reassembles messages from packets, independent of the boundaries of reads."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes  # of one message
        self.max_packets = MAX_SHORT_PACKETS + max_bytes // MIN_MEAN_PACKET_BYTES  # of one message
        self._packets = 0  # of the partial message
        self._data, self._body = bytearray(), bytearray()
        self._kind = -1

    @property
    def is_partial(self) -> bool:
        """Whether a message is partly received, even if its packets so far are empty."""
        return bool(self._data or self._body) or self._kind != -1

    @property
    def held_bytes(self) -> int:
        """Bytes of the message that is partly received."""
        return len(self._data) + len(self._body)

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add bytes from the stream and yield the messages that are now complete.

        A generator: it must be iterated for the bytes to be added. Raise ProtocolError for a packet with an invalid
        length or type, or a type other than its message's, and MessageTooLongError for a message over `max_bytes`.
        """
        self._data += data
        while len(self._data) >= HEADER.size:
            kind, status, length, _, _, _ = HEADER.unpack_from(self._data)
            if length < HEADER.size or length > MAX_PACKET_BYTES:
                raise ProtocolError(f"a packet of {length} bytes")
            if kind not in (BATCH, RPC, RESULT, ATTENTION, BULK, MANAGER, LOGIN7, SSPI, PRELOGIN):
                raise ProtocolError(f"a packet of unknown type {kind}")
            if self._kind not in (-1, kind):
                raise ProtocolError(f"a packet of type {kind} inside a message of type {self._kind}")
            if len(self._body) + length - HEADER.size > self.max_bytes:
                raise MessageTooLongError(f"a message of more than {self.max_bytes} bytes")
            if len(self._data) < length:
                return
            self._packets += 1
            if self._packets > self.max_packets:
                raise ProtocolError(f"a message of more than {self.max_packets} packets")
            self._kind = kind
            self._body += self._data[HEADER.size : length]
            del self._data[:length]
            if status & EOM:
                message = Message(kind, status, bytes(self._body))
                self._body.clear()
                self._kind = -1
                self._packets = 0
                yield message


def packets(kind: int, body: bytes, size: int = DEFAULT_PACKET_BYTES, status: int = 0) -> bytes:
    """Return a message as packets of at most `size` bytes; the first has the `status` bits."""
    chunk_bytes, out = size - HEADER.size, bytearray()
    chunks = [body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)] or [b""]
    for number, chunk in enumerate(chunks):
        bits = (status if number == 0 else 0) | (EOM if number == len(chunks) - 1 else 0)
        out += HEADER.pack(kind, bits, HEADER.size + len(chunk), 0, (number + 1) & 0xFF, 0) + chunk
    return bytes(out)


# PRELOGIN and LOGIN7.


def read_prelogin(body: bytes) -> dict[int, bytes]:
    """Return the options of a PRELOGIN by token; raise ProtocolError if truncated or without terminator."""
    options: dict[int, bytes] = {}
    position = 0
    while True:
        if position >= len(body):
            raise ProtocolError("a PRELOGIN without an end")
        option = body[position]
        if option == O_END:
            return options
        if position + 5 > len(body):
            raise ProtocolError("a PRELOGIN option is cut")
        offset, length = struct.unpack_from(">HH", body, position + 1)
        if offset + length > len(body):
            raise ProtocolError("a PRELOGIN option runs past its message")
        options[option] = body[offset : offset + length]
        position += 5


def prelogin(options: dict[int, bytes]) -> bytes:
    """Return the body of a PRELOGIN with the options in their order."""
    head, data = bytearray(), bytearray()
    start = 5 * len(options) + 1
    for option, value in options.items():
        head += struct.pack(">BHH", option, start + len(data), len(value))
        data += value
    return bytes(head) + bytes((O_END,)) + bytes(data)


@dataclass(slots=True, frozen=True)
class Login:
    """Fields of a LOGIN7: names, the client's packet size in bytes (clamped), and its TDS version."""

    user: str = ""
    application: str = ""
    database: str = ""
    packet: int = DEFAULT_PACKET_BYTES
    version: int = VERSION


def read_login(body: bytes) -> Login:
    """Parse a LOGIN7 and clamp its packet size to the limits (0 means the default).

    Raise ProtocolError if it is truncated, a name exceeds 128 characters or is not UTF-16, or the version is below 7.2.
    """
    if len(body) < 94 or struct.unpack_from("<I", body)[0] > len(body):
        raise ProtocolError("a LOGIN7 is cut")
    version, packet = struct.unpack_from("<II", body, 4)

    def text(position: int) -> str:
        offset, count = struct.unpack_from("<HH", body, position)
        if count > 128 or offset + 2 * count > len(body):
            raise ProtocolError("a LOGIN7 field runs past its message")
        return _decode_utf16(body[offset : offset + 2 * count])

    if version >> 24 < 0x72:
        raise ProtocolError(f"TDS version {version:08x} is older than 7.2")
    return Login(
        text(40),
        text(48),
        text(68),
        max(MIN_PACKET_BYTES, min(MAX_PACKET_BYTES, packet or DEFAULT_PACKET_BYTES)),
        version,
    )


def login(user: str, password: str, application: str, database: str, packet: int = DEFAULT_PACKET_BYTES) -> bytes:
    """Return the body of a LOGIN7; the password is obfuscated as MS-TDS requires, not encrypted."""
    secret = bytes((((byte << 4) | (byte >> 4)) & 0xFF) ^ 0xA5 for byte in password.encode("utf-16-le"))
    fields = [
        b"",
        user.encode("utf-16-le"),
        secret,
        application.encode("utf-16-le"),
        b"",
        b"",
        "frostspindle".encode("utf-16-le"),
        b"",
        database.encode("utf-16-le"),
    ]
    offsets, data = bytearray(), bytearray()
    for value in fields:
        offsets += struct.pack("<HH", 94 + len(data), len(value) // 2)
        data += value
    end = struct.pack("<HH", 94 + len(data), 0)
    fixed = struct.pack("<IIIIIBBBBiI", VERSION, packet, 1, 0, 0, 0xE0, 0x03, 0, 0, 0, 0x0409)
    body = fixed + bytes(offsets) + bytes(6) + end * 3 + bytes(4) + bytes(data)
    return struct.pack("<I", 4 + len(body)) + body


def _decode_utf16(data: bytes) -> str:
    try:
        return data.decode("utf-16-le")
    except UnicodeDecodeError:
        raise ProtocolError("text that is not UTF-16") from None


# Batches.


def read_batch(body: bytes) -> str:
    """Return the statement of a SQL batch without its ALL_HEADERS; raise ProtocolError if invalid."""
    if len(body) < 4:
        raise ProtocolError("a batch without its headers")
    skip = struct.unpack_from("<I", body)[0]
    if not 4 <= skip <= len(body) or (len(body) - skip) % 2:
        raise ProtocolError("a batch's headers run past it")
    return _decode_utf16(body[skip:])


def batch(statement: str) -> bytes:
    """Return the body of a SQL batch outside any transaction."""
    return struct.pack("<IIHQI", 22, 18, 2, 0, 1) + statement.encode("utf-16-le")


# Encoding of tokens.


def _b_varchar(text: str) -> bytes:
    return bytes((len(text),)) + text.encode("utf-16-le")


def error(number: int, text: str, severity: int = 16, server: str = "frostspindle") -> bytes:
    """Return an ERROR token with at most 2000 characters of `text`."""
    text = text[:2000]
    body = (
        struct.pack("<iBBH", number, 1, severity, len(text))
        + text.encode("utf-16-le")
        + _b_varchar(server)
        + _b_varchar("")
        + struct.pack("<I", 1)
    )
    return struct.pack("<BH", ERROR, len(body)) + body


def done(status: int = 0, rows: int = 0) -> bytes:
    """Return a DONE token; clients use `rows` only if `status` includes DONE_COUNT."""
    return struct.pack("<BHHQ", DONE, status, 0, rows)


def login_ack(database: str, packet: int) -> bytes:
    """Return the tokens that accept a login: LOGINACK, ENVCHANGE for database and packet size, and a final DONE."""
    name = "frostspindle"
    ack = b"\x01" + struct.pack(">I", VERSION) + _b_varchar(name) + bytes((1, 0, 0, 0))
    tokens = struct.pack("<BH", LOGINACK, len(ack)) + ack
    for kind, new, old in ((1, database, ""), (4, str(packet), str(DEFAULT_PACKET_BYTES))):
        change = bytes((kind,)) + _b_varchar(new) + _b_varchar(old)
        tokens += struct.pack("<BH", ENVCHANGE, len(change)) + change
    return tokens + done()


def text_result(columns: tuple[str, ...], rows: list[tuple[str, ...]]) -> bytes:
    """Return a result of text columns; for test engines and examples."""
    tokens = bytearray(struct.pack("<BH", COLMETADATA, len(columns)))
    for column in columns:
        tokens += struct.pack("<IHBH", 0, 9, NVARCHAR, 8000) + _COLLATION + _b_varchar(column)
    for row in rows:
        tokens.append(ROW)
        for value in row:
            data = value.encode("utf-16-le")
            tokens += struct.pack("<H", len(data)) + data
    return bytes(tokens) + done(DONE_COUNT, len(rows))


# Parsing of results.


@dataclass(slots=True)
class ErrorToken:
    """An ERROR token."""

    number: int
    severity: int
    text: str


@dataclass(slots=True)
class Result:
    """A complete response. `tokens` excludes those that concern only the engine's session."""

    tokens: bytes = b""
    errors: list[ErrorToken] = field(default_factory=list)
    status: int = 0  # of the last DONE
    rows: int = 0
    accepted: bool = False  # it contains a LOGINACK


class _Reader:
    """Reads bytes in order; raises ProtocolError past the end."""

    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0

    def skip(self, count: int) -> int:
        start = self.position
        if count < 0 or start + count > len(self.data):
            raise ProtocolError("token exceeds its message")
        self.position += count
        return start

    def number(self, form: str) -> int:
        size = struct.calcsize("<" + form)
        return int(struct.unpack_from("<" + form, self.data, self.skip(size))[0])

    def chunk(self, count: int) -> bytes:
        start = self.skip(count)
        return self.data[start : start + count]


def _read_column(reader: _Reader) -> tuple[str, int]:
    """Read a column's type information; return the length encoding of its values and a size."""
    reader.skip(6)
    kind = reader.number("B")
    if kind in _FIXED:
        encoding = ("fixed", _FIXED[kind])
    elif kind in _BYTE_LEN:
        reader.skip(_BYTE_LEN[kind])
        encoding = ("byte", 0)
    elif kind in _SHORT_LEN:
        max_bytes = reader.number("H")
        reader.skip(_SHORT_LEN[kind])
        encoding = ("plp", 0) if max_bytes == 0xFFFF else ("short", 0)
    elif kind in _LONG_LEN:
        reader.skip(4 + _LONG_LEN[kind])
        for _ in range(reader.number("B")):
            reader.skip(2 * reader.number("H"))
        encoding = ("text", 0)
    elif kind == _VARIANT:
        reader.skip(4)
        encoding = ("long", 0)
    elif kind == _XML:
        if reader.number("B"):
            reader.skip(2 * reader.number("B"))
            reader.skip(2 * reader.number("B"))
            reader.skip(2 * reader.number("H"))
        encoding = ("plp", 0)
    else:
        raise ProtocolError(f"unknown column type {kind:#04x}")
    reader.skip(2 * reader.number("B"))
    return encoding


def _skip_value(reader: _Reader, encoding: tuple[str, int]) -> None:
    form, size = encoding
    if form == "fixed":
        reader.skip(size)
    elif form == "byte":
        reader.skip(reader.number("B"))
    elif form == "short":
        size = reader.number("H")
        reader.skip(0 if size == 0xFFFF else size)
    elif form == "long":
        reader.skip(reader.number("I"))
    elif form == "text":
        if pointer := reader.number("B"):
            reader.skip(pointer + 8)
            reader.skip(reader.number("I"))
    elif reader.number("Q") != 0xFFFFFFFFFFFFFFFF:
        while size := reader.number("I"):
            reader.skip(size)


def read_result(data: bytes) -> Result:
    """Parse a complete response; raise ProtocolError if truncated, with unknown tokens or without a final DONE."""
    reader, result, kept_tokens = _Reader(data), Result(), bytearray()
    columns: list[tuple[str, int]] = []
    last = False
    while reader.position < len(data):
        start, token = reader.position, reader.number("B")
        last = False
        keep = True
        if token == COLMETADATA:
            count = reader.number("H")
            columns = [] if count == 0xFFFF else [_read_column(reader) for _ in range(count)]
        elif token == ROW:
            if not columns:
                raise ProtocolError("row without column metadata")
            for encoding in columns:
                _skip_value(reader, encoding)
            result.rows += 1
        elif token == NBCROW:
            if not columns:
                raise ProtocolError("row without column metadata")
            nulls = reader.chunk((len(columns) + 7) // 8)
            for number, encoding in enumerate(columns):
                if not nulls[number // 8] >> (number % 8) & 1:
                    _skip_value(reader, encoding)
            result.rows += 1
        elif token in (DONE, DONEPROC, DONEINPROC):
            result.status = reader.number("H")
            reader.skip(10)
            last = not result.status & DONE_MORE and token != DONEINPROC
        elif token == ERROR:
            result.errors.append(_read_error(reader.chunk(reader.number("H"))))
        elif token in (INFO, ORDER, TABNAME, COLINFO):
            reader.skip(reader.number("H"))
        elif token == RETURNSTATUS:
            reader.skip(4)
        elif token in (LOGINACK, ENVCHANGE):
            reader.skip(reader.number("H"))
            result.accepted |= token == LOGINACK
            keep = False
        elif token == SESSIONSTATE:
            reader.skip(reader.number("I"))
            keep = False
        elif token == FEATUREEXTACK:
            while reader.number("B") != 0xFF:
                reader.skip(reader.number("I"))
            keep = False
        else:
            raise ProtocolError(f"unknown token type {token:#04x}")
        if keep:
            kept_tokens += data[start : reader.position]
    if not last:
        raise ProtocolError("response without a final DONE")
    result.tokens = bytes(kept_tokens)
    return result


def _read_error(body: bytes) -> ErrorToken:
    reader = _Reader(body)
    number = reader.number("i")
    reader.skip(1)
    severity = reader.number("B")
    return ErrorToken(number, severity, _decode_utf16(reader.chunk(2 * reader.number("H"))))
