"""Guard 2 of member.py: removes entries that a follower already has from the leader's message. No I/O.

The library always truncates its log at `prevLogIdx`, so an older message would remove entries that this follower has
acknowledged.
"""

from __future__ import annotations

from typing import Any

from frostspindle.replica.journal import RaftJournal


def remove_known_entries(journal: RaftJournal, message: dict[str, Any]) -> int | None:
    """Remove from an `append_entries` message, in place, the entries that are in the journal.

    Return None if the library is to handle the remaining message. Otherwise the message had only known entries, the
    journal has later ones that must not be truncated, and the index of the message's last entry is returned.
    """
    previous_index: int = message["prevLogIdx"]
    entries = message["entries"]
    if journal.term_at(previous_index) != message["prevLogTerm"]:
        return None  # the library requests earlier entries
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
