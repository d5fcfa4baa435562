"""Two candidates, one receiver: every order of grants, renewals, pauses, lost and late commands and late actions.

The table and the fence are the program's; the holders are its rules in ticks. Clocks run alike but for one tick that
one of them may miss: the drift. A node that is stopped takes no steps while others do, so its late acts are in it.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, replace

import pytest

from frostspindle.lab.explore import explore
from frostspindle.ownership import lease_table
from frostspindle.ownership.fence import StaleTokenError, TokenFence
from frostspindle.ownership.lease_table import LeaseRow, LeaseTable, RenewLeases

LEASE = 2  # ticks
SHORT, LONG = (1, 1), (2, 1)  # commands that each of them sends
MODEL = os.environ.get("FROSTSPINDLE_MODEL") == "long"  # a minute
Asked = tuple[str, int, int, int, int]  # what, the version that was seen, its number, and its age in ticks


@dataclass(frozen=True, slots=True)
class Node:
    token: int = 0
    left: int = 0  # ticks until the own end
    seen: tuple[int, int, str] = (0, 0, "")  # token, renewals, holder
    watched: int = 0
    open: tuple[Asked, ...] = ()  # under way; of all but the last the outcome was given up
    made: int = -1  # the age of the last own command that came to be and was not applied here
    number: int = 0
    gone: int = 0  # the token that it has given up: a renewal that comes to be after that brings nothing back
    armed: int = 0  # it has looked at its lease and is about to send


@dataclass(frozen=True, slots=True)
class State:
    """At the start the first holds the task."""

    nodes: tuple[Node, Node] = (Node(1, LEASE, (1, 0, "a")), Node(seen=(1, 0, "a")))
    row: tuple[int, int, str] = (1, 0, "a")
    last: tuple[int, int] = (0, 0)  # the numbers that the table has seen
    index: int = 1
    highest: int = 0  # at the receiver
    missed: bool = False
    fault: str = ""

    def put(self, n: int, node: Node, **more) -> State:
        return replace(self, nodes=(node, self.nodes[1]) if n == 0 else (self.nodes[0], node), **more)


def tick(node: Node, wait: int, may: bool) -> Node:
    """`may`: it still asks for something, so that what it has watched matters."""
    return replace(
        node,
        left=max(0, node.left - 1),
        watched=min(wait, node.watched + 1) if may else 0,
        open=tuple((*asked[:4], min(LEASE, asked[4] + 1)) for asked in node.open),
        made=min(LEASE, node.made + 1) if node.made >= 0 else -1,
    )


def commit(s: State, n: int, asked: Asked) -> tuple[tuple[int, int, str], bool]:
    """The program's table, given the command."""
    t = LeaseTable()
    if s.row[2]:
        t.rows["x"] = LeaseRow(s.row[2], 1, s.row[0], s.row[1], 1_000)
    t._seen = {("a", 1): s.last[0], ("b", 1): s.last[1]}
    what, token, renewals, number, _ = asked
    ask = RenewLeases(
        "ab"[n],
        1,
        number,
        1_000,
        [("x", token, renewals)] if what == "take" else [],
        [("x", token)] if what == "renew" else [],
        [("x", token)] if what == "drop" else [],
    )
    said = lease_table.decode_result(t.apply(s.index + 1, lease_table.encode(ask)))
    row = t.rows.get("x")
    return (row.token, row.renewals, row.holder) if row else (0, 0, ""), not said.reason and any(
        said.acquisitions + said.renewals + said.releases
    )


def accepts(highest: int, token: int) -> bool:
    fence = TokenFence()
    if highest:
        fence.check("x", highest)
    try:
        fence.check("x", token)
    except StaleTokenError:
        return False
    return True


