"""Records of one loan of quota, at its lender and at its borrower.

A loan is a pair of counters that only grow, units granted (the lender's) and units returned (the borrower's): messages
about it may come twice, late, in any order or not at all, as each side takes the greater. Times are ms of the own
monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from frostspindle.fleet.quota_pool import QuotaPool

NO_LIMIT = 2**53


@dataclass(slots=True)
class LentQuota:
    """One loan, as its lender records it."""

    borrower_epoch: int  # of the borrower's process
    number: int  # of all loans that this lender's process has made
    expires_at: float
    granted: int = 0
    returned: int = 0
    wanted: int = 0

    @property
    def outstanding(self) -> int:
        """Units granted and not yet returned, as this lender knows."""
        return self.granted - self.returned


@dataclass(slots=True)
class BorrowedQuota:
    """One loan, as its borrower records it."""

    lender_epoch: int  # of the lender's process
    number: int
    expires_at: float
    granted: int = 0
    returned: int = 0
    limit: int = NO_LIMIT  # units that the lender would have us hold at most
    requested_at: float = 0.0  # when it was last renewed
    to_return: int = 0  # units to go back as they have cooled down, before anything else is made of them
    set_aside: int = 0  # of these, cooled down already
    pool: QuotaPool = field(default_factory=QuotaPool)

    @property
    def outstanding(self) -> int:
        """Units of the loan that are still here: ready, cooling or set aside for return."""
        return self.granted - self.returned


class LoanReference(NamedTuple):
    """What a borrower's request says of the loan that it has."""

    lender_epoch: int  # 0: none yet
    loan: int  # 0: none
    returned: int
    closed_loan: int  # the highest loan of the lender's process that is over


class ReturnedUnits(NamedTuple):
    """What a borrower's return says: units returned in all of a loan."""

    lender_epoch: int
    loan: int
    returned: int
