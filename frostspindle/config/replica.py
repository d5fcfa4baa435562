"""The section `[replica]` of the operator's file: this coordinator's membership in the replicated log's group."""

from __future__ import annotations

import importlib.util
from typing import Annotated

from msgspec import Meta, Struct

from frostspindle.config.addresses import address, check_absolute_path
from frostspindle.config.cores import check_single_worker
from frostspindle.config.errors import ConfigError

MAX_NAME_LENGTH = 64
MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 4_096
MIN_ELECTION_HEARTBEATS = 3


class ReplicaSection(Struct, forbid_unknown_fields=True):
    """Membership in the replicated log's group; see docs/replica.md. Voters and times must be the same on all members,
    except for the addresses under which each member reaches the others."""

    voters: Annotated[list[Annotated[str, Meta(max_length=128)]], Meta(min_length=1, max_length=7)]  # name=IP:PORT
    folder: str  # of the journal
    secret: str  # path of the file with the secret that all members share
    me: str = ""  # this member's name; default: fleet.name or the configuration's. A member that is no voter follows
    listen: str = ""  # IP:PORT, if not the one in `voters`
    first_start: bool = False  # the operator confirms that the folder is empty because this is the first start
    heartbeat_ms: Annotated[float, Meta(ge=20, le=10_000)] = 100.0
    election_ms: Annotated[float, Meta(ge=100, le=60_000)] = 500.0  # leader timeout; randomized up to twice this
    most_open: Annotated[int, Meta(ge=1, le=4_096)] = 256  # pending proposals of this coordinator


def check_replica(replica: ReplicaSection, name: str, workers: int) -> None:
    """Set this member's name if the section has none. Raise ConfigError, which names the key, for an invalid value.

    `name` is this coordinator's name in the fleet, or the configuration's.
    """
    if importlib.util.find_spec("pysyncobj") is None:
        raise ConfigError("replica: needs the extra: pip install 'frostspindle[replica]'")
    check_single_worker("replica", workers)
    replica.me = replica.me or name
    _check_voters(replica.voters)
    if not _is_plain_name(replica.me):
        raise ConfigError(f"replica.me: not a name of 1 to 64 letters, digits, . _ -: {replica.me!r}")
    if replica.listen:
        address(replica.listen, "replica.listen")
    if replica.election_ms <= MIN_ELECTION_HEARTBEATS * replica.heartbeat_ms:
        raise ConfigError("replica.election_ms: must be more than three times heartbeat_ms")
    check_absolute_path(replica.folder, "replica.folder")
    check_absolute_path(replica.secret, "replica.secret")
    _check_secret(replica.secret)


def _check_voters(voters: list[str]) -> None:
    names: list[str] = []
    for number, text in enumerate(voters):
        name, equals, address_text = text.partition("=")
        key = f"replica.voters[{number}]"
        if not equals or not _is_plain_name(name):
            raise ConfigError(f"{key}: not NAME=IP:PORT, the name of 1 to 64 letters, digits, . _ -: {text!r}")
        _, port = address(address_text, key)
        if port == 0:
            raise ConfigError(f"{key}: no port: {text!r}")
        if name in names:
            raise ConfigError(f"{key}: {name!r} is defined twice")
        names.append(name)
    if len(names) % 2 == 0:
        raise ConfigError(f"replica.voters: {len(names)} voters; one fewer, an odd number, tolerates as many failures")


def _check_secret(path: str) -> None:
    try:
        with open(path, "rb") as file:
            length = len(file.read(MAX_SECRET_BYTES + 1).strip())
    except OSError as error:
        raise ConfigError(f"replica.secret: {path}: {error.strerror}") from None
    if not MIN_SECRET_BYTES <= length <= MAX_SECRET_BYTES:
        raise ConfigError("replica.secret: must hold 16 to 4096 bytes")


def _is_plain_name(text: str) -> bool:
    if not 0 < len(text) <= MAX_NAME_LENGTH or not text.isascii():
        return False
    return text.replace("-", "").replace("_", "").replace(".", "").isalnum()