def steps(asks: tuple[int, int], wait: int, fenced: bool = True, keeps: bool = True):
    """`keeps`: what was given up stays so."""

    def of(s: State):
        ticked = tuple(tick(node, wait, node.number < most) for node, most in zip(s.nodes, asks, strict=True))
        yield "tick", replace(s, nodes=ticked)
        if not s.missed:
            yield "miss", replace(s, nodes=(s.nodes[0], ticked[1]), missed=True)
        for n, node in enumerate(s.nodes):
            if node.number < asks[n]:
                ask, number = (*node.seen[:2], node.number + 1, 0), node.number + 1
                if not node.seen[2] or node.seen[2] != "ab"[n] and node.watched >= wait:
                    yield f"take {n}", s.put(n, replace(node, open=(*node.open, ("take", *ask)), number=number))
                elif node.seen[2] != "ab"[n]:  # a take of what is held as if it were free
                    bid = "take", 0, 0, number, 0
                    yield f"bid {n}", s.put(n, replace(node, open=(*node.open, bid), number=number))
                elif node.seen[2] == "ab"[n]:
                    yield f"renew {n}", s.put(n, replace(node, open=(*node.open, ("renew", *ask)), number=number))
                    yield (
                        f"drop {n}",
                        s.put(
                            n,
                            replace(
                                node,
                                open=(*node.open, ("drop", *ask)),
                                number=number,
                                token=0,
                                left=0,
                                gone=node.seen[0],
                            ),
                        ),
                    )
            for asked in node.open:
                row, done = commit(s, n, asked)
                rest = tuple(other for other in node.open if other[3] > asked[3])  # the others were overtaken
                if done:
                    made = asked[4] if asked[0] != "drop" else node.made
                    yield (
                        f"commit {n}",
                        s.put(
                            n,
                            replace(node, open=rest, made=made),
                            row=row,
                            index=s.index + 1,
                            last=tuple(asked[3] if m == n else s.last[m] for m in (0, 1)),
                        ),
                    )
            if node.seen != s.row:
                own = s.row[2] == "ab"[n] and (s.row[0] != node.gone or not keeps)
                left = max(0, LEASE - node.made) if own and node.made >= 0 else 0
                yield (
                    f"apply {n}",
                    s.put(n, replace(node, seen=s.row, watched=0, token=s.row[0] if own else 0, left=left, made=-1)),
                )
            if node.left > 0 and node.armed != node.token:
                yield f"look {n}", s.put(n, replace(node, armed=node.token))
            if node.armed:
                after = s.put(n, replace(node, armed=0))
                if not fenced or accepts(s.highest, node.armed):
                    yield (
                        f"accepted {n}",
                        replace(
                            after,
                            highest=max(s.highest, node.armed),
                            fault=(f"{node.armed} was accepted after {s.highest}" if node.armed < s.highest else ""),
                        ),
                    )
                else:
                    yield f"refused {n}", after

    return of


def check(s: State) -> str | None:
    if s.nodes[0].left and s.nodes[1].left:
        return "two leases at once"
    return s.fault or None


def test_no_stale_action_is_accepted_and_no_two_hold_in_any_order():
    found = explore(State(), steps(LONG if MODEL else SHORT, LEASE + 1), check, 400_000)
    assert found.holds, str(found)
    assert all(found.labels[word] for word in ("take", "bid", "renew", "drop", "commit", "refused", "accepted", "miss"))


@pytest.mark.parametrize(
    "asks, said, fault",
    (
        (SHORT, (LEASE + 1, False), "was accepted after"),  # no fence
        (SHORT, (LEASE,), "two leases at once"),  # a wait that does not cover the drift
        # A late renewal brings back what was given up.
        pytest.param(
            LONG, (LEASE + 1, True, False), "two leases at once", marks=pytest.mark.skipif(not MODEL, reason="")
        ),
    ),
)
def test_without_a_guard_a_shortest_way_to_the_harm_is_found(asks, said, fault):
    found = explore(State(), steps(asks, *said), check, 400_000)
    assert found.trace is not None and fault in found.fault, str(found)
