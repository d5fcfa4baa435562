"""Agreement on engines and bans between coordinators: by the rules for a quorum of seeds, else by the safest.

Owns the rules that `state.TABLE` names. It must never do I/O, and never let one word put an engine to use that another
holds for draining, gone or banned, unless enough of the seeds say so.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from frostspindle.recovery import state_kinds
from frostspindle.recovery.state_kinds import ConflictRule
from frostspindle.recovery.wire import BanStatement, ListedEngine

GONE, READY, DRAINING = range(3)  # of the engine list, see frostspindle.policy.Health
MOST_BANS = 1_000
FORGET_MS = 7 * 86_400_000.0  # a ban that was ended so long ago is not told any more
RAN_MS = 10_000.0  # who runs for less may have lost power with us


@dataclass(slots=True, frozen=True)
class MemberReport:
    """What one coordinator holds of engines, as it answers in a recovery."""

    maker: str
    number: int  # of the last event of the bus that it heard
    engines: Mapping[str, ListedEngine]
    firm: bool = False  # it runs, past its own agreement
    blank: bool = False  # its store was lost, so that its silence on a ban says nothing
    up_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class AgreedState:
    """Outcome of an agreement. `list`: the engine list to be taken whole, if its number is higher than the one here.

    `withheld`: engines to leave out; `banned`: this coordinator's own bans; `starts`: of engines known to have run on,
    when they started (Unix ms). All other engines are cold.
    """

    enough: bool
    number: int
    list: tuple[ListedEngine, ...] = ()
    withheld: frozenset[str] = frozenset()
    banned: frozenset[str] = frozenset()
    starts: Mapping[str, float] = field(default_factory=dict)


class BanTable:
    """All coordinators' bans by hand: the newest statement by maker and engine."""

    def __init__(self, words: Iterable[BanStatement] = ()) -> None:
        self.words: dict[tuple[str, str], BanStatement] = {}
        for word in words:
            self.hear(word)

    def hear(self, word: BanStatement) -> bool:
        """Take a statement; return whether it was news.

        Of two of one moment the ban wins. Full: the oldest lifted ban makes room, else it is not taken.
        """
        key = word.maker, word.engine
        old = self.words.get(key)
        if old is not None and (old.at_ms, old.on) >= (word.at_ms, word.on):
            return False
        if old is None and len(self.words) >= MOST_BANS:
            ended = [k for k, w in self.words.items() if not w.on]
            if not ended:
                return False
            del self.words[min(ended, key=lambda k: self.words[k].at_ms)]
        self.words[key] = word
        return True

    def prune(self, unix: float) -> list[tuple[str, str]]:
        """Remove bans lifted more than FORGET_MS before `unix` (Unix ms); return their makers and engines.

        Bans in force stay.
        """
        old = [key for key, word in self.words.items() if not word.on and unix - word.at_ms > FORGET_MS]
        for key in old:
            del self.words[key]
        return old

    def of(self, maker: str) -> frozenset[str]:
        """Return the engines that this coordinator bans."""
        return frozenset(engine for (by, engine), word in self.words.items() if by == maker and word.on)

    def anybody(self) -> frozenset[str]:
        """Return the engines that any coordinator bans."""
        return frozenset(engine for (_, engine), word in self.words.items() if word.on)


def _highest(words: list[MemberReport]) -> MemberReport:
    return max(words, key=lambda word: (word.number, bool(word.engines), word.firm, word.maker))


def _safest(words: list[MemberReport]) -> frozenset[str]:
    """Engines to leave out: those that not all have, or that drain for anybody."""
    lists = [word.engines for word in words if word.engines]
    names = {name for engines in lists for name in engines}
    return frozenset(
        name for name in names if any(name not in engines or engines[name].health != READY for engines in lists)
    )


_BANNED: dict[ConflictRule, Callable[[BanTable, str], frozenset[str]]] = {
    ConflictRule.NEWEST: lambda bans, name: bans.of(name),
    ConflictRule.UNION: lambda bans, name: bans.anybody(),
}


def enough(words: Iterable[MemberReport], seeds: Iterable[str]) -> bool:
    """Tell whether more than half of the seeds answered with what they kept or hold.

    One whose store was lost does not count.
    """
    among = frozenset(seeds)
    return 2 * len({word.maker for word in words if word.maker in among and not word.blank}) > len(among)


def agree(name: str, words: list[MemberReport], bans: BanTable, seeds: Iterable[str]) -> AgreedState:
    """Settle what `words` (this coordinator's among them) and `bans` (of all of them) say, for the coordinator `name`,
    by the rules of `state.TABLE`.
    """
    are = enough(words, seeds)
    heard = [word for word in words if not word.blank] or words
    best = _highest(heard)
    withheld: frozenset[str] = frozenset()
    listed: tuple[ListedEngine, ...] = ()
    if state_kinds.rule("engines", are) is ConflictRule.HIGHEST:
        listed = tuple(best.engines.values())
    else:
        withheld = _safest(heard)
        usable = {n for n, e in best.engines.items() if e.health == READY} - withheld
        if not usable:  # nothing is in all lists: one that leaves nothing to serve with is of no use
            withheld = frozenset(n for w in heard for n, e in w.engines.items() if e.health != READY)
    banned = _BANNED[state_kinds.rule("bans", are)](bans, name)
    if not are:
        withheld |= banned
        banned = bans.of(name)
    starts: dict[str, float] = {}
    if state_kinds.rule("warmth", are) is ConflictRule.WARMEST_KNOWN:
        ran = [w for w in words if w.firm and w.up_ms >= RAN_MS and w.maker != name]
        among = frozenset(seeds)
        if 2 * sum(w.maker in among for w in ran) > len(among):  # they saw the engines run on through our loss
            refuses = {engine.name for word in ran for engine in word.engines.values() if not engine.ran}
            for word in ran:
                for engine in word.engines.values():
                    if engine.name not in refuses:  # who was turned away by one saw that it did not run on
                        starts[engine.name] = max(starts.get(engine.name, 0.0), engine.born_ms)
    return AgreedState(are, best.number, listed, withheld, banned, starts)


def cold(
    listed: Mapping[str, float], starts: Mapping[str, float], beat_ms: float | None, clean: bool
) -> frozenset[str]:
    """Return the engines that must be taken for cold as of now.

    `listed`: each engine's start as the list has it, Unix ms; `beat_ms`: when our last process was last known to live
    (None: not known); `clean`: it ended in good order, and no power was lost.
    """
    if clean:
        return frozenset()
    return frozenset(
        name for name, born in listed.items() if name not in starts and (beat_ms is None or born <= beat_ms)
    )
