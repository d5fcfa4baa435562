"""The catalogue of spread tables: the operator's `[scatter]`, checked, and the classes that bind parts to sites.

Defines the form of that table, its cross-checks, and the numbers of the classes of parts. A column without a type here
is never merged, ordered or summarised. The digest of the table tells whether coordinators have the same catalogue.
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
CELL_SUFFIX = "\0"  # on a column's name: the numbers of its values' step cells; can't occur in a statement
TYPES = (INTEGER, DECIMAL, TEXT, TIME, FLOAT)
DIALECTS = ("sqlite", "tsql", "postgres", "mysql")
_SCHEMA = re.compile(r"[a-z]\w*?_(\d{1,18})", re.ASCII)  # as the front recognises it in a statement
_NAME = re.compile(r"[a-z_]\w*", re.ASCII)
Name = Annotated[str, Meta(min_length=1, max_length=24)]


class CatalogueError(ValueError):
    """`[scatter]` is invalid; the message is one line that names the key."""


class Site(Struct, forbid_unknown_fields=True, frozen=True):
    """A site: all listed engines in these failure domains."""

    name: Name
    zones: list[str] = []  # default: the one with the site's name
    foreign_loads: bool = False  # rows are also loaded from outside the fleet, so the site is never skipped


class Column(Struct, forbid_unknown_fields=True, frozen=True):
    """A column that summaries and merges use.

    `scale`: of a decimal, the digits after the point that the engine stores. `step`: of numbers, the width of the cells
    for which a summary records whether they contain values, to skip sites for narrow ranges; 0: none.
    """

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    type: str
    scale: Annotated[int, Meta(ge=0, le=18)] = 0
    step: Annotated[int, Meta(ge=0, le=10**15)] = 0  # 0: none


class TableGroup(Struct, forbid_unknown_fields=True, frozen=True):
    """Tables of one schema whose rows are spread over sites; columns of one name are alike in all of them."""

    schema: Annotated[str, Meta(min_length=3, max_length=64)]
    tables: Annotated[list[Annotated[str, Meta(min_length=1, max_length=64)]], Meta(min_length=1, max_length=32)]
    column: Annotated[list[Column], Meta(min_length=1, max_length=32)]
    sites: list[str] = []  # default: all
    by: list[str] = []  # columns whose values determine the site of a load that does not name one

    @property
    def number(self) -> int:
        """Number behind the underscore in the schema's name, modulo 2^24 as the fronts compute it; -1: none."""
        schema_match = _SCHEMA.fullmatch(self.schema)
        return int(schema_match.group(1)) % (1 << 24) if schema_match else -1


class ScatterSection(Struct, forbid_unknown_fields=True, frozen=True):
    """The operator's `[scatter]`."""

    site: Annotated[list[Site], Meta(min_length=1, max_length=MAX_SITES)]
    group: Annotated[list[TableGroup], Meta(min_length=1, max_length=MAX_GROUPS)]
    dialect: str = "sqlite"
    binary: bool = False  # engines compare texts by code point, including case and trailing blanks
    null: Annotated[str, Meta(max_length=16)] = "\\N"  # an engine's text for null
    learn_class: str = ""  # of the queries that read sites; without it no summary is learnt and no site skipped
    learn_ms: Annotated[float, Meta(ge=100, le=3_600_000)] = 5_000.0  # between two attempts
    lease_ms: Annotated[float, Meta(ge=500, le=600_000)] = 3_000.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.055
    keep_ms: Annotated[float, Meta(ge=1_000, le=3_600_000)] = 60_000.0  # renewal after the last use
    bits: Annotated[int, Meta(ge=0, le=16_384, multiple_of=8)] = 4_096  # of each column's sketch
    most_rows: Annotated[int, Meta(ge=1, le=1_000_000)] = 100_000  # of all parts of one request


