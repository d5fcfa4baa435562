"""What is spread over which sites: the operator's `[scatter]`, checked, and the classes that bind a part to its site.

Owns the form of that table, its cross-checks and the numbers of the classes of parts. It must never guess a column's
type: what is not named here is never merged, ordered or summed up. Its digest shows whether all have the same.
"""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Sequence
from functools import cached_property
from hashlib import blake2b
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from frostspindle.policy import Settings

MAX_SITES = 64
MAX_GROUPS = 256
MAX_SUMMARIES = 1_024  # pairs of a group and a site
INTEGER = "integer"
DECIMAL = "decimal"
TEXT = "text"
TIME = "time"
FLOAT = "float"
CELL_SUFFIX = "\0"  # behind a column's name: the numbers of the cells that its values lie in; in no statement
TYPES = (INTEGER, DECIMAL, TEXT, TIME, FLOAT)
DIALECTS = ("sqlite", "tsql", "postgres", "mysql")
_SCHEMA = re.compile(r"[a-z]\w*?_(\d{1,18})", re.ASCII)  # as the front finds it in a statement
_NAME = re.compile(r"[a-z_]\w*", re.ASCII)
Name = Annotated[str, Meta(min_length=1, max_length=24)]


class CatalogueError(ValueError):
    """A fault in `[scatter]`, as one line that names the key at fault."""


class Site(Struct, forbid_unknown_fields=True, frozen=True):
    """A place with engines of its own: all engines that the list has in these failure domains."""

    name: Name
    zones: list[str] = []  # else the one of its name
    foreign_loads: bool = False  # rows come there past the fleet: it is never left out


class Column(Struct, forbid_unknown_fields=True, frozen=True):
    """A column that summaries and merges use.

    `scale`: of a decimal, digits after the point that the engine keeps. `step`: of numbers, the width of the cells of
    which a summary knows those that hold values, for narrow ranges; 0: none.
    """

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    type: str
    scale: Annotated[int, Meta(ge=0, le=18)] = 0
    step: Annotated[int, Meta(ge=0, le=10**15)] = 0  # 0: none


class TableGroup(Struct, forbid_unknown_fields=True, frozen=True):
    """Tables of one schema whose rows are spread over sites; a column's name means the same in all of them."""

    schema: Annotated[str, Meta(min_length=3, max_length=64)]
    tables: Annotated[list[Annotated[str, Meta(min_length=1, max_length=64)]], Meta(min_length=1, max_length=32)]
    column: Annotated[list[Column], Meta(min_length=1, max_length=32)]
    sites: list[str] = []  # else all
    by: list[str] = []  # a load without a site's name goes where these columns' values say

    @property
    def number(self) -> int:
        """Number behind the underscore in the schema's name, modulo 2^24 as the fronts compute it; -1: none."""
        found = _SCHEMA.fullmatch(self.schema)
        return int(found.group(1)) % (1 << 24) if found else -1


class ScatterSection(Struct, forbid_unknown_fields=True, frozen=True):
    """The operator's `[scatter]`."""

    site: Annotated[list[Site], Meta(min_length=1, max_length=MAX_SITES)]
    group: Annotated[list[TableGroup], Meta(min_length=1, max_length=MAX_GROUPS)]
    dialect: str = "sqlite"
    binary: bool = False  # engines tell texts apart and order them by code point, blanks and cases too
    null: Annotated[str, Meta(max_length=16)] = "\\N"  # what an engine writes for null
    learn_class: str = ""  # of the queries that learn a site anew; else it stays as it is: never left out
    learn_ms: Annotated[float, Meta(ge=100, le=3_600_000)] = 5_000.0  # between two tries
    lease_ms: Annotated[float, Meta(ge=500, le=600_000)] = 3_000.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.055
    keep_ms: Annotated[float, Meta(ge=1_000, le=3_600_000)] = 60_000.0  # leases are kept so long after their last use
    bits: Annotated[int, Meta(ge=0, le=16_384, multiple_of=8)] = 4_096  # of each column's sketch
    most_rows: Annotated[int, Meta(ge=1, le=1_000_000)] = 100_000  # of one merged answer's parts together


@dataclasses.dataclass(frozen=True)
class Catalogue:
    """The checked `[scatter]`, indexed. `classes` has the module's number of a class of parts, by class and site."""

    settings: ScatterSection
    groups: dict[int, TableGroup]
    sites: dict[str, Site]
    classes: dict[tuple[int, str], int]
    loads: frozenset[int]  # classes of loads
    learn_class: int  # -1: none

    @cached_property
    def digest(self) -> int:
        """A 48-bit hash of the table: leases and summaries pass only between coordinators where it is the same."""
        return int.from_bytes(blake2b(msgspec.json.encode(self.settings), digest_size=6).digest())

    @cached_property
    def columns(self) -> dict[int, dict[str, Column]]:
        """The columns of each group, by the group's number and the column's name."""
        return {number: {column.name: column for column in group.column} for number, group in self.groups.items()}

    def sites_of(self, group: int) -> Sequence[str]:
        """Return the names of the sites that hold rows of a group, all if it lists none; KeyError if it is unknown."""
        return self.groups[group].sites or list(self.sites)

    def summary_columns(self, group: int) -> list[str]:
        """Return the columns that summaries hold: not floats, as engines may compare those at other precision."""
        return [
            name
            for column in self.groups[group].column
            if column.type != FLOAT
            for name in ([column.name, column.name + CELL_SUFFIX] if column.step else [column.name])
        ]

    def keys(self, group: int) -> list[str]:
        """Return the keys of a group's summaries, one for each site without loads from outside the fleet."""
        return [key_of(site, group) for site in self.sites_of(group) if not self.sites[site].foreign_loads]

    def all_keys(self) -> list[str]:
        """Return the keys of the summaries of all groups."""
        return [key for group in self.groups for key in self.keys(group)]


