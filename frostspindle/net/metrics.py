"""The figures of `show-stat` in Prometheus text format, for the operators' call `metrics`.

Defines the metric families and maps the figures to them; it counts nothing itself. Import it only if `metrics` is
enabled, as the library needs memory. No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric

PREFIX = "frostspindle_"
# For each family: its key in `show-stat`, whether it is a counter, its name, and its help text.
PROCESS_METRICS = (
    ("backend_calls", True, "backend_calls", "Attempts that were written whole to engines."),
    ("inflight", False, "inflight", "Requests taken and not yet ended."),
    ("hosts_listed", False, "hosts_listed", "Engines in the list."),
    ("hosts_down", False, "hosts_down", "Listed engines that get no work now."),
    ("held_bytes", False, "held_bytes", "Memory held for clients: open requests and results."),
    ("held_limit", False, "held_limit_bytes", "Memory that may be held for clients; beyond it requests are refused."),
)
WORKER_METRICS = (
    ("restarts", True, "worker_restarts", "Times that the worker was started again."),
    ("taken", True, "worker_taken", "Requests that the worker took."),
    ("inflight", False, "worker_inflight", "Requests of the worker that have not yet ended."),
    ("clients", False, "worker_clients", "Connections that clients hold to the worker."),
    ("sockets", False, "worker_sockets", "Descriptors that are the worker's share."),
    ("held_bytes", False, "worker_held_bytes", "Memory that the worker holds for clients."),
)


class _Figures:
    """A collector for the figures of one call."""

    def __init__(self, figures: Mapping[str, Any]) -> None:
        self.figures = figures

    def collect(self) -> Iterator[Metric]:
        calls = CounterMetricFamily(
            PREFIX + "calls", "Requests by class and end, of all fronts.", labels=("class", "end")
        )
        for name, row in self.figures["calls"].items():
            for end, count in row.items():
                calls.add_metric((name, end), count)
        yield calls
        for key, is_counter, name, text in PROCESS_METRICS:
            yield (CounterMetricFamily if is_counter else GaugeMetricFamily)(
                PREFIX + name, text, value=self.figures[key]
            )
        for key, is_counter, name, text in WORKER_METRICS if "workers" in self.figures else ():
            family = (CounterMetricFamily if is_counter else GaugeMetricFamily)(PREFIX + name, text, labels=("worker",))
            for row in self.figures["workers"]:
                family.add_metric((str(row["worker"]),), row[key])
            yield family


def text(figures: Mapping[str, Any]) -> bytes:
    """Return `figures`, as in `show-stat`, in the Prometheus text format 0.0.4, with a final comment `# EOF`."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Figures(figures))  # type: ignore[arg-type]
    return generate_latest(registry) + b"# EOF\n"
