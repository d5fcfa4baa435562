"""The operators' call `metrics`: the figures of `show-stat`, parsed by prometheus_client."""

import json
import subprocess
import sys

import pytest
from peers import EdgeCase, settings
from prometheus_client.parser import text_string_to_metric_families

from frostspindle import config as configuration
from frostspindle.config import ConfigError

FIGURES = {
    "calls": {'look"up\n': {"success": 5, "busy": 2, "failure": 1}},
    "backend_calls": 7,
    "inflight": 3,
    "hosts_listed": 4,
    "hosts_down": 1,
    "held_bytes": 70_000,
    "held_limit": 37_748_736,
    "workers": [
        {
            "worker": 0,
            "pid": 77,
            "state": "serving",
            "restarts": 2,
            "inflight": 1,
            "clients": 9,
            "sockets": 50,
            "held_bytes": 65_000,
            "taken": 6,
        }
    ],
}


def read(text):
    """Return each sample's value by its name and labels."""
    return {
        (sample.name.removeprefix("frostspindle_"), *sample.labels.values()): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if not sample.name.endswith("_created")
    }


def test_all_figures_are_exported():
    from frostspindle.net import metrics

    found = read(metrics.text(FIGURES).decode())
    assert found == {
        ("calls_total", 'look"up\n', "success"): 5,
        ("calls_total", 'look"up\n', "busy"): 2,
        ("calls_total", 'look"up\n', "failure"): 1,
        ("backend_calls_total",): 7,
        ("inflight",): 3,
        ("hosts_listed",): 4,
        ("hosts_down",): 1,
        ("held_bytes",): 70_000,
        ("held_limit_bytes",): 37_748_736,
        ("worker_restarts_total", "0"): 2,
        ("worker_taken_total", "0"): 6,
        ("worker_inflight", "0"): 1,
        ("worker_clients", "0"): 9,
        ("worker_sockets", "0"): 50,
        ("worker_held_bytes", "0"): 65_000,
    }


class MetricsCall(EdgeCase):
    async def test_metrics_match_show_stat(self):
        await self.start(operator="metrics = true")
        self.assertEqual((await self.ask())[0], 200)
        stat = json.loads((await self.operate("show-stat"))[0])
        lines = await self.operate("metrics")
        found = read("\n".join(lines) + "\n")
        self.assertEqual(lines[-1], "# EOF")
        self.assertEqual(
            {key: stat[key] for key in ("inflight", "hosts_listed", "hosts_down")},
            {key: found[key,] for key in ("inflight", "hosts_listed", "hosts_down")},
        )
        self.assertEqual(found["backend_calls_total",], stat["backend_calls"])
        self.assertEqual(
            {(name, end): n for name, row in stat["calls"].items() for end, n in row.items()},
            {key[1:]: n for key, n in found.items() if key[0] == "calls_total"},
        )
        self.assertIn("NAK", (await self.operate("metrics now"))[0])


def test_prometheus_client_is_not_loaded_when_metrics_is_off():
    loaded = subprocess.run(
        [sys.executable, "-c", "import sys, frostspindle.program, frostspindle.cores.supervisor; print(*sys.modules)"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert "structlog" in loaded and not [name for name in loaded if name.startswith("prometheus") or "metrics" in name]


@pytest.mark.parametrize("desk, found, word", [("", True, "needs operator"), ("127.0.0.1:0", False, "needs the extra")])
def test_start_fails_if_metrics_cannot_be_served(tmp_path, monkeypatch, desk, found, word):
    (tmp_path / "c.json").write_text(
        json.dumps({"listen": "127.0.0.1:0", "seed": "1", "operator": desk, "settings": settings()})
    )
    (tmp_path / "o.toml").write_text("metrics = true")
    monkeypatch.setattr("importlib.util.find_spec", lambda name: found or None)
    with pytest.raises(ConfigError, match=f"metrics: {word}"):
        configuration.read({"LB_CONFIG": str(tmp_path / "c.json"), "FROSTSPINDLE_OPERATOR": str(tmp_path / "o.toml")})
