"""One scattered request: its parts, and the one answer that they become.

Owns what each part's end means for the whole, without I/O and without a clock. It must never answer twice, never make
an answer of less than all parts unless the request allows it, and then says which sites are missing. Parts are retried,
refused and cancelled by the module, each as a request of its own; here nothing is sent again.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from frostspindle.core import ResponseStatus
from frostspindle.scatter.merge import Merge, MergeMismatchError, Row, merge


class GatheredResponse(NamedTuple):
    """The one answer of all parts. `missing`: the sites that did not answer, where the request allows it."""

    status: ResponseStatus
    rows: list[Row] = []
    reason: str = ""
    retry_after_ms: float = 0.0
    missing: tuple[str, ...] = ()


@dataclass(slots=True)
class Gather:
    """The sites that were asked for one request, and what they answered."""

    merge_plan: Merge
    sites: Sequence[str]
    null: str
    partial: bool
    most_rows: int
    parts: dict[str, list[Row]] = field(default_factory=dict)
    lost: dict[str, tuple[ResponseStatus, float]] = field(default_factory=dict)  # status, the wait that was advised
    rows: int = 0
    over: bool = False

    @property
    def open(self) -> list[str]:
        """Sites that have not answered yet."""
        return [site for site in self.sites if site not in self.parts and site not in self.lost]

    def begin(self) -> GatheredResponse | None:
        """Return the answer if no site needs to be asked, else None."""
        return self._whole() if not self.sites else None

    def served(self, site: str, rows: list[Row]) -> GatheredResponse | None:
        """Take a part's rows; return the answer if that was the last part or the rows are too many, else None.

        Repeats are ignored.
        """
        if self.over or site not in self.open:
            return None
        self.parts[site] = rows
        self.rows += len(rows)
        if self.rows > self.most_rows:
            return self._end(
                GatheredResponse(ResponseStatus.FAILED, reason=f"more than {self.most_rows} rows to merge")
            )
        return None if self.open else self._whole()

    def ended(self, site: str, status: ResponseStatus, retry_after_ms: float = 0.0) -> GatheredResponse | None:
        """Take a part that ended without rows.

        Return the answer if that decides it, else None: at once, unless the request allows missing sites.
        """
        if self.over or site not in self.open:
            return None
        self.lost[site] = status, retry_after_ms
        if self.partial:
            return None if self.open else self._whole()
        return self._end(GatheredResponse(status, retry_after_ms=retry_after_ms))

    def left(self) -> None:
        """Note that the client left: no answer is returned any more."""
        self.over = True

    def _whole(self) -> GatheredResponse:
        if self.lost and not self.parts:
            worst = (
                ResponseStatus.FAILED
                if any(status == ResponseStatus.FAILED for status, _ in self.lost.values())
                else ResponseStatus.REJECTED
            )
            return self._end(GatheredResponse(worst, retry_after_ms=max(wait for _, wait in self.lost.values())))
        try:
            rows = merge(self.merge_plan, [self.parts[site] for site in self.sites if site in self.parts], self.null)
        except MergeMismatchError as error:
            return self._end(GatheredResponse(ResponseStatus.FAILED, reason=str(error)))
        return self._end(GatheredResponse(ResponseStatus.SERVED, rows, missing=tuple(sorted(self.lost))))

    def _end(self, whole: GatheredResponse) -> GatheredResponse:
        self.over = True
        return whole


def estimates(cost: float, rows: Sequence[int | None]) -> tuple[list[float], float]:
    """Return each part's share of the whole request's cost, by its site's rows, and the largest of them, which ranks
    all parts.

    A request is answered when its largest part is: a small part that overtook others' requests would gain nothing.
    """
    if not rows:
        return [], 0.0
    known = [count for count in rows if count]
    usual = sum(known) / len(known) if known else 1.0
    weights = [count if count else usual for count in rows]
    shares = [cost * weight / sum(weights) for weight in weights]
    return shares, max(shares)
