"""Records of one loan of quota, at its lender and at its borrower.

A loan is a pair of counters that only grow: units granted (written by the lender) and units returned (written by the
borrower). Each side merges them by maximum, so messages may be duplicated, delayed, reordered or lost. Times are in ms
of the local monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from frostspindle.fleet.quota_pool import QuotaPool

NO_LIMIT = 2**53


@dataclass(slots=True)
class LentQuota:
    """A loan as recorded by its lender."""

    borrower_epoch: int  # of the borrower's process
    number: int  # sequence number among all loans made by this lender's process
    expires_at: float
    granted: int = 0
    returned: int = 0
    wanted: int = 0

    @property
    def outstanding(self) -> int:
        """Units granted and not returned yet, as known to the lender."""
        return self.granted - self.returned


@dataclass(slots=True)
class BorrowedQuota:
    """A loan as recorded by its borrower."""

    lender_epoch: int  # of the lender's process
    number: int
    expires_at: float
    granted: int = 0
    returned: int = 0
    limit: int = NO_LIMIT  # maximum number of units to hold, set by the lender
    requested_at: float = 0.0  # when its last renewal was requested
    to_return: int = 0  # units to return once they have cooled down, before any other use
    set_aside: int = 0  # those of them that have cooled down
    pool: QuotaPool = field(default_factory=QuotaPool)

    @property
    def outstanding(self) -> int:
        """Units still held by the borrower: ready, cooling or set aside for return."""
        return self.granted - self.returned


class LoanReference(NamedTuple):
    """State of the borrower's current loan, for its request."""

    lender_epoch: int  # 0: no loan yet
    loan: int  # 0: none
    returned: int
    closed_loan: int  # highest loan of the lender's process that has ended


class ReturnedUnits(NamedTuple):
    """Total units of a loan that were returned, for a QuotaReturn."""

    lender_epoch: int
    loan: int
    returned: int
