"""The combined interest of one coordinator's subscribers: a summary that covers each of their filters.

Reduces a set of filters to a few in bounded bytes. The summary matches whatever one of the filters matches. Where there
are too many filters, the most similar ones are joined (`cover`); with more than MAX_BOXES distinct boxes, the summary
is what all filters of a kind of events have in common, and in the last resort all events of that kind. Adding and
removing a filter takes the same time however many there are.
"""

from __future__ import annotations

from collections import Counter, defaultdict

from frostspindle.predicates import all_of, any_of, compare, covers, one_of
from frostspindle.predicates.algebra import Compare, In, Predicate
from frostspindle.predicates.language import parse, text
from frostspindle.predicates.normal import Term, normal
from frostspindle.predicates.values import Value
from frostspindle.subscriptions import cover, schema
from frostspindle.subscriptions.wire import MAX_FILTERS, MAX_FILTERS_BYTES

MAX_COMPARED_FILTERS = 16  # compared pairwise for containment
MAX_BOXES = 1_024  # that are reduced by joining
REBUILD_GROWTH = 1.5  # the cover is rebuilt at so many times the boxes it was built from
MAX_VALUES_PER_COLUMN = 24  # of a column, in one filter of the summary
ANY_KIND = -1  # in place of a kind: the filter may match any


def _equality_values(term: Term) -> dict[str, frozenset[Value]]:
    """Return, by column, the values of which a row must have one to match this term."""
    required_values: dict[str, frozenset[Value]] = {}
    for atom in term:
        if type(atom) is In and not atom.negated:
            values = atom.values
        elif type(atom) is Compare and atom.op == "=":
            values = frozenset((atom.value,))
        else:
            continue
        required_values[atom.column] = (
            required_values[atom.column] & values if atom.column in required_values else values
        )
    return required_values


def _values_by_kind(terms: tuple[Term, ...] | None) -> list[tuple[int, dict[str, frozenset[Value]]]]:
    """Return, for each conjunction and kind of event, the values that it requires."""
    if terms is None:
        return [(ANY_KIND, {})]
    result = []
    for term in terms:
        required = _equality_values(term)
        kinds = required.pop("kind", None)
        few_values = {column: values for column, values in required.items() if 0 < len(values) <= MAX_VALUES_PER_COLUMN}
        for kind in (
            [ANY_KIND]
            if kinds is None
            else [kind_number for kind_number, name in enumerate(schema.NAMES) if name in kinds]
        ):
            result.append((kind, few_values))
    return result


class _Kind:
    """Counts over all conjunctions of one kind of events."""

    def __init__(self) -> None:
        self.terms = 0
        self.equalities: Counter[str] = Counter()  # by column, how many conjunctions require values of it
        self.values: defaultdict[str, Counter[Value]] = defaultdict(Counter)

    def add(self, required: dict[str, frozenset[Value]], change: int) -> None:
        self.terms += change
        for column, values in required.items():
            self.equalities[column] += change
            counter = self.values[column]
            for value in values:
                counter[value] += change
                if not counter[value]:
                    del counter[value]

    def summary(self, kind: int, max_bytes: int) -> str:
        """Return a filter covering all: by the column with the fewest values that all require, else the whole kind."""
        if kind == ANY_KIND:
            return "TRUE"
        kind_condition = compare("kind", "=", schema.NAMES[kind])
        for count, column in sorted(
            (len(self.values[name]), name)
            for name, requiring_terms in self.equalities.items()
            if requiring_terms == self.terms
        ):
            if 0 < count <= MAX_VALUES_PER_COLUMN:
                summary = text(all_of(kind_condition, one_of(column, sorted(self.values[column]))))  # type: ignore[type-var]
                if len(summary.encode()) <= max_bytes:
                    return summary
        return text(kind_condition)


