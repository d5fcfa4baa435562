"""The queue of drafts: collects their pieces from the log until the publisher turns them into versions. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from frostspindle.settings.log_commands import DraftPiece
from frostspindle.settings.schema import SettingsError
from frostspindle.settings.version_encoding import VersionAssembly
from frostspindle.store.base import SUM

MAX_DRAFTS = 16
MAX_DRAFT_BYTES = 600 << 10  # of all drafts together, compressed
MAX_AUTHOR_LENGTH = 64
MAX_KEY_LENGTH = 110


class CommandRefusedError(SettingsError):
    """A refused command of the log, without effect: `counter` is incremented, `reason` is returned to the proposer."""

    def __init__(self, counter: str, reason: str = "") -> None:
        super().__init__(reason or counter)
        self.counter: str = counter
        self.reason: str = reason or counter


@dataclass(slots=True)
class WaitingDraft:
    """A draft in the queue, whose pieces may not all have arrived."""

    first_piece: DraftPiece
    assembly: VersionAssembly
    index: int  # log index of the first piece


Drafts = dict[str, WaitingDraft]  # by key, in order of their first pieces


def first_complete(drafts: Drafts) -> WaitingDraft | None:
    """Return the oldest complete draft, None if there is none."""
    return next((draft for draft in drafts.values() if draft.assembly.is_complete), None)


def add_piece(drafts: Drafts, index: int, piece: DraftPiece) -> None:
    """Add a piece to its draft, or start a draft with it. Raise CommandRefusedError if the piece is not accepted."""
    if len(piece.author) > MAX_AUTHOR_LENGTH or len(piece.key) > MAX_KEY_LENGTH or len(piece.digest) != SUM:
        raise CommandRefusedError("bounds")
    draft = drafts.get(piece.key)
    if draft is None:
        draft = _start_draft(drafts, index, piece)
    else:
        _check_same_draft(draft.first_piece, piece)
        if total_bytes(drafts) + len(piece.data) > MAX_DRAFT_BYTES:
            raise CommandRefusedError("full", "full: drafts wait")
    fault = draft.assembly.add(piece.piece_index, piece.piece_count, piece.data)
    if fault:
        raise CommandRefusedError(fault.partition(" ")[0], fault)
    drafts[piece.key] = draft


def _start_draft(drafts: Drafts, index: int, piece: DraftPiece) -> WaitingDraft:
    if piece.piece_index:
        raise CommandRefusedError("gap", "gap 0")
    _remove_abandoned(drafts, piece)
    if len(drafts) >= MAX_DRAFTS or total_bytes(drafts) + len(piece.data) > MAX_DRAFT_BYTES:
        raise CommandRefusedError("full", f"full: {len(drafts)} drafts wait")
    return WaitingDraft(piece, VersionAssembly(piece.piece_count), index)


def _remove_abandoned(drafts: Drafts, piece: DraftPiece) -> None:
    """Remove the incomplete drafts of an author that starts a new one, as it has abandoned them.

    A late piece from an earlier process of the author doesn't remove the drafts of a later process.
    """
    incomplete = [
        key
        for key, draft in drafts.items()
        if draft.first_piece.author == piece.author and not draft.assembly.is_complete
    ]
    if any(drafts[key].first_piece.process <= piece.process for key in incomplete):
        for key in incomplete:
            del drafts[key]


def _check_same_draft(first_piece: DraftPiece, piece: DraftPiece) -> None:
    first = (first_piece.base_version, first_piece.digest, first_piece.target_version)
    if (piece.base_version, piece.digest, piece.target_version) != first:
        raise CommandRefusedError("other", "another draft of that number")


def total_bytes(drafts: Drafts) -> int:
    """Return the total size of the pieces of all drafts."""
    return sum(draft.assembly.size for draft in drafts.values())
