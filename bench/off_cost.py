"""What a new part costs while it is off: one process of an earlier checkout against one of this one, in turn.

    python bench/off_cost.py EARLIER_CHECKOUT [ROUNDS]

The checkout is another working copy of this repository; both run on this interpreter's libraries.
"""

from __future__ import annotations

import sys
from statistics import median

from frostspindle.lab.bench import engines, one


def main() -> None:
    earlier, rounds = sys.argv[1], int((sys.argv[2:] or ["5"])[0])
    with engines([f"s-{n:08x}" for n in range(1, 5)], 0.0, 2) as (ports, _):
        pairs = []
        for turn in range(rounds):
            sources = [earlier, None] if turn % 2 else [None, earlier]
            runs = {source: one(1, 2, 32, ports, 3.0, source) for source in sources}
            pairs.append((runs[earlier], runs[None]))
    for key in ("cpu_ms", "rps", "p99_ms", "rss_mb"):
        ratios = sorted(now[key] / before[key] for before, now in pairs)
        print(f"{key:<7} now/earlier: median {median(ratios):.3f}, {ratios[0]:.3f} to {ratios[-1]:.3f}")


if __name__ == "__main__":
    main()