class CombinedInterest:
    """The filters by key, and their summary."""

    def __init__(self) -> None:
        self._filters: dict[object, tuple[str, list[tuple[int, dict[str, frozenset[Value]]]], list[cover.Box]]] = {}
        self._texts: Counter[str] = Counter()
        self._bytes = 0  # of distinct texts
        self._kinds: defaultdict[int, _Kind] = defaultdict(_Kind)
        self._boxes: Counter[cover.Box] = Counter()
        self._added: list[cover.Box] = []  # added since the cover was built
        self._cover: list[cover.Box] | None = None  # last result; wider than needed after additions or removals
        self._rebuilt_from = 0  # number of boxes at the last rebuild

    def __len__(self) -> int:
        return len(self._filters)

    def add(self, key: object, predicate: Predicate) -> None:
        """Add a filter, replacing the one with this key if there is one."""
        self.remove(key)
        terms, filter_text = normal(predicate), text(predicate)
        requirements, boxes = _values_by_kind(terms), [cover.box(term) for term in (((),) if terms is None else terms)]
        self._filters[key] = filter_text, requirements, boxes
        self._boxes.update(boxes)
        if self._cover is not None:
            self._added += boxes
            if len(self._added) > MAX_BOXES:
                self._cover, self._added = None, []
        self._texts[filter_text] += 1
        if self._texts[filter_text] == 1:
            self._bytes += len(filter_text.encode())
        for kind, required in requirements:
            self._kinds[kind].add(required, 1)

    def remove(self, key: object) -> None:
        """Remove the filter with this key, if any; the summary may stay wider until `filters` with `narrow`."""
        if (removed := self._filters.pop(key, None)) is None:
            return
        filter_text, requirements, boxes = removed
        for box in boxes:
            self._boxes[box] -= 1
            if not self._boxes[box]:
                del self._boxes[box]
        self._texts[filter_text] -= 1
        if not self._texts[filter_text]:
            del self._texts[filter_text]
            self._bytes -= len(filter_text.encode())
        for kind, required in requirements:
            self._kinds[kind].add(required, -1)

    def filters(self, narrow: bool = False) -> tuple[str, ...]:
        """Return the texts of the summary's filters; whatever a subscriber's filter matches, one of them matches.

        At most MAX_FILTERS, of MAX_FILTERS_BYTES together. If not all filters fit, the last summary is widened by the
        added ones; with `narrow` it is rebuilt from the present filters.
        """
        base_boxes, added_boxes, self._cover, self._added = self._cover, self._added, None, []
        if (filters := self._exact()) is not None:
            return filters
        if len(self._boxes) > MAX_BOXES:
            return self._common()
        if narrow or base_boxes is None or len(self._boxes) > REBUILD_GROWTH * self._rebuilt_from:
            base_boxes, added_boxes, self._rebuilt_from = list(self._boxes), [], len(self._boxes)
        self._cover = cover.reduce_boxes([*base_boxes, *added_boxes], MAX_FILTERS, MAX_FILTERS_BYTES)
        return tuple(sorted(text(cover.predicate(box)) for box in self._cover))

    def _exact(self) -> tuple[str, ...] | None:
        """Return all filters, if they fit."""
        if len(self._texts) <= MAX_COMPARED_FILTERS:
            texts = sorted(self._texts)
            predicates = {filter_text: parse(filter_text) for filter_text in texts}
            for filter_text in texts:  # drop a filter that another one covers
                if any(
                    covers(predicates[other], predicates[filter_text]) for other in predicates if other != filter_text
                ):
                    del predicates[filter_text]
            if sum(len(filter_text.encode()) for filter_text in predicates) <= MAX_FILTERS_BYTES:
                return tuple(predicates)
        elif len(self._texts) <= MAX_FILTERS and self._bytes <= MAX_FILTERS_BYTES:
            return tuple(sorted(self._texts))
        return None

    def _common(self) -> tuple[str, ...]:
        """Return, by kind of event, what all filters have in common."""
        kinds = {kind: counts for kind, counts in self._kinds.items() if counts.terms}
        if ANY_KIND in kinds:
            return ("TRUE",)
        return tuple(counts.summary(kind, MAX_FILTERS_BYTES // len(kinds)) for kind, counts in sorted(kinds.items()))


def parse_summary(filters: tuple[str, ...]) -> Predicate:
    """Return the predicate of a summary; FilterError if a filter can't be parsed."""
    return any_of(*[parse(part) for part in filters])
