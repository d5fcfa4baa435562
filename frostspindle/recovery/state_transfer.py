"""Paged requests for other coordinators' reports: to all seeds until a quorum has reported, then to one at a time."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Set
from dataclasses import dataclass, field

from frostspindle.recovery import wire
from frostspindle.recovery.agreement import MemberReport
from frostspindle.recovery.outputs import NodeOutputs

SYNC_MS = 5_000.0  # between requests to a random member after recovery
RECOVERY_SYNC_MS = 1_000.0  # the same during recovery, and between two reports of one seed
RESEND_MS = 200.0
MAX_CONCURRENT = 16  # members that are asked at once
PAGE_WINDOW = 4  # pages that are requested from one member at once


@dataclass(slots=True)
class _Transfer:
    """The state of receiving one member's report."""

    digest: int | None = None  # of the report that is being received; None: not known yet
    page_count: int = 1
    pages: dict[int, wire.ReportPage] = field(default_factory=dict)
    requested_at: float = -1e18
    completed_at: float = -1e18
    report: MemberReport | None = None  # the last complete one

    @property
    def due_at(self) -> float:
        """When the next request to the member is due."""
        return max(self.requested_at + RESEND_MS, self.completed_at + RECOVERY_SYNC_MS)

    def missing_pages(self) -> list[int]:
        """Return the numbers of the pages to request."""
        if self.digest is None:
            return [0]
        return [number for number in range(self.page_count) if number not in self.pages]

    def complete(self, now: float, name: str, last_page: wire.ReportPage) -> MemberReport:
        """Build the report from all pages, and reset the transfer for the next one."""
        engines = {engine.name: engine for page in self.pages.values() for engine in page.engines}
        self.report = MemberReport(
            origin=name,
            last_event=last_page.last_event,
            engines=engines,
            settled=last_page.settled,
            store_lost=last_page.store_lost,
            uptime_ms=last_page.uptime_ms,
        )
        self.completed_at = now
        self.digest = None
        self.pages = {}
        return self.report


class StateTransfer:
    """One node's requests for reports. No I/O; times in ms of the monotonic clock."""

    def __init__(
        self,
        name: str,
        seeds: tuple[str, ...],
        now: float,
        rng: random.Random,
        outputs: NodeOutputs,
        own_store: Callable[[], wire.StoreState | None],
    ) -> None:
        self.transfers: dict[str, _Transfer] = {}  # by member
        self.sync_at: float = now + rng.uniform(0.2, 1.0) * RECOVERY_SYNC_MS
        self._other_seeds: list[str] = [seed for seed in seeds if seed != name]
        self._random: random.Random = rng
        self._outputs: NodeOutputs = outputs
        self._own_store: Callable[[], wire.StoreState | None] = own_store
        self._sequence: int = 0

    def reports(self) -> list[MemberReport]:
        """Return the last complete report of each member with a transfer."""
        return [transfer.report for transfer in self.transfers.values() if transfer.report is not None]

    def forget(self, name: str) -> None:
        """Drop the transfer of a member that is no longer alive."""
        self.transfers.pop(name, None)

    def clear(self) -> None:
        """Drop all transfers after their reports were used."""
        self.transfers = {}

    def next_due(self) -> float:
        """Return when the next request is due while there is no quorum; inf without transfers."""
        return min((transfer.due_at for transfer in self.transfers.values()), default=math.inf)

    def tick(self, now: float, alive: Set[str], needs_quorum: bool, recovered: bool) -> None:
        """Send the requests that are due."""
        sync_due = now >= self.sync_at
        if needs_quorum:
            self._request_from_seeds(now, alive)
        elif sync_due and alive:
            name = self._random.choice(sorted(alive))
            self.transfers = {name: _Transfer()}
            self._request_pages(now, name)
        if sync_due:
            interval_ms = SYNC_MS if recovered else RECOVERY_SYNC_MS
            self.sync_at = now + interval_ms * self._random.uniform(0.8, 1.2)

    def add_page(self, name: str, page: wire.ReportPage) -> bool:
        """Store a page; return False if its number is out of range. A new digest restarts the transfer."""
        transfer = self.transfers[name]
        if page.digest != transfer.digest:
            transfer.digest = page.digest
            transfer.page_count = page.page_count
            transfer.pages = {}
        if page.page >= transfer.page_count:
            return False
        transfer.pages[page.page] = page
        return True

    def finish_page(self, now: float, name: str, page: wire.ReportPage) -> MemberReport | None:
        """Return the report if it is complete; otherwise request more pages once a window is received."""
        transfer = self.transfers[name]
        if len(transfer.pages) == transfer.page_count:
            return transfer.complete(now, name, page)
        if len(transfer.pages) % PAGE_WINDOW == 0:
            self._request_pages(now, name)
        return None

    def _request_from_seeds(self, now: float, alive: Set[str]) -> None:
        due = [
            name
            for name in self._other_seeds
            if name in alive and (name not in self.transfers or now >= self.transfers[name].due_at)
        ]
        self._random.shuffle(due)
        for name in due[:MAX_CONCURRENT]:
            self.transfers.setdefault(name, _Transfer())
            self._request_pages(now, name)

    def _request_pages(self, now: float, name: str) -> None:
        transfer = self.transfers[name]
        transfer.requested_at = now
        for number in transfer.missing_pages()[:PAGE_WINDOW]:
            self._sequence += 1
            self._outputs.send(name, wire.ReportRequest(self._sequence, number, self._own_store()))
