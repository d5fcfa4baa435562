"""Rules of lending: what a lender grants, what a borrower returns, and when a loan is renewed.

The rules only propose; `quota_escrow` keeps the units. No I/O and no clock: all times are ms of the own monotonic
clock.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from hashlib import blake2b
from typing import NamedTuple

from frostspindle.division import level
from frostspindle.fleet.quota_escrow import QuotaAccount
from frostspindle.fleet.quota_loans import BorrowedQuota, LentQuota

REQUEST_INTERVAL_MS = 100.0  # how often a coordinator compares its need with what it has
RENEWAL_PART = 1 / 3  # of a lease, after which it is renewed
SURPLUS_FACTOR = 1.1  # units over the need by more than this are returned


class Offer(NamedTuple):
    """Answer to a request: units to grant now, and units that the borrower should hold at most."""

    granted: int
    limit: int


def offer(account: QuotaAccount, needed: int, loan: LentQuota, borrower: str) -> Offer:
    """Return what to grant now in answer to a request.

    All claimants of the own units, this coordinator among them, are served max-min fair. What a borrower holds over its
    share comes back as it cools down (`limit`), so that a small claim is met within a window or two, whoever was first.
    """
    claims = account.claims
    borrower_place = bisect_left(claims, (loan.wanted, borrower))
    own_place = bisect_left(claims, (needed, ""))  # where the own need comes among them
    claims.insert(own_place, (needed, ""))
    met, base, larger_from = level(claims, account.owned)
    del claims[own_place]
    if borrower_place >= own_place:
        borrower_place += 1
    share = loan.wanted if borrower_place < met else base + (borrower_place >= larger_from)
    own_share = needed if own_place < met else base + (own_place >= larger_from)
    return _limited(account, loan, share, own_share)


def offer_in_turn(
    account: QuotaAccount, needed: int, loan: LentQuota, borrower: str, own_name: str, turn: int, min_share: int
) -> Offer:
    """Return the same as `offer`, where an even share may be too small for one use of `min_share` units.

    Claims under the even share are met as usual. The others are met in full one after another, in an order by `turn`
    that is the same at all homes, so that units gather at one coordinator, and at another with each turn.
    """
    claims = sorted((*account.claims, (needed, own_name)))
    met, base, _ = level(claims, account.owned)
    if base >= min_share or met == len(claims):
        return offer(account, needed, loan, borrower)
    shares = {name: wanted for wanted, name in claims[:met]}
    left = account.owned - sum(shares.values())
    in_turn = sorted(claims[met:], key=lambda claim: blake2b(f"{turn} {claim[1]}".encode()).digest())
    for wanted, name in in_turn:
        shares[name] = min(wanted, left)
        left -= shares[name]
    return _limited(account, loan, shares[borrower], shares[own_name])


def _limited(account: QuotaAccount, loan: LentQuota, share: int, own_share: int) -> Offer:
    """An offer of a share, as far as units are ready and over the own share."""
    granted = min(share - loan.outstanding, account.pool.ready, account.in_hand - own_share)
    return Offer(max(0, granted), share)


def available(account: QuotaAccount, needed: int) -> int:
    """Return how many ready units are left over this coordinator's own need."""
    return max(0, min(account.pool.ready, account.in_hand - needed))


def surplus(account: QuotaAccount, needed: int) -> list[tuple[str, int]]:
    """Return how many units of each loan should go back: over its lender's limit and over the need.

    The smallest loans come first. Loans with units to return or set aside are listed with 0.
    """
    if not account.borrowed:
        return []
    over = account.total - _kept(account, needed)
    loans = [
        (loan.outstanding, lender)
        for lender, loan in account.borrowed.items()
        if over > 0 or loan.outstanding > loan.limit or _is_returning(loan)
    ]
    returns = []
    for outstanding, lender in sorted(loans):
        loan = account.borrowed[lender]
        units = max(outstanding - loan.limit, min(outstanding, over), 0)
        if units or _is_returning(loan):
            returns.append((lender, units))
        over -= units
    return returns


def _kept(account: QuotaAccount, needed: int) -> int:
    """Units that are kept for a need."""
    if not needed:
        return 0
    return max(math.ceil(needed * SURPLUS_FACTOR), min(needed, account.in_hand) + 1)


def _is_returning(loan: BorrowedQuota) -> bool:
    return bool(loan.to_return or loan.set_aside)


def renewals(account: QuotaAccount, now: float) -> list[str]:
    """Return the lenders whose loans are due for a new request: a third of the lease after the last one."""
    interval_ms = RENEWAL_PART * account.lease_ms
    return [name for name, loan in account.borrowed.items() if now - loan.requested_at >= interval_ms]