def key_of(site: str, group: int) -> str:
    """Return the key of the summary for a site and a group's number; `site_of` is the inverse."""
    return f"{site}/{group}"


def site_of(key: str) -> tuple[str, int]:
    """Return the site and the group's number of a summary's key; ValueError if it does not end in a number."""
    site, _, group = key.rpartition("/")
    return site, int(group)


def home_of(key: str, homes: Sequence[str]) -> str:
    """Return the seed that keeps a summary, by rendezvous hashing, so that the seeds share the work."""
    return max(homes, key=lambda name: blake2b(f"{key}:{name}".encode(), digest_size=8).digest())


def read_section(raw: Any) -> ScatterSection:
    """Check the operator's table and return it; CatalogueError names the key that can't be used."""
    try:
        section = msgspec.convert(raw, ScatterSection)
    except msgspec.ValidationError as error:
        raise CatalogueError(f"scatter: {' '.join(str(error).split())}") from None
    _check_unique("scatter.site", [site.name for site in section.site])
    _check_unique("scatter.group", [group.schema.lower() for group in section.group])
    if section.dialect not in DIALECTS:
        raise CatalogueError(f"scatter.dialect: not one of {', '.join(DIALECTS)}")
    _check_site_names(section.site)
    site_names = {site.name for site in section.site}
    for number, group in enumerate(section.group):
        _check_group(group, f"scatter.group[{number}]", site_names)
    _check_unique("scatter.group numbers", [group.number for group in section.group])
    if sum(len(group.sites or site_names) for group in section.group) > MAX_SUMMARIES:
        raise CatalogueError(f"scatter.group: more than {MAX_SUMMARIES} pairs of a group and a site")
    return section


def _check_site_names(sites: Sequence[Site]) -> None:
    for number, site in enumerate(sites):
        if "/" in site.name or not site.name.isascii() or not site.name.isprintable():
            raise CatalogueError(f"scatter.site[{number}].name: not plain, or with a slash: {site.name!r}")


def _check_group(group: TableGroup, key: str, site_names: set[str]) -> None:
    if group.number < 0:
        raise CatalogueError(f"{key}.schema: not of the form name_17 in small letters: {group.schema!r}")
    column_names = [column.name for column in group.column]
    _check_unique(f"{key}.tables", group.tables)
    _check_unique(f"{key}.column", column_names)
    for name in (*group.tables, *column_names):
        if not _NAME.fullmatch(name) or name != name.lower():
            raise CatalogueError(f"{key}: not a plain name in small letters: {name!r}")
    for column in group.column:
        if column.type not in TYPES:
            raise CatalogueError(f"{key}.column {column.name}: type: not one of {', '.join(TYPES)}")
        if column.step and column.type not in (INTEGER, DECIMAL):
            raise CatalogueError(f"{key}.column {column.name}: step: only of integers and decimals")
    for name in group.sites:
        if name not in site_names:
            raise CatalogueError(f"{key}.sites: there is no [[scatter.site]] {name!r}")
    for name in group.by:
        if name not in column_names:
            raise CatalogueError(f"{key}.by: no column {name!r}")


def _check_unique(key: str, names: Sequence[Any]) -> None:
    for number, name in enumerate(names):
        if name in names[:number]:
            raise CatalogueError(f"{key}[{number}]: {name!r} stands there twice")


def with_scatter(
    settings: Settings, classes: Sequence[str], zones: Sequence[str], raw: Any
) -> tuple[Settings, Catalogue]:
    """Return the decision module's settings with a class of parts for each class and site added, and the catalogue.

    A part runs on engines of its site only. The module itself sees to that, by its rule on placement: each class of
    parts is bound to its site's failure domains.
    """
    section = read_section(raw)
    if section.learn_class and section.learn_class not in classes:
        raise CatalogueError(f"scatter.learn_class: the settings have no class {section.learn_class!r}")
    all_classes = list(settings.classes)
    numbers: dict[tuple[int, str], int] = {}
    site_by_zone: dict[str, str] = {}
    for at, site in enumerate(section.site):
        key = f"scatter.site[{at}].zones"
        site_zones = _zone_numbers(site, zones, site_by_zone, key)
        for number, name in enumerate(classes):
            request_class = settings.classes[number]
            only_zones = request_class.only_zones
            allowed = site_zones if only_zones is None else site_zones & only_zones
            if not allowed:
                raise CatalogueError(f"{key}: none is open to class {name!r}")
            numbers[number, site.name] = len(all_classes)
            all_classes.append(dataclasses.replace(request_class, only_zones=allowed))
    catalogue = Catalogue(
        section,
        {group.number: group for group in section.group},
        {site.name: site for site in section.site},
        numbers,
        frozenset(number for number in range(len(classes)) if settings.classes[number].is_load),
        classes.index(section.learn_class) if section.learn_class else -1,
    )
    return dataclasses.replace(settings, classes=tuple(all_classes)), catalogue


def _zone_numbers(site: Site, zones: Sequence[str], site_by_zone: dict[str, str], key: str) -> frozenset[int]:
    """Return the numbers of a site's failure domains and note them as the site's; CatalogueError if one is unknown or
    another site's.
    """
    site_zones = site.zones or [site.name]
    for zone in site_zones:
        if zone not in zones:
            raise CatalogueError(f"{key}: the settings have no failure domain {zone!r}")
        if zone in site_by_zone:
            raise CatalogueError(f"{key}: {zone!r} is of {site_by_zone[zone]!r}")
        site_by_zone[zone] = site.name
    return frozenset(zones.index(zone) for zone in site_zones)
