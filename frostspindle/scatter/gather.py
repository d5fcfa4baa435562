"""Gathering of one scattered request: its parts' results and the one response that they become.

Without I/O and without a clock. There is one response at most. A response lacks the rows of a site only if the request
allows it, and then names the site. Parts are requests of their own, so retries, rejection and cancellation are left to
the core; no part is sent again from here.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from frostspindle.core import ResponseStatus
from frostspindle.scatter.merge import Merge, MergeMismatchError, Row, merge


class GatheredResponse(NamedTuple):
    """The response of all parts. `missing`: the sites whose rows it lacks, where the request allows it."""

    status: ResponseStatus
    rows: list[Row] = []
    reason: str = ""
    retry_after_ms: float = 0.0
    missing: tuple[str, ...] = ()


@dataclass(slots=True)
class Gather:
    """The sites that one request is sent to, and the results of their parts."""

    merge_plan: Merge
    sites: Sequence[str]
    null: str
    allows_missing: bool
    max_rows: int
    part_rows: dict[str, Sequence[Row]] = field(default_factory=dict)
    failed_parts: dict[str, tuple[ResponseStatus, float]] = field(default_factory=dict)  # status, retry_after_ms
    row_count: int = 0
    is_finished: bool = False

    @property
    def open(self) -> list[str]:
        """Sites whose part has no result yet."""
        return [site for site in self.sites if site not in self.part_rows and site not in self.failed_parts]

    def start(self) -> GatheredResponse | None:
        """Return the response if there is no site to query, else None."""
        return self._merge_parts() if not self.sites else None

    def on_part_rows(self, site: str, rows: Sequence[Row]) -> GatheredResponse | None:
        """Take a part's rows; return the response if it was the last part or there are too many rows, else None.

        Repeats are ignored.
        """
        if self.is_finished or site not in self.open:
            return None
        self.part_rows[site] = rows
        self.row_count += len(rows)
        if self.row_count > self.max_rows:
            return self._finish(
                GatheredResponse(ResponseStatus.FAILED, reason=f"more than {self.max_rows} rows to merge")
            )
        return None if self.open else self._merge_parts()

    def on_part_failed(self, site: str, status: ResponseStatus, retry_after_ms: float = 0.0) -> GatheredResponse | None:
        """Take a part that ended without rows.

        Return the response if this completes the request, else None. Unless the request allows missing sites, the first
        such part does.
        """
        if self.is_finished or site not in self.open:
            return None
        self.failed_parts[site] = status, retry_after_ms
        if self.allows_missing:
            return None if self.open else self._merge_parts()
        return self._finish(GatheredResponse(status, retry_after_ms=retry_after_ms))

    def on_client_disconnected(self) -> None:
        """Handle that the client has disconnected: no response is returned from now on."""
        self.is_finished = True

    def _merge_parts(self) -> GatheredResponse:
        if self.failed_parts and not self.part_rows:
            worst = (
                ResponseStatus.FAILED
                if any(status == ResponseStatus.FAILED for status, _ in self.failed_parts.values())
                else ResponseStatus.REJECTED
            )
            return self._finish(
                GatheredResponse(worst, retry_after_ms=max(wait for _, wait in self.failed_parts.values()))
            )
        try:
            rows = merge(
                self.merge_plan, [self.part_rows[site] for site in self.sites if site in self.part_rows], self.null
            )
        except MergeMismatchError as error:
            return self._finish(GatheredResponse(ResponseStatus.FAILED, reason=str(error)))
        return self._finish(GatheredResponse(ResponseStatus.SERVED, rows, missing=tuple(sorted(self.failed_parts))))

    def _finish(self, response: GatheredResponse) -> GatheredResponse:
        self.is_finished = True
        return response


def estimates(cost: float, row_counts: Sequence[int | None]) -> tuple[list[float], float]:
    """Return each part's share of the request's cost, by the rows of its site, and the largest share.

    The largest share ranks all parts, as a request completes with its largest part: to run a small part before other
    requests would gain nothing.
    """
    if not row_counts:
        return [], 0.0
    known_counts = [count for count in row_counts if count]
    mean = sum(known_counts) / len(known_counts) if known_counts else 1.0
    weights = [count if count else mean for count in row_counts]
    shares = [cost * weight / sum(weights) for weight in weights]
    return shares, max(shares)
