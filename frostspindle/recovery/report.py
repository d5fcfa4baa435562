"""A coordinator's report of engines and bans, split into pages that fit a message."""

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
    """All pages of one version of a report, and the digest that identifies it."""

    digest: int
    pages: list[ReportRows]


def paginate(last_event: int, engines: Iterable[ListedEngine], bans: Iterable[BanStatement]) -> PagedReport:
    """Split a report into pages of PAGE_BYTES and drop pages beyond MAX_PAGES; the digest covers all rows."""
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
