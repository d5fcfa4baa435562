"""Verdicts on engines: the quorum at which they take effect, and their expiry."""

from frostspindle.fleet import engine_verdicts, wire


def test_verdicts_below_the_quorum_or_expired_never_count():
    verdicts = engine_verdicts.EngineVerdicts(3, 1_000.0)
    digest = [wire.Verdict("e", engine_verdicts.SICK, 0.0, [0.9])]
    for _ in range(5):  # repeated digests of one coordinator count once
        verdicts.on_digest(0.0, "liar", digest)
    verdicts.on_digest(0.0, "b", digest)
    assert verdicts.agreed(0.0, engine_verdicts.SICK) == set()
    verdicts.on_digest(500.0, "c", digest)
    assert verdicts.agreed(900.0, engine_verdicts.SICK) == {"e"}
    assert verdicts.agreed(1001.0, engine_verdicts.SICK) == set()  # two of the three have expired
    verdicts.on_digest(1_001.0, "liar", digest)
    verdicts.on_digest(1_001.0, "b", digest)
    verdicts.remove_member("c")
    assert verdicts.agreed(1001.0, engine_verdicts.SICK) == set()
    verdicts.on_digest(1_001.0, "b", [])
    assert verdicts.authors(1001.0, "e", engine_verdicts.SICK) == ["liar"]
