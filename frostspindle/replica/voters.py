"""Voters by name and address, and their changes by journal entries. No I/O."""

from __future__ import annotations

from pysyncobj.node import Node

from frostspindle.replica import wire
from frostspindle.replica.journal import RaftJournal


class VoterNode(Node):
    """A voter, given as `name=address` or only its name; nodes are compared by name."""

    def __init__(self, text: str) -> None:
        name, _, address = text.partition("=")
        super().__init__(name, address=address)

    @property
    def text(self) -> str:
        """The node as `name=address`, or only its name if it has no address."""
        return f"{self.id}={self.address}" if self.address else str(self.id)


def apply_voter_changes(voters: list[VoterNode], journal: RaftJournal) -> list[VoterNode]:
    """Return the voters after all journal entries, committed or not, as Raft requires."""
    by_name = {node.id: node for node in voters}
    for command, _, _ in journal.entries_between(journal.applied, journal.last[1]):
        change = wire.decode_voter_change(command)
        if change is None:
            continue
        node = VoterNode(change.voter)
        if change.kind == "add":
            by_name.setdefault(node.id, node)
        else:
            by_name.pop(node.id, None)
    return list(by_name.values())
