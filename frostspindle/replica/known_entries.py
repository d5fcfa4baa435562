"""Guard 2 of member.py: entries that a follower has already are taken out of the leader's message.

The library cuts its log at `prevLogIdx` whatever comes, so an older message would remove entries that this follower has
acknowledged. No I/O.
"""

from __future__ import annotations

from typing import Any

from frostspindle.replica.journal import RaftJournal


def remove_known_entries(journal: RaftJournal, message: dict[str, Any]) -> int | None:
    """Take out of an `append_entries` message, in place, the entries that are in the journal.

    Returns None if the library is to handle what is left, else the index up to which everything in the message was
    known: then there is nothing left to append, and the journal has further entries that must not be cut off.
    """
    previous_index: int = message["prevLogIdx"]
    entries = message["entries"]
    if journal.term_at(previous_index) != message["prevLogTerm"]:
        return None  # the library asks for earlier ones
    message["commit_index"] = min(message["commit_index"], previous_index + len(entries))
    known = 0
    while known < len(entries) and journal.term_at(entries[known][1]) == entries[known][2]:
        known += 1
    if known:
        _, previous_index, previous_term = entries[known - 1]
        message["prevLogIdx"] = previous_index
        message["prevLogTerm"] = previous_term
        message["entries"] = entries[known:]
    if known < len(entries) or previous_index == journal.last[1]:
        return None
    return previous_index
