"""Measures the cost of a log line: made with orjson alone, by telemetry.py, and by structlog's usual processor chain.

    python bench/log_cost.py [ROUNDS]

Prints one JSON object: CPU microseconds per line (medians), ratios within a round, and the additional resident MB of a
coordinator with each library loaded.
"""

from __future__ import annotations

import io
import json
import subprocess
import sys
import time
from statistics import median
from typing import Any

import orjson
import structlog

from frostspindle import telemetry

LINES = 5000
SERVING = "import frostspindle.config, frostspindle.core, frostspindle.net.engines, frostspindle.net.platform\n"
RESIDENT = "print(int(open('/proc/self/statm').read().split()[1]) * 4096 / 2**20)"


class NullSink(io.RawIOBase):
    """A sink that discards all data."""

    def write(self, data: Any) -> int:
        """Discard the data and return its length."""
        return len(data)


def orjson_logger(sink: NullSink) -> Any:
    """Return a log function that writes a JSON line with orjson alone."""

    def log(event: str, **fields: Any) -> None:
        line = {"ts": round(time.time(), 3), "node": "n", "event": event, **fields}
        sink.write(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
        sink.flush()

    return log


def structlog_logger(sink: NullSink) -> Any:
    """Return the log function of the processor chain that structlog's performance guide recommends."""
    logger = structlog.wrap_logger(
        structlog.BytesLogger(sink),
        wrapper_class=structlog.make_filtering_bound_logger(20),
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(),
            structlog.processors.JSONRenderer(orjson.dumps),
        ],
        node="n",
    )
    return logger.bind().info


def cost_us(log: Any) -> float:
    """Return the mean CPU microseconds per line, over LINES lines."""
    started = time.process_time()
    for number in range(LINES):
        log("worker_relay_failed", owner=number, error="the owner ended its connection")
    return (time.process_time() - started) / LINES * 1e6


def resident_mb(code: str) -> float:
    """Return the resident memory (MB, assuming 4 KiB pages) of a new interpreter after running the code."""
    return float(subprocess.run([sys.executable, "-c", f"{code}\n{RESIDENT}"], check=True, capture_output=True).stdout)


def main() -> None:
    """Measure the loggers alternately, then the sets of imports; print one JSON object."""
    rounds = int((sys.argv[1:] or ["9"])[0])
    telemetry.MAX_LINES_PER_S = 1 << 60
    sink = NullSink()
    loggers = {
        "hand": orjson_logger(sink),
        "events": telemetry.Telemetry("n", sink).log,
        "usual": structlog_logger(sink),
    }
    line_costs = [{name: cost_us(with_structlog) for name, with_structlog in loggers.items()} for _ in range(rounds)]
    # telemetry.py imports structlog: the baseline process gets a stub of it.
    stub_structlog = (
        "import sys, types\nfake = types.ModuleType('structlog'); fake.BoundLoggerBase = object\n"
        "fake.typing = types.ModuleType('structlog.typing'); fake.typing.EventDict = dict\n"
        "sys.modules.update({'structlog': fake, 'structlog.typing': fake.typing})\n"
    )
    memory = []
    for _ in range(rounds):
        without_mb, with_structlog = resident_mb(stub_structlog + SERVING), resident_mb(SERVING)
        memory.append(
            (
                without_mb,
                with_structlog - without_mb,
                resident_mb(SERVING + "import prometheus_client") - with_structlog,
            )
        )
    print(
        json.dumps(
            {
                "us_a_line": {name: round(median(row[name] for row in line_costs), 2) for name in loggers},
                "times_hand": {
                    name: round(median(row[name] / row["hand"] for row in line_costs), 2) for name in loggers
                },
                "mb": dict(
                    zip(
                        ("without", "structlog", "prometheus_client"),
                        (round(median(column), 2) for column in zip(*memory, strict=True)),
                        strict=True,
                    )
                ),
            }
        )
    )


if __name__ == "__main__":
    main()
