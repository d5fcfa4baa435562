"""Figures of a member of the replicated log for operators."""

from __future__ import annotations

from typing import Any

from frostspindle.replica.member import LogMember


def member_figures(member: LogMember) -> dict[str, Any]:
    """Return a member's part of the reply to `show-replica`; its keys are fixed."""
    return {
        "votes": member.voter,
        "leads": member.is_leader,
        "term": member.term,
        "committed": member.commit_index,
        "journal": len(member.journal),
        "journal_bytes": member.journal.size,
        "open": len(member.proposals.pending),
        "voters": sorted(member.voters),
        "peers": sorted(member.peers),
        **{f"member_{name}": count for name, count in member.counters.items()},
    }
