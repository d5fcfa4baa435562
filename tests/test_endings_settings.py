"""Extreme and invalid settings: the coordinator serves each class, or names the key that it can't use."""

import json
import random
import re

import pytest
from peers import EdgeCase, change, host, page, settings

from frostspindle import config as configuration
from frostspindle.config import ConfigError

EFFECTS = ("repeatable", "by_key", "once")
SCOPES = ("all", "zone", "cell")
SEEDS = 24  # number of random configurations


def random_settings(seed):
    """Return random settings: any number and kind of classes, and limits from zero to large."""
    rng = random.Random(seed)
    count = rng.choice((1, 2, 5, 12, 40))

    def cls(index):
        deadline_ms = rng.choice((400.0, 3_000.0, 600_000.0))
        class_settings = {
            "name": f"q{index}-{rng.randrange(99)}",
            "effect": rng.choice(EFFECTS),
            "worth": rng.random() * 9,
            "promise": deadline_ms * rng.choice((0.01, 0.5, 1.0, 3.0)),
            "hardLimit": deadline_ms,
            "window": rng.choice((0.0, 1.0, 600_000.0)),
            "dedupScope": rng.choice(SCOPES),
        }
        for key, value in (
            ("aimStretch", 2.0),
            ("lateShare", 0.5),
            ("inOrder", True),
            ("unheard", {"of": [1]}),
            ("servedOn", [0]),
            ("failureDomainsOpen", [0, 1]),
        ):
            if rng.random() < 0.2:
                class_settings[key] = value
        return class_settings

    document = settings(
        categories=[cls(index) for index in range(count)],
        balancers=rng.choice((1, 200)),
        failureDomains=rng.choice((["floor-1"], ["floor-1", "floor-2"], [])),
        unheard=rng.choice((None, {}, [{"a": 1}], "x")),
    )
    document["domain"] |= {
        "classThreads": [rng.choice((1, 16)) for _ in range(count)],
        "classLoad": [rng.random() < 0.2 for _ in range(count)],
        "notePeriod": rng.choice((0.0, 1.0, 200.0)),
        "mostGrant": rng.choice((0.01, 0.4, 1.0)),
        "grants": rng.random() < 0.5,
        "priorities": rng.random() < 0.5,
        "whenShort": rng.choice(("wait", "shrink", "page")),
    }
    document["limits"] |= {
        "mostTries": rng.choice((1, 2, 50)),
        "dialTimeout": rng.choice((50.0, 250.0, 10_000.0)),
        "connIdle": rng.choice((0.0, 300.0, 15_000.0, 3_600_000.0)),
        "maxRetryAfter": rng.choice((0.0, 1_000.0)),
        "retryAfter": rng.random() < 0.5,
        "cancel": rng.random() < 0.5,
        "probes": rng.random() < 0.5,
    }
    document["rules"] |= {
        "stopSendingWithin": rng.choice((0.0, 250.0)),
        "warmWithin": rng.choice((0.0, 15_000.0)),
        "resendSpan": rng.choice((0.0, 1.0, 10_000.0)),
        "extraRatio": 0.1,
        "orderPause": rng.choice((0.0, 1_000.0)),
    }
    for key in rng.sample(("report", "rules", "failureDomains", "kinds", "me", "balancers"), rng.randrange(4)):
        del document[key]
    return document


def read(folder, document, **other_keys):
    path = folder / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:0", "settings": document, **other_keys}))
    return configuration.read({"LB_CONFIG": str(path)})