@dataclasses.dataclass(frozen=True)
class Catalogue:
    """The checked `[scatter]`, indexed. `classes`: the number of the class of parts, by class and site."""

    settings: ScatterSection
    groups: dict[int, TableGroup]
    sites: dict[str, Site]
    classes: dict[tuple[int, str], int]
    loads: frozenset[int]  # classes of loads
    learn_class: int  # -1: none

    @cached_property
    def digest(self) -> int:
        """A 48-bit hash of the table; only coordinators with the same one exchange leases and summaries."""
        return int.from_bytes(blake2b(msgspec.json.encode(self.settings), digest_size=6).digest())

    @cached_property
    def columns(self) -> dict[int, dict[str, Column]]:
        """The columns of each group, by the group's number and the column's name."""
        return {number: {column.name: column for column in group.column} for number, group in self.groups.items()}

    def sites_of(self, group: int) -> Sequence[str]:
        """Return the names of the sites that hold rows of a group, all if it lists none; KeyError if it is unknown."""
        return self.groups[group].sites or list(self.sites)

    def summary_columns(self, group: int) -> list[str]:
        """Return the columns of summaries: all but floats, which engines may compare at a different precision."""
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
    """Return the home of a key among `homes`, by rendezvous hashing."""
    return max(homes, key=lambda name: blake2b(f"{key}:{name}".encode(), digest_size=8).digest())


def read_section(raw: Any) -> ScatterSection:
    """Check the operator's table and return it; CatalogueError names an invalid key."""
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
            raise CatalogueError(f"scatter.site[{number}].name: not printable ASCII without a slash: {site.name!r}")


def _check_group(group: TableGroup, key: str, site_names: set[str]) -> None:
    if group.number < 0:
        raise CatalogueError(f"{key}.schema: not of the form name_17 in lower case: {group.schema!r}")
    column_names = [column.name for column in group.column]
    _check_unique(f"{key}.tables", group.tables)
    _check_unique(f"{key}.column", column_names)
    for name in (*group.tables, *column_names):
        if not _NAME.fullmatch(name) or name != name.lower():
            raise CatalogueError(f"{key}: not a plain name in lower case: {name!r}")
    for column in group.column:
        if column.type not in TYPES:
            raise CatalogueError(f"{key}.column {column.name}: type: not one of {', '.join(TYPES)}")
        if column.step and column.type not in (INTEGER, DECIMAL):
            raise CatalogueError(f"{key}.column {column.name}: step: only for integers and decimals")
    for name in group.sites:
        if name not in site_names:
            raise CatalogueError(f"{key}.sites: there is no [[scatter.site]] {name!r}")
    for name in group.by:
        if name not in column_names:
            raise CatalogueError(f"{key}.by: no column {name!r}")


def _check_unique(key: str, names: Sequence[Any]) -> None:
    for number, name in enumerate(names):
        if name in names[:number]:
            raise CatalogueError(f"{key}[{number}]: {name!r} occurs twice")


def with_scatter(
    settings: Settings, classes: Sequence[str], zones: Sequence[str], raw: Any
) -> tuple[Settings, Catalogue]:
    """Return the decision module's settings with a class of parts for each class and site added, and the catalogue.

    A part runs only on engines of its site. The decision module ensures this by its rule on placement, as each class of
    parts is bound to its site's failure domains.
    """
    section = read_section(raw)
    if section.learn_class and section.learn_class not in classes:
        raise CatalogueError(f"scatter.learn_class: the settings have no class {section.learn_class!r}")
    all_classes = list(settings.classes)
    numbers: dict[tuple[int, str], int] = {}
    site_by_zone: dict[str, str] = {}
    for index, site in enumerate(section.site):
        key = f"scatter.site[{index}].zones"
        site_zones = _zone_numbers(site, zones, site_by_zone, key)
        for number, name in enumerate(classes):
            request_class = settings.classes[number]
            only_zones = request_class.only_zones
            allowed = site_zones if only_zones is None else site_zones & only_zones
            if not allowed:
                raise CatalogueError(f"{key}: none is allowed for class {name!r}")
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
    """Return the numbers of a site's failure domains and assign them to the site in `site_by_zone`.

    CatalogueError if one is unknown or belongs to another site.
    """
    site_zones = site.zones or [site.name]
    for zone in site_zones:
        if zone not in zones:
            raise CatalogueError(f"{key}: the settings have no failure domain {zone!r}")
        if zone in site_by_zone:
            raise CatalogueError(f"{key}: {zone!r} belongs to site {site_by_zone[zone]!r}")
        site_by_zone[zone] = site.name
    return frozenset(zones.index(zone) for zone in site_zones)
