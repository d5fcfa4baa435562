"""The state of a node's own store: how it was opened, whether it is outdated or lost, and its generation."""

from __future__ import annotations

from frostspindle.recovery.inputs import HeartbeatRecord, OpenedStore
from frostspindle.recovery.wire import StoreState


class OwnStore:
    """The state of one node's store. No I/O."""

    def __init__(self) -> None:
        self.opened: OpenedStore = OpenedStore("not opened", usable=False, trusted=False)
        self.lost: bool = True  # a ban or ticket that it lacks may still exist
        self.outdated: bool = False  # other coordinators know a later state of it
        self.first_start: bool = False  # there was no store before, as the operator asserts, and so no loss
        self.generation: int = 0
        self.heartbeat: HeartbeatRecord | None = None  # of the previous process
        self._seeds_without_record: set[str] = set()  # seeds with intact stores that know no state of this store

    def on_opened(self, opened: OpenedStore, first_start_assured: bool) -> bool:
        """Process the outcome of the opening; return whether the store's entries are trusted."""
        self.opened = opened
        self.first_start = opened.fresh and first_start_assured
        trusted = opened.usable and (opened.trusted or self.first_start)
        self.lost = not trusted
        self.generation = opened.state.generation if opened.state else 0
        return trusted

    def state(self) -> StoreState | None:
        """Return the state including all durable batches; None without a store."""
        opened = self.opened.state
        if opened is None:
            return None
        return StoreState(opened.id, opened.incarnation, self.generation)

    def is_older_than(self, known: StoreState, count_written: bool) -> bool:
        """Return whether a state that another coordinator knows is later than ours.

        `count_written`: include the batches written since the opening in our state.
        """
        opened = self.opened.state
        if opened is None:
            return False
        written = self.generation if count_written else 0
        return known.version > (opened.incarnation, max(opened.generation, written))

    def mark_outdated(self) -> bool:
        """Mark the store as outdated and so not trusted; return whether it was not marked before."""
        changed = not self.outdated
        self.outdated = True
        self.lost = True
        self.first_start = False
        return changed

    def add_seed_without_record(self, seed: str) -> None:
        """Note that a seed with an intact store knows no state of this store."""
        self._seeds_without_record.add(seed)

    def confirm_never_existed(self, other_seeds: int) -> bool:
        """Clear `lost` if a majority of the other seeds knows no earlier store; return whether it was cleared."""
        if not self.lost or not self.opened.fresh or self.outdated:
            return False
        if not 2 * len(self._seeds_without_record) > other_seeds > 0:
            return False
        self.lost = False
        return True

    @property
    def last_heartbeat_ms(self) -> float | None:
        """When the previous process was last known to run (Unix ms); None: unknown, or the store is not trusted."""
        if self.lost or self.heartbeat is None:
            return None
        return self.heartbeat.at_ms

    @property
    def clean_shutdown(self) -> bool:
        """Whether the previous process shut down cleanly, or there was none."""
        if self.first_start:
            return True
        return not self.lost and self.heartbeat is not None and self.heartbeat.clean_shutdown