class Extremes(EdgeCase):
    async def test_each_class_is_served_with_random_settings(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                document = random_settings(seed)
                (engine,) = await self.engines()
                engine.script = lambda request, body: page("a\t1\tx\n") if request.method in ("POST", "GET") else None
                await self.coordinator(
                    [host("s-00000001", engine.port)], **document, **dict.fromkeys(settings().keys() - document.keys())
                )
                for number, cls in enumerate(document["categories"], 1):
                    status, body, _ = await self.ask(cls["name"], number, timeout=min(3_000.0, cls["hardLimit"]))
                    self.assertEqual((status, body), (200, {"rows": [["a", "1", "x"]]}), (number, cls))
                self.assertEqual(self.count("faults"), 0, self.log)


INVALID_VALUES = [
    ("categories", []),
    ("categories", "x"),
    ("categories", None),
    ("categories", [1]),
    ("categories", [{}]),
    ("categories.0.effect", "twice"),
    ("categories.0.effect", None),
    ("categories.0.promise", "soon"),
    ("categories.0.promise", 0),
    ("categories.0.promise", "nan"),
    ("categories.0.hardLimit", -1),
    ("categories.0.hardLimit", "inf"),
    ("categories.0.hardLimit", [1, 2]),
    ("categories.0.window", "x"),
    ("categories.0.window", -1),
    ("categories.0.inOrder", 1),
    ("categories.0.servedOn", ["a"]),
    ("categories.0.servedOn", ["nan"]),
    ("categories.0.failureDomainsOpen", ["inf"]),
    ("domain.classThreads", ["nan", 1]),
    ("domain.classThreads", ["inf", 1]),
    ("domain.classThreads", [0, 1]),
    ("domain.classThreads", ["x"]),
    ("domain.kindCores", [0]),
    ("domain.kindCores", ["nan"]),
    ("domain.kindCores", [-8]),
    ("domain.sizeMb", ["inf"]),
    ("domain.sizeMb", [-1]),
    ("domain.mostGrant", -0.1),
    ("domain.notePeriod", -1),
    ("limits.mostTries", 0),
    ("limits.mostTries", "nan"),
    ("limits.mostTries", -3),
    ("limits.dialTimeout", -1),
    ("limits.dialTimeout", "x"),
    ("limits.connIdle", "nan"),
    ("limits.connIdle", -5),
    ("limits.connIdle", "x"),
    ("limits.maxRetryAfter", -1),
    ("limits.retryAfter", "yes"),
    ("balancers", 0),
    ("balancers", "inf"),
    ("me", -1),
    ("me", "nan"),
    ("parties", [{"name": "a", "allowancePerS": -1}]),
    ("rules.warmWithin", -1),
    ("rules.resendSpan", "inf"),
    ("kinds", 7),
    ("failureDomains", {"a": 1}),
]


@pytest.mark.parametrize("key, value", INVALID_VALUES, ids=lambda part: re.sub(r"\W+", "-", str(part)))
def test_an_invalid_value_is_reported_in_one_line_that_names_its_key(key, value, tmp_path):
    document = settings()
    *path, last = key.split(".")
    parent = document
    for part in path:
        parent = parent[int(part)] if part.isdecimal() else parent[part]
    parent[last] = value
    with pytest.raises(ConfigError) as raised:
        read(tmp_path, document)
    message = str(raised.value)
    assert "\n" not in message and last in message, message


@pytest.mark.parametrize(
    "other_keys, key",
    [
        ({"limits": {"memory_mb": 0}}, "limits.memory_mb"),
        ({"limits": {"sockets": 63}}, "limits.sockets"),
        ({"limits": {"sockets": 64.5}}, "limits.sockets"),
        ({"limits": []}, "limits"),
        ({"seed": "x"}, "seed"),
        ({"known": {"batch": [{"offset": "1"}]}}, "known"),
        ({"listen": 1}, "listen"),
        ({"bus": "h:1"}, "bus"),
        ({"known": change(1, host("s-1", 1))}, None),
    ],
)
def test_keys_beside_the_settings_are_checked_too(other_keys, key, tmp_path):
    if key is None:
        read(tmp_path, settings(), **other_keys)  # unknown keys are ignored
        return
    with pytest.raises(ConfigError, match=key):
        read(tmp_path, settings(), **other_keys)
