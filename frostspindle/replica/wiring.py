"""The replicated log of the running program, created from the configuration, with its operator call."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from frostspindle.replica.raft import RaftTimeouts
from frostspindle.replica.service import ReplicaService

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext

MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 4_096


def attach(program: ProgramContext) -> ReplicaService:
    """Create the program's log from the configuration, with its operator call `show-replica`.

    Raise OSError, or ValueError for an invalid secret.
    """
    config = program.config.operator.replica
    assert config is not None
    election_s = config.election_ms / 1e3
    timeouts = RaftTimeouts(
        heartbeat=config.heartbeat_ms / 1e3,
        election_min=election_s,
        election_max=2 * config.election_ms / 1e3,
        fallback=2 * config.election_ms / 1e3,
    )
    replica = ReplicaService(
        config.me,
        config.voters,
        Path(config.folder),
        read_secret(config.secret),
        program.telemetry,
        config.listen,
        config.first_start,
        timeouts,
        config.most_open,
    )
    if program.operator_server:
        program.operator_server.handlers["show-replica"] = replica.figures
    return replica


def read_secret(path: str) -> bytes:
    """Read the shared secret from a file, without white space at its ends. Raise OSError, ValueError for its length."""
    with open(path, "rb") as file:
        secret = file.read(MAX_SECRET_BYTES + 1).strip()
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        raise ValueError(f"the secret must have {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes")
    return secret
