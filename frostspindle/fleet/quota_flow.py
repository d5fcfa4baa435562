"""Lending policy: how much a lender grants, how much a borrower returns, and when loans are renewed.

Pure policy; the units are accounted for in `quota_escrow`. No I/O and no clock: all times are in ms of the local
monotonic clock.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from hashlib import blake2b
from typing import NamedTuple

from frostspindle.division import max_min_fair_level
from frostspindle.fleet.quota_escrow import QuotaAccount
from frostspindle.fleet.quota_loans import BorrowedQuota, LentQuota

REQUEST_INTERVAL_MS = 100.0  # between comparisons of a coordinator's need with its quota
RENEWAL_FRACTION = 1 / 3  # of a lease, after which it is renewed
SURPLUS_FACTOR = 1.1  # units over this multiple of the need are returned


class Offer(NamedTuple):
    """Answer to a request: units to grant now, and units that the borrower should hold at most."""

    granted: int
    limit: int


def offer(account: QuotaAccount, needed: int, loan: LentQuota, borrower: str) -> Offer:
    """Return the units to grant now in answer to a request.

    The owned units are shared max-min fairly among all claimants, including this coordinator. A borrower returns units
    over its share (`limit`) as they cool down, so small claims are met within one or two windows in any order of
    arrival.
    """
    claims = account.claims
    borrower_index = bisect_left(claims, (loan.wanted, borrower))
    own_index = bisect_left(claims, (needed, ""))  # position of the local need among the claims
    claims.insert(own_index, (needed, ""))
    met_count, base, larger_from = max_min_fair_level(claims, account.owned)
    del claims[own_index]
    if borrower_index >= own_index:
        borrower_index += 1
    share = loan.wanted if borrower_index < met_count else base + (borrower_index >= larger_from)
    own_share = needed if own_index < met_count else base + (own_index >= larger_from)
    return _limited(account, loan, share, own_share)


def offer_rotating(
    account: QuotaAccount, needed: int, loan: LentQuota, borrower: str, own_name: str, rotation: int, min_share: int
) -> Offer:
    """Return the same as `offer`, unless the even share is too small for one use of `min_share` units.

    Then claims below the even share are met as usual, and the others in full, one after another. Their order depends on
    `rotation` and is the same at all homes, so that units accumulate at one coordinator per rotation.
    """
    claims = sorted((*account.claims, (needed, own_name)))
    met_count, base, _ = max_min_fair_level(claims, account.owned)
    if base >= min_share or met_count == len(claims):
        return offer(account, needed, loan, borrower)
    shares = {name: wanted for wanted, name in claims[:met_count]}
    remaining = account.owned - sum(shares.values())
    ordered = sorted(claims[met_count:], key=lambda claim: blake2b(f"{rotation} {claim[1]}".encode()).digest())
    for wanted, name in ordered:
        shares[name] = min(wanted, remaining)
        remaining -= shares[name]
    return _limited(account, loan, shares[borrower], shares[own_name])


def _limited(account: QuotaAccount, loan: LentQuota, share: int, own_share: int) -> Offer:
    """Return an offer of a share, limited to units that are ready and that exceed the local share."""
    granted = min(share - loan.outstanding, account.pool.ready, account.unlent - own_share)
    return Offer(max(0, granted), share)


def available(account: QuotaAccount, needed: int) -> int:
    """Return the number of ready units beyond this coordinator's own need."""
    return max(0, min(account.pool.ready, account.unlent - needed))


def surplus(account: QuotaAccount, needed: int) -> list[tuple[str, int]]:
    """Return the number of units to return of each loan: those over its lender's limit and those over the need.

    The smallest loans are returned first. Loans that already have units to return or set aside are listed even with 0.
    """
    if not account.borrowed:
        return []
    excess = account.total - _retained(account, needed)
    loans = [
        (loan.outstanding, lender)
        for lender, loan in account.borrowed.items()
        if excess > 0 or loan.outstanding > loan.limit or _is_returning(loan)
    ]
    returns = []
    for outstanding, lender in sorted(loans):
        loan = account.borrowed[lender]
        units = max(outstanding - loan.limit, min(outstanding, excess), 0)
        if units or _is_returning(loan):
            returns.append((lender, units))
        excess -= units
    return returns


def _retained(account: QuotaAccount, needed: int) -> int:
    """Return the number of units to retain for a need."""
    if not needed:
        return 0
    return max(math.ceil(needed * SURPLUS_FACTOR), min(needed, account.unlent) + 1)


def _is_returning(loan: BorrowedQuota) -> bool:
    return bool(loan.to_return or loan.set_aside)


def renewals(account: QuotaAccount, now: float) -> list[str]:
    """Return the lenders whose loans are due for renewal: a third of the lease after the last request."""
    interval_ms = RENEWAL_FRACTION * account.lease_ms
    return [name for name, loan in account.borrowed.items() if now - loan.requested_at >= interval_ms]
