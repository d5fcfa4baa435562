"""What a node knows of its own store: how it was opened, whether it is the latest one, and how far it is written."""

from __future__ import annotations

from frostspindle.recovery.inputs import HeartbeatRecord, OpenedStore
from frostspindle.recovery.wire import StoreState


class OwnStore:
    """The state of one node's store. No I/O."""

    def __init__(self) -> None:
        self.opened: OpenedStore = OpenedStore("not opened", usable=False, trusted=False)
        self.lost: bool = True  # the absence of a ban or ticket in it says nothing
        self.outdated: bool = False  # others know a later state of it
        self.first_start: bool = False  # by the operator's assurance there was no store, and so no loss
        self.generation: int = 0
        self.heartbeat: HeartbeatRecord | None = None  # of the previous process
        self._seeds_without_record: set[str] = set()  # seeds that, with stores of their own, know of no state of it

    def on_opened(self, opened: OpenedStore, first_start_assured: bool) -> bool:
        """Take the outcome of the opening; return whether the store's entries are trusted."""
        self.opened = opened
        self.first_start = opened.fresh and first_start_assured
        trusted = opened.usable and (opened.trusted or self.first_start)
        self.lost = not trusted
        self.generation = opened.state.generation if opened.state else 0
        return trusted

    def state(self) -> StoreState | None:
        """Return the state with all batches that are durable; None without a store."""
        opened = self.opened.state
        if opened is None:
            return None
        return StoreState(opened.id, opened.incarnation, self.generation)

    def is_older_than(self, known: StoreState, count_written: bool) -> bool:
        """Tell whether another knows a later state than ours.

        `count_written`: what was written since the opening counts as ours.
        """
        opened = self.opened.state
        if opened is None:
            return False
        written = self.generation if count_written else 0
        return known.version > (opened.incarnation, max(opened.generation, written))

    def mark_outdated(self) -> bool:
        """Note that others know a later state, so that this one is not trusted; return whether that is news."""
        changed = not self.outdated
        self.outdated = True
        self.lost = True
        self.first_start = False
        return changed

    def add_seed_without_record(self, seed: str) -> None:
        """Note that a seed whose own store is whole knows of no state of ours."""
        self._seeds_without_record.add(seed)

    def confirm_never_existed(self, other_seeds: int) -> bool:
        """Tell whether a lost store proves to be the first: a majority of the others would know of an earlier one."""
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
        """Whether the previous process ended in good order, or there was none."""
        if self.first_start:
            return True
        return not self.lost and self.heartbeat is not None and self.heartbeat.clean_shutdown
