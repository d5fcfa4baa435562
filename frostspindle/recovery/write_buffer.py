"""Buffer of state changes that are not yet in the store, and the batch that is being written."""

from __future__ import annotations

from frostspindle.recovery import state_kinds

MAX_BATCH = 1_000


class WriteBuffer:
    """Collects changes by key; a later change of a key replaces the earlier one. No I/O."""

    def __init__(self) -> None:
        self.pending: dict[bytes, bytes | None] = {}  # None: the entry is deleted
        self._writing: dict[bytes, bytes | None] | None = None

    @property
    def writing(self) -> bool:
        """Whether a batch is being written."""
        return self._writing is not None

    def put(self, kind: str, name: str, value: bytes) -> None:
        """Write an entry of a kind of state; KeyError if the kind is not persisted."""
        self.pending[state_kinds.prefix(kind) + name.encode()] = value

    def delete(self, kind: str, name: str) -> None:
        """Delete an entry of a kind of state; KeyError if the kind is not persisted."""
        self.pending[state_kinds.prefix(kind) + name.encode()] = None

    def take_batch(self) -> dict[bytes, bytes | None]:
        """Return the next MAX_BATCH changes; `on_written` must be called with their outcome."""
        self._writing = {key: self.pending.pop(key) for key in list(self.pending)[:MAX_BATCH]}
        return dict(self._writing)

    def on_written(self, ok: bool, full: bool) -> dict[bytes, bytes | None]:
        """Process the outcome of the batch; return the batch.

        `ok`: it is durable. `full`: the disk was full and its changes are retried. Neither: the store is broken.
        """
        batch = self._writing or {}
        self._writing = None
        if not ok and full:
            self.pending = {**batch, **self.pending}
        return batch
