"""A coordinator's report of engines and bans, cut into pages that fit a message."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from frostspindle.recovery import wire
from frostspindle.recovery.wire import BanStatement, ListedEngine


@dataclass(slots=True)
class ReportRows:
    """The rows of one page."""

    engines: list[ListedEngine] = field(default_factory=list)
    bans: list[BanStatement] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class PagedReport:
    """All pages of one state of a report, and the digest that tells it from another state."""

    digest: int
    pages: list[ReportRows]


def paginate(last_event: int, engines: Iterable[ListedEngine], bans: Iterable[BanStatement]) -> PagedReport:
    """Cut a report into pages of PAGE_BYTES; rows beyond MAX_PAGES are left out. The digest is of all rows."""
    digest = blake2b(str(last_event).encode(), digest_size=6)
    pages = [ReportRows()]
    free_bytes = wire.PAGE_BYTES
    rows: list[ListedEngine | BanStatement] = [*engines, *bans]
    for row in rows:
        data = wire.encode(row)
        digest.update(data)
        if len(data) > free_bytes:
            pages.append(ReportRows())
            free_bytes = wire.PAGE_BYTES
        free_bytes -= len(data)
        if isinstance(row, ListedEngine):
            pages[-1].engines.append(row)
        else:
            pages[-1].bans.append(row)
    return PagedReport(int.from_bytes(digest.digest()), pages[: wire.MAX_PAGES])
