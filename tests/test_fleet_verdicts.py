"""Verdicts on engines: the quorum from which they count."""

from frostspindle.fleet import engine_verdicts, wire


def test_verdicts_below_the_quorum_or_expired_never_count():
    words = engine_verdicts.EngineVerdicts(3, 1_000.0)
    sick = [wire.Verdict("e", engine_verdicts.SICK, 0.0, [0.9])]
    for _ in range(5):  # one that says it five times is one
        words.on_digest(0.0, "liar", sick)
    words.on_digest(0.0, "b", sick)
    assert words.agreed(0.0, engine_verdicts.SICK) == set()
    words.on_digest(500.0, "c", sick)
    assert words.agreed(900.0, engine_verdicts.SICK) == {"e"}
    assert words.agreed(1001.0, engine_verdicts.SICK) == set()  # two are too old
    words.on_digest(1_001.0, "liar", sick)
    words.on_digest(1_001.0, "b", sick)
    words.remove_member("c")
    assert words.agreed(1001.0, engine_verdicts.SICK) == set()
    words.on_digest(1_001.0, "b", [])
    assert words.authors(1001.0, "e", engine_verdicts.SICK) == ["liar"]
