"""Model check of leases: two candidates and one receiver, every order of grants, renewals, and lost or late messages.

The table and the fence are the program's; the holders' rules are modelled in ticks. Clocks run at the same rate, except
that one of them may miss one tick, which models the drift. A suspended node takes no steps while others do, so its late
actions are covered.
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
SHORT, LONG = (1, 1), (2, 1)  # commands sent by each node
IS_LONG_RUN = os.environ.get("FROSTSPINDLE_MODEL") == "long"  # runs for a minute
Request = tuple[str, int, int, int, int]  # kind, version seen (token, renewals), number, and age in ticks


@dataclass(frozen=True, slots=True)
class Node:
    token: int = 0
    left: int = 0  # ticks until its own expiry
    seen: tuple[int, int, str] = (0, 0, "")  # token, renewals, holder
    observed: int = 0  # ticks for which the seen row was observed unchanged
    pending: tuple[Request, ...] = ()  # in flight; all but the last were reported as of unknown outcome
    committed_age: int = -1  # age of its last committed command that is not applied here yet
    number: int = 0
    released: int = 0  # the token that it released: a renewal committed after that must not restore the lease
    checked: int = 0  # the token of the lease that it has checked and is about to send under


@dataclass(frozen=True, slots=True)
class State:
    """Initially the first node holds the task."""

    nodes: tuple[Node, Node] = (Node(1, LEASE, (1, 0, "a")), Node(seen=(1, 0, "a")))
    row: tuple[int, int, str] = (1, 0, "a")
    last: tuple[int, int] = (0, 0)  # last command numbers seen by the table
    index: int = 1
    highest: int = 0  # at the receiver
    has_missed_tick: bool = False
    fault: str = ""

    def with_node(self, n: int, node: Node, **changes) -> State:
        return replace(self, nodes=(node, self.nodes[1]) if n == 0 else (self.nodes[0], node), **changes)


def tick(node: Node, wait: int, may_send: bool) -> Node:
    """`may_send`: the node still sends commands, so that its observed time matters."""
    return replace(
        node,
        left=max(0, node.left - 1),
        observed=min(wait, node.observed + 1) if may_send else 0,
        pending=tuple((*request[:4], min(LEASE, request[4] + 1)) for request in node.pending),
        committed_age=min(LEASE, node.committed_age + 1) if node.committed_age >= 0 else -1,
    )


def commit(s: State, n: int, request: Request) -> tuple[tuple[int, int, str], bool]:
    """Apply the command to the program's table; return the row and whether the command succeeded."""
    table = LeaseTable()
    if s.row[2]:
        table.rows["x"] = LeaseRow(s.row[2], 1, s.row[0], s.row[1], 1_000)
    table._seen = {("a", 1): s.last[0], ("b", 1): s.last[1]}
    kind, token, renewals, number, _ = request
    command = RenewLeases(
        "ab"[n],
        1,
        number,
        1_000,
        [("x", token, renewals)] if kind == "take" else [],
        [("x", token)] if kind == "renew" else [],
        [("x", token)] if kind == "drop" else [],
    )
    result = lease_table.decode_result(table.apply(s.index + 1, lease_table.encode(command)))
    row = table.rows.get("x")
    return (row.token, row.renewals, row.holder) if row else (0, 0, ""), not result.reason and any(
        result.acquisitions + result.renewals + result.releases
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


def steps(max_commands: tuple[int, int], wait: int, fenced: bool = True, keeps_released: bool = True):
    """`keeps_released`: a late renewal does not restore a released lease."""

    def of(s: State):
        ticked = tuple(tick(node, wait, node.number < limit) for node, limit in zip(s.nodes, max_commands, strict=True))
        yield "tick", replace(s, nodes=ticked)
        if not s.has_missed_tick:
            yield "miss", replace(s, nodes=(s.nodes[0], ticked[1]), has_missed_tick=True)
        for n, node in enumerate(s.nodes):
            if node.number < max_commands[n]:
                request_tail, number = (*node.seen[:2], node.number + 1, 0), node.number + 1
                if not node.seen[2] or node.seen[2] != "ab"[n] and node.observed >= wait:
                    yield (
                        f"take {n}",
                        s.with_node(n, replace(node, pending=(*node.pending, ("take", *request_tail)), number=number)),
                    )
                elif node.seen[2] != "ab"[n]:  # an acquisition of a held task as if it were free
                    bid = "take", 0, 0, number, 0
                    yield f"bid {n}", s.with_node(n, replace(node, pending=(*node.pending, bid), number=number))
                elif node.seen[2] == "ab"[n]:
                    yield (
                        f"renew {n}",
                        s.with_node(n, replace(node, pending=(*node.pending, ("renew", *request_tail)), number=number)),
                    )
                    yield (
                        f"drop {n}",
                        s.with_node(
                            n,
                            replace(
                                node,
                                pending=(*node.pending, ("drop", *request_tail)),
                                number=number,
                                token=0,
                                left=0,
                                released=node.seen[0],
                            ),
                        ),
                    )
            for request in node.pending:
                row, done = commit(s, n, request)
                rest = tuple(other for other in node.pending if other[3] > request[3])  # earlier ones are rejected
                if done:
                    committed_age = request[4] if request[0] != "drop" else node.committed_age
                    yield (
                        f"commit {n}",
                        s.with_node(
                            n,
                            replace(node, pending=rest, committed_age=committed_age),
                            row=row,
                            index=s.index + 1,
                            last=tuple(request[3] if m == n else s.last[m] for m in (0, 1)),
                        ),
                    )
            if node.seen != s.row:
                is_own = s.row[2] == "ab"[n] and (s.row[0] != node.released or not keeps_released)
                left = max(0, LEASE - node.committed_age) if is_own and node.committed_age >= 0 else 0
                yield (
                    f"apply {n}",
                    s.with_node(
                        n,
                        replace(
                            node, seen=s.row, observed=0, token=s.row[0] if is_own else 0, left=left, committed_age=-1
                        ),
                    ),
                )
            if node.left > 0 and node.checked != node.token:
                yield f"look {n}", s.with_node(n, replace(node, checked=node.token))
            if node.checked:
                after = s.with_node(n, replace(node, checked=0))
                if not fenced or accepts(s.highest, node.checked):
                    yield (
                        f"accepted {n}",
                        replace(
                            after,
                            highest=max(s.highest, node.checked),
                            fault=(
                                f"{node.checked} was accepted after {s.highest}" if node.checked < s.highest else ""
                            ),
                        ),
                    )
                else:
                    yield f"refused {n}", after

    return of


def check(s: State) -> str | None:
    if s.nodes[0].left and s.nodes[1].left:
        return "two leases at once"
    return s.fault or None


def test_no_stale_action_and_no_two_holders_in_any_order():
    result = explore(State(), steps(LONG if IS_LONG_RUN else SHORT, LEASE + 1), check, 400_000)
    assert result.holds, str(result)
    assert all(
        result.labels[label] for label in ("take", "bid", "renew", "drop", "commit", "refused", "accepted", "miss")
    )


@pytest.mark.parametrize(
    "max_commands, options, fault",
    (
        (SHORT, (LEASE + 1, False), "was accepted after"),  # no fence
        (SHORT, (LEASE,), "two leases at once"),  # a wait that does not cover the drift
        # A late renewal restores a released lease.
        pytest.param(
            LONG, (LEASE + 1, True, False), "two leases at once", marks=pytest.mark.skipif(not IS_LONG_RUN, reason="")
        ),
    ),
)
def test_without_a_guard_a_shortest_trace_to_the_fault_is_found(max_commands, options, fault):
    result = explore(State(), steps(max_commands, *options), check, 400_000)
    assert result.trace is not None and fault in result.fault, str(result)
