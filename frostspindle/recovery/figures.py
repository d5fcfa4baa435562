"""A recovery node's figures for the operators' port (`show-recovery`)."""

from __future__ import annotations

from frostspindle.recovery.node import RecoveryNode

MAX_WITHHELD_SHOWN = 64


def node_figures(node: RecoveryNode, now: float, unix_ms: float) -> dict[str, object]:
    """Return the figures; the keys are fixed by docs/recovery.md. `now` in ms monotonic; `unix_ms` is Unix time."""
    stages = node.stages
    journal = node.loads.journal
    return {
        "stage": stages.stage.name.lower(),
        "since_ms": round(now - stages.entered_at),
        "weak": sorted(stage.name.lower() for stage in stages.timed_out),
        "moves": [
            [transition.previous.name.lower(), transition.reason, transition.timed_out, round(transition.duration_ms)]
            for transition in stages.transitions
        ],
        "store": node.store.opened.verdict,
        "blank": node.store.lost,
        "generation": node.store.generation,
        "seeds_met": node.inputs.seeds_alive,
        "seeds": node.inputs.seed_count,
        "agreed": node.has_quorum,
        "withheld": sorted(node.agreed.withheld)[:MAX_WITHHELD_SHOWN] if node.agreed else [],
        "bans_known": len(node.bans.statements),
        "tickets": len(journal.records),
        "tickets_rest_ms": round(max(0.0, journal.cooldown_until_ms - unix_ms)),
        "claims_open": len(node.loads.claims.pending),
        "counted": dict(sorted(node.outputs.counters.items())),
    }
