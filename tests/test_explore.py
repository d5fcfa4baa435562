"""The exhaustive explorer, on a model of a lent right with and without a cooldown: faults and their shortest paths."""

from dataclasses import dataclass, replace

import pytest

from frostspindle.lab.explore import explore

LEASE, WINDOW = 2, 3  # ticks


@dataclass(frozen=True)
class LentRight:
    """A right that may be used once per window, and the remaining ticks of the timers of its two users."""

    lent: int = 0  # lender: until the loan ends
    cooldown: int = 0  # lender: until it may use the right itself
    held: int = 0  # borrower: until its loan ends
    borrower_cooldown: int = 0  # borrower: until it may use the right again
    ticks_since_use: int = WINDOW  # ticks since the last use, at most WINDOW
    overused: bool = False  # the right was used twice in a window
    down: bool = False  # the borrower has crashed and does not restart

    def used(self, **changes):
        return replace(self, ticks_since_use=0, overused=self.overused or self.ticks_since_use < WINDOW, **changes)


def steps(cooldown):
    def next_steps(state):
        timers = {name: max(0, getattr(state, name) - 1) for name in ("lent", "cooldown", "held", "borrower_cooldown")}
        ended = state.lent == 1
        yield (
            "tick",
            replace(
                state,
                **timers | ({"cooldown": cooldown} if ended else {}),
                ticks_since_use=min(WINDOW, state.ticks_since_use + 1),
            ),
        )
        if not state.lent and not state.cooldown:
            yield "use lender", state.used(cooldown=WINDOW)
            yield "lend", replace(state, lent=LEASE, held=0 if state.down else LEASE)
            yield "lend lost", replace(state, lent=LEASE)
        if state.held and not state.borrower_cooldown:
            yield "use borrower", state.used(borrower_cooldown=WINDOW)
        if not state.down:
            yield "crash", replace(state, held=0, borrower_cooldown=0, down=True)

    return next_steps


def check(state):
    return "used twice in a window" if state.overused else None


def test_missing_cooldown_is_found_with_a_shortest_path_and_with_the_cooldown_the_model_holds():
    faulty = explore(LentRight(), steps(0), check, 10_000)
    assert not faulty.holds and not faulty.exhausted and faulty.fault == "used twice in a window"
    assert sorted(label for label, _ in faulty.trace) == ["lend", "start", "tick", "tick", "use borrower", "use lender"]
    assert faulty.trace[0][1] == LentRight() and faulty.trace[-1][1].overused and "5. use lender" in str(faulty)
    complete = explore(LentRight(), steps(WINDOW), check, 10_000)
    assert complete.holds and complete.trace is None, str(complete)
    assert complete.labels["use"] and complete.labels["crash"] and complete.unfollowed == 0
    # A key that makes states equal, and a key of mutable states.
    merged = explore(LentRight(), steps(WINDOW), check, 10_000, key=lambda s: replace(s, down=False))
    assert merged.holds and merged.states < complete.states
    lists = explore([0], lambda s: [("add", [*s[:-1], s[-1] + 1])] if s[-1] < 5 else [], lambda s: None, 9, key=tuple)
    assert lists.holds and (lists.states, lists.depth) == (6, 5)


@pytest.mark.parametrize("limit", (1, 7, "all but one"))
def test_a_search_that_reached_its_limit_never_holds(limit):
    state_count = explore(LentRight(), steps(WINDOW), check, 10_000).states
    bounded = explore(LentRight(), steps(WINDOW), check, state_count - 1 if limit == "all but one" else limit)
    assert (
        not bounded.exhausted and not bounded.holds and bounded.unfollowed and str(bounded).startswith("NOT EXHAUSTED")
    )
    assert explore(LentRight(), steps(WINDOW), check, state_count).holds  # a limit of all states suffices
    with pytest.raises(ValueError):
        explore(LentRight(), steps(WINDOW), check, 0)


def test_a_stuck_state_and_an_exception_are_reported_with_their_path():
    def walk(n):  # 3 is stuck: its only step leads to itself
        yield from {0: [("a", 1), ("b", 2)], 1: [("over", 2)], 2: [("fall", 3), ("c", 4)], 3: [("on", 3)]}.get(n, [])

    stuck = explore(0, walk, lambda n: None, 10, goal=lambda n: n == 4)
    assert stuck.exhausted and not stuck.holds and [label for label, _ in stuck.trace] == ["start", "b", "fall"]
    assert explore(0, walk, lambda n: None, 10, goal=lambda n: n in (3, 4)).holds
    # Goals are not checked if the search was not exhausted.
    assert explore(0, walk, lambda n: None, 4, goal=lambda n: n == 4).trace is None
    with pytest.raises(ZeroDivisionError) as caught:
        explore(0, walk, lambda n: 1 // (n - 3) and None, 10)
    assert caught.value.__notes__ == ["after start, b"]
    assert explore(0, walk, lambda n: "bad" if n == 0 else None, 10).trace == [("start", 0)]
