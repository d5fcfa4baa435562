"""Settings: the schema and its checks, versions as persistent maps, pieces, and the laws of the meet."""

import json
import random
from pathlib import Path
from unittest import mock

import pytest
from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st
from immutables import Map

from frostspindle.config import TenantRule
from frostspindle.settings import document, schema, secret_hash, validation
from frostspindle.settings import intersection as meeting
from frostspindle.settings.applicability import RunningProgram, inapplicability_reason
from frostspindle.settings.canary import (
    HEADER_FIGURES,
    LATENCY_BUCKETS,
    OPEN_REQUESTS,
    PASSED,
    CanaryCheck,
    CanaryThresholds,
    latency_bucket,
    wilson_interval,
)
from frostspindle.settings.document import parse_document
from frostspindle.settings.intersection import (
    NO_RULES,
    contradictions,
    contradicts,
    intersect,
    intersect_with_child,
    limit_to_capacity,
    permits_no_more,
)
from frostspindle.settings.schema import (
    Ban,
    Class,
    Coordinator,
    Engine,
    InvalidSettingsError,
    Limit,
    ListScope,
    Login,
    Tenant,
)
from frostspindle.settings.secret_hash import hash_secret, verify_secret
from frostspindle.settings.validation import validate
from frostspindle.settings.version_encoding import (
    PIECE_BYTES,
    VersionAssembly,
    pack_changes,
    split_into_pieces,
    unpack_changes,
)
from frostspindle.settings.versions import EMPTY_VERSION, HISTORY_CAPACITY, VersionHistory, diff_rules

ROOT = Path(__file__).parent.parent
ENGINE = '[[engine]]\nname = "e1"\ndial = "127.0.0.1:1"\n'
PARTS = '[[coordinator]]\nname = "c1"\npart = 0.5\n[[coordinator]]\nname = "c2"\npart = 0.5\n'
quick = runs(max_examples=120, deadline=None, derandomize=True, database=None)


def pool():
    """Entries of few names, so that two draws meet."""
    rule = TenantRule(login="a"), TenantRule(login="b")
    for name in ("e1", "e2"):
        for front, dial in (("http", "10.0.0.1:1"), ("http", "10.0.0.2:1"), ("tds", "10.0.0.1:1")):
            yield from (
                ("engine", Engine(name, dial, front, **more))
                for more in ({}, {"state": "left"}, {"most": 4}, {"most": 9, "weight": 2.0})
            )
        yield from (("ban", Ban(name, why)) for why in ("", "disk"))
        yield "drain", Ban(name)
        yield from (
            ("tenant", Tenant(name, share, rules))
            for share, rules in ((None, rule), (5.0, rule[:1]), (0.0, rule[1:]), (9.0, ()))
        )
        yield from (("login", Login(name, cls, deadline_ms=ms)) for cls, ms in (("r", 1.0), ("r", 2.0), ("w", 1.0)))
        yield from (
            ("class", Class(name, aim, effect=effect))
            for aim, effect in ((None, "once"), (1.0, "once"), (2.0, "repeatable"))
        )
        yield from (("coordinator", Coordinator(name, part)) for part in (0.1, 0.3))


POOL = [(schema.key_of(kind, entry), entry) for kind, entry in pool()]
POOL += [("limit/out", Limit(value)) for value in (0.0, 6.0, 12.0)]
POOL += [("limit/open_requests", Limit(value)) for value in (20.0, 25.0)]
POOL += [(f"scope/{name}", ListScope()) for name in schema.LIST_SCOPES for _ in range(2)]


def table_of(items):
    table = dict(items)
    table.update(
        {
            schema.scope_of(key, entry): ListScope()
            for key, entry in items
            if not schema.KINDS[schema.kind_of(key)].in_either
        }
    )
    return limit_to_capacity(Map(table))


def rules():
    return st.lists(st.sampled_from(POOL), max_size=12).map(table_of)


class TestSchema:
    def test_document_is_parsed_and_example_and_json_schema_are_valid(self):
        table = parse_document(
            (
                ENGINE + "most = 9\n" + PARTS + '[limits]\nout = 9\nopen_requests = 99\n[[ban]]\nengine = "e1x"\n'
                '[[tenant]]\nname = "blue"\nshare_per_s = 5\n[[tenant.rule]]\nheader = "X=1"\n'
                '[[class]]\nname = "r"\naim_ms = 5\n[[login]]\nname = "app"\nclass = "r"\n'
            ).encode()
        )
        assert table["engine/http/e1"].most == 9 and table["tenant/blue"].rule == (TenantRule(header="X=1"),)
        assert {key for key in table if key.startswith("scope/")} == {"scope/http", "scope/coordinator", "scope/login"}
        told = json.dumps(document.json_schema())
        assert '"Document"' in told and '"share_per_s"' in told
        assert parse_document((ROOT / "deploy" / "settings" / "version.toml").read_bytes())

    @pytest.mark.parametrize(
        "text, key",
        [
            (ENGINE + ENGINE, r"engine\[1\]: 'e1' stands there twice"),
            (ENGINE + 'state = "on"', "engine/http/e1.state"),
            (ENGINE + "dial = 5", "Expected|Invalid|Cannot|dupl|defin|overwrite|twice"),
            ('[[engine]]\nname = "a"', "dial"),
            (ENGINE.replace("127.0.0.1:1", "host"), "engine/http/e1.dial"),
            (ENGINE + 'front = "x"', "front"),
            (ENGINE + "most = 4", r"http/e1: needs \[\[coordinator\]\]"),
            ("[limits]\nout = 5", "limit/out: needs"),
            ("[limits]\nmany = 5", "limits.many"),
            ("[limits]\nopen_requests = 1", "limits.open_requests: not from"),
            ("[limits]\nout = nan", "limits|out"),
            (PARTS.replace("0.5", "0.6"), "parts add up to 1.2"),
            (ENGINE + "weight = nan", "weight"),
            (ENGINE + "weight = inf", "weight"),
            ("lists = ['x']", "lists"),
            ('[[login]]\nname = "a"\nclass = "r"\nsecret = "hunter2"', r"login/a.secret: not pbkdf2"),
            ('[[class]]\nname = "r"\n[[login]]\nname = "a"\nclass = "w"', "login/a.class"),
            ('[[class]]\nname = "r"\neffect = "never"', "class/r.effect"),
            ('[[ban]]\nengin = "x"', "engin"),
            ('[[tenant]]\nname = "t"\n[[tenant.rule]]\naddress = "x"', r"tenant/t.rule\[0\]"),
            ('[[engine]]\nname = "a/b c"\ndial = "127.0.0.1:1"', "name"),
            ("\xff", "settings|decode|Invalid|utf|line"),
            (ENGINE + "most = 4\n" + PARTS + "[limits]\nout = 9\n", "limits.out: 9 at once rely on engines that let 4"),
            (ENGINE + "most = 9\n" + PARTS + '[limits]\nout = 9\n[[drain]]\nengine = "e1"', "let 0 through"),
        ],
    )
    def test_invalid_document_is_rejected_by_key_without_showing_secrets(self, text, key):
        with pytest.raises(InvalidSettingsError, match=key) as told:
            parse_document(text.encode("latin-1"))
        assert "hunter2" not in str(told.value) and "\n" not in str(told.value)

    def test_version_that_needs_a_restart_is_not_applicable_and_names_the_key(self):
        here = RunningProgram(
            {"r": "once"},
            {"blue": ()},
            True,
            True,
            frozenset({"r"}),
            frozenset({(8.0, 64.0)}),
            ("z",),
            ("k",),
            600,
            64.0,
        )
        tds = Engine("e1", "127.0.0.1:1", "tds", memory_mb=64.0)
        for entry, key in (
            (Engine("e1", "127.0.0.1:1"), "the event bus"),
            (tds, ""),
            (Engine("e1", "127.0.0.1:1", "tds"), "engine/tds/e1.cores"),
            (Class("w"), "class/w"),
            (Class("r"), "class/r.effect"),
            (Class("r", 5.0, effect="once"), ""),
            (Tenant("red"), "tenant/red"),
            (Tenant("blue", rule=(TenantRule(),)), "tenant/blue.rule"),
            (Tenant("blue", 4.0), ""),
            (Login("a", "w"), "login/a.class"),
            (Login("a", "r"), ""),
        ):
            place = schema.key_of(type(entry).__name__.lower(), entry)
            assert key in inapplicability_reason({place: entry}, here) and bool(
                inapplicability_reason({place: entry}, here)
            ) == bool(key)
            assert inapplicability_reason(NO_RULES, here, {place: None}) == ""
        bare = RunningProgram()
        for table, key in (
            ({"engine/tds/e1": tds}, "needs a new"),
            ({"login/a": Login("a", "r")}, "needs a new"),
            ({"limit/tds_sessions": Limit(5.0)}, "needs a new"),
            ({"limit/open_requests": Limit(600.0)}, "half of 1024"),
            ({"engine/http/e1": Engine("e1", "127.0.0.1:1", zone="z")}, "zone"),
            ({"engine/http/e1": Engine("e1", "127.0.0.1:1", kind="z")}, "kind"),
        ):
            assert key in inapplicability_reason(table, bare)
        sizes = {
            f"limit/{n}": Limit(v)
            for n, v in (("tds_sessions", 90.0), ("tds_batch_bytes", 1e6), ("tds_result_bytes", 1e6))
        }
        assert "tds_result_bytes" in inapplicability_reason(sizes, here) and "sixth" in inapplicability_reason(
            {"limit/tds_sessions": Limit(101.0)}, here
        )

    def test_secrets_are_salted_hashes(self):
        kept = hash_secret("hunter2", b"salt" * 4, 1_000)
        assert (
            secret_hash.SECRET_FORM.fullmatch(kept)
            and verify_secret(kept, "hunter2")
            and not verify_secret(kept, "hunter3")
        )
        assert not verify_secret("env:WORD", "WORD") and hash_secret("hunter2", b"pepp" * 4, 1_000) != kept


class TestVersions:
    @runs(quick, max_examples=40)
    @given(st.lists(rules(), min_size=2, max_size=4))
    def test_chain_of_changes_gives_the_same_rules_and_digest_as_one_version(self, tables):
        history, at = VersionHistory(), EMPTY_VERSION
        for number, table in enumerate(tables, 1):
            at = at.child(number, diff_rules(at.rules, table))
            history.add(at)
            whole = EMPTY_VERSION.child(number, table)
            assert (at.rules, at.digest, at.size) == (table, whole.digest, whole.size)
            assert unpack_changes(pack_changes(at.changes)) == dict(at.changes)
            check_at = {key for key in at.changes if key.startswith(("class/", "login/"))}
            try:
                validate(table)
            except InvalidSettingsError:
                continue
            if not check_at:
                validate(table, at.changes)
        for one in range(len(tables) + 1):
            for two in range(len(tables) + 1):
                assert history.changes_between(one, two) == diff_rules(history.get(one).rules, history.get(two).rules)

    def test_history_keeps_last_and_pinned_versions_and_shares_unchanged_entries(self):
        table = {f"engine/http/e{n}": Engine(f"e{n}", "127.0.0.1:1") for n in range(500)} | {"scope/http": ListScope()}
        history, at = VersionHistory(4), EMPTY_VERSION.child(1, table)
        history.add(at)
        for number in range(2, 12):
            at = at.child(number, {"ban/e1": Ban("e1", str(number))})
            history.add(at, (1, number - 1))
        assert [version.number for version in history] == [1, 9, 10, 11]
        assert history.get(1).rules["engine/http/e7"] is at.rules["engine/http/e7"], "nothing was copied"
        assert history.changes_between(1, 11) == {"ban/e1": Ban("e1", "11")} and history.changes_between(11, 1) == {
            "ban/e1": None
        }
        with pytest.raises(KeyError):
            history.changes_between(5, 11)
        assert len(VersionHistory(HISTORY_CAPACITY)) == 0

    def test_corrupt_oversized_and_duplicate_changes_are_rejected(self):
        data = pack_changes({"ban/e1": Ban("e1")})
        for spoilt in (data[:-1], data[:20], b"", data[:-1] + bytes([data[-1] ^ 1])):
            with pytest.raises(InvalidSettingsError):
                unpack_changes(spoilt)
        with pytest.raises(InvalidSettingsError, match="more than 100 bytes"):
            unpack_changes(pack_changes({f"ban/e{n}": Ban(f"e{n}") for n in range(50)}), 100)
        for key, entry in (("bann/e1", b"\x80"), ("ban/", b"\x80"), ("ban/e1", b"\x80"), ("ban/e1", b"\xc1")):
            with pytest.raises(InvalidSettingsError, match=key):
                schema.decode_entry(key, entry)

    def test_pieces_are_accepted_in_order_only(self):
        whole = random.Random(1).randbytes(3 * PIECE_BYTES + 5)
        pieces, at = split_into_pieces(whole), VersionAssembly(4)
        assert len(pieces) == 4 and split_into_pieces(b"") == [b""]
        assert at.add(1, 4, pieces[1]) == "gap 0" and at.add(0, 4, pieces[0]) == ""
        assert at.add(0, 4, pieces[0]) == "repeat" and at.add(0, 4, pieces[1]) == "other"
        assert at.add(3, 4, pieces[3]) == "gap 1" and at.add(1, 5, pieces[1]) == "bounds"
        assert at.add(1, 4, whole[: PIECE_BYTES + 1]) == "bounds" and at.add(-1, 4, b"") == "bounds"
        for number in range(1, 4):
            assert not at.is_complete and at.add(number, 4, pieces[number]) == ""
        assert at.is_complete and b"".join(at.pieces) == whole and at.size == len(whole)


class TestMeet:
    @quick
    @given(rules(), rules(), rules())
    def test_intersection_is_a_semilattice_with_the_empty_table_as_unit(self, one, two, three):
        assert intersect(one, one) == one == intersect(one, NO_RULES) == intersect(NO_RULES, one)
        assert intersect(one, two) == intersect(two, one)
        assert intersect(intersect(one, two), three) == intersect(one, intersect(two, three))
        assert permits_no_more(intersect(one, two), one) and permits_no_more(intersect(one, two), two)

    @quick
    @given(rules(), rules())
    def test_intersection_permits_only_what_both_permit(self, one, two):
        both = intersect(one, two)
        for front in ("http", "tds"):
            holders = [table for table in (one, two) if f"scope/{front}" in table]
            for name in ("e1", "e2"):
                mine = both.get(f"engine/{front}/{name}")
                if mine is not None:
                    assert holders
                    for table in holders:
                        theirs = table[f"engine/{front}/{name}"]
                        assert theirs.dial == mine.dial
                        assert schema.STATE_RANK[mine.state] <= schema.STATE_RANK[theirs.state]
                        assert theirs.most is None or mine.most <= theirs.most
        for table in (one, two):
            for key, entry in table.items():
                other = both.get(key)
                if key.startswith(("ban/", "drain/", "scope/")):
                    assert other is not None
                elif key.startswith("limit/"):
                    assert other.value <= entry.value
                elif key.startswith("tenant/"):
                    assert entry.share_per_s is None or other.share_per_s <= entry.share_per_s
                    assert set(entry.rule) <= set(other.rule)
                elif key.startswith("class/"):
                    assert schema.IDEMPOTENCY_RANK[other.effect] <= schema.IDEMPOTENCY_RANK[entry.effect]
        if "limit/out" in both:
            assert both["limit/out"].value <= validation.engine_capacity(both)
        for key, entry in both.items():
            if key.startswith("coordinator/"):
                assert all(table[key].part >= entry.part for table in (one, two) if "scope/coordinator" in table)
            if key.startswith("login/"):
                assert all(table[key].cls == entry.cls for table in (one, two) if "scope/login" in table)

    @quick
    @given(rules(), rules())
    def test_intersection_with_a_child_equals_the_full_intersection(self, one, two):
        assert intersect_with_child(one, two, diff_rules(one, two)) == intersect(one, two)

    @quick
    @given(rules(), rules())
    def test_versions_contradict_unless_all_fleet_wide_entries_are_equal(self, one, two):
        assert contradicts(one, two) == contradicts(two, one)
        assert not contradicts(one, one)
        differ = {key for key in {*one, *two} if one.get(key) != two.get(key)}
        agreed = {key for key in differ if not key.startswith(("scope/", "limit/open"))}
        assert set(contradictions(one, two, 99)) == agreed

    def test_intersection_lowers_a_limit_to_the_capacity_that_a_drain_leaves(self):
        base = parse_document((ENGINE + "most = 9\n" + ENGINE.replace("e1", "e2") + "most = 6\n" + PARTS).encode())
        drains = base | {"drain/e1": Ban("e1")}
        relies = base | {"limit/out": Limit(15.0)}
        validate(drains)
        validate(relies)
        both = intersect(Map(drains), Map(relies))
        assert both["limit/out"].value == 6.0 and "drain/e1" in both
        with pytest.raises(InvalidSettingsError, match="limits.out: 15 at once rely on engines that let 6"):
            validate(drains | {"limit/out": Limit(15.0)}, {"limit/out": Limit(15.0)})
        with pytest.raises(InvalidSettingsError, match="limits.out"):
            validate(relies | {"drain/e1": Ban("e1")}, {"drain/e1": Ban("e1")})

    def test_intersection_of_shares_never_exceeds_the_whole(self):
        one, two = (
            {
                "scope/coordinator": ListScope(),
                "coordinator/c1": Coordinator("c1", a),
                "coordinator/c2": Coordinator("c2", 1 - a),
            }
            for a in (0.75, 0.25)
        )
        assert contradicts(one, two)
        both = intersect(Map(one), Map(two))
        assert sum(entry.part for key, entry in both.items() if key.startswith("coordinator/")) <= 1.0


def row(answered, failed=0, refused=0, slow=0, slow_ms=5_000.0):
    out = [0] * (HEADER_FIGURES + LATENCY_BUCKETS)
    out[:3] = [answered, failed, refused]
    out[HEADER_FIGURES + latency_bucket(20.0)] = answered - slow
    out[HEADER_FIGURES + latency_bucket(slow_ms)] += slow
    return out


def judge_windows(before, after, guard=CanaryThresholds(), members=3, waiting=(0, 0)):  # noqa: B008
    """The verdict on windows of figures; when it came, in windows since the version went live. `waiting`: open
    requests at each member, before and since."""
    judge, total, now = CanaryCheck(guard), [[0] * (HEADER_FIGURES + LATENCY_BUCKETS) for _ in range(members)], 0.0

    def step(told):
        nonlocal now
        for place, figure in enumerate(told):
            total[(place + int(now)) % members][place] += figure
        judge.observe(
            now,
            {
                f"c{n}": (
                    1,
                    (*total[n][:OPEN_REQUESTS], waiting[judge._trial_began_at is not None], *total[n][HEADER_FIGURES:]),
                )
                for n in range(members)
            },
        )
        now += guard.window_ms

    for told in before:
        step(told)
    judge.start_trial(now)
    for number, told in enumerate(after):
        step(told)
        if verdict := judge.verdict(now):
            return verdict, number
    return judge.verdict(now), len(after)


class TestHarm:
    def test_each_figure_beyond_its_guard_band_fails_the_canary_check_within_seconds(self):
        calm = [row(200, 1, 2, 2)] * 30
        for worse, word in ((row(200, 30), "failed"), (row(200, 0, 60), "refused"), (row(200, 1, 2, 40), "slow")):
            verdict, at = judge_windows(calm, [worse] * 14)
            assert verdict.startswith(word) and at <= 6, (verdict, at)

    def test_few_requests_one_bad_window_or_an_improvement_pass_the_canary_check(self):
        assert judge_windows([row(2)] * 30, [row(2, 2)] * 16)[0] == PASSED
        calm, spike = [row(200, 1, 2, 2)] * 30, [row(200, 1)] * 5 + [row(200, 150)] + [row(200, 1)] * 10
        assert judge_windows(calm, spike)[0] == PASSED
        assert judge_windows([row(200, 100, 50, 60)] * 30, [row(200)] * 16)[0] == PASSED
        assert judge_windows([], [row(200, 150)] * 16)[0] == PASSED, "nothing tells what was usual"

    def test_few_answers_are_a_stall_only_while_requests_wait(self):
        verdict, at = judge_windows([row(200)] * 30, [row(3)] * 14, waiting=(4, 4))
        assert verdict == "stalled: 12 answers, usually 800; 12 requests wait" and at <= 6
        assert judge_windows([row(200)] * 30, [row(3)] * 16, waiting=(4, 0))[0] == PASSED
        assert judge_windows([row(8)] * 30, [row(0)] * 16, waiting=(1, 1))[0] == PASSED, "few were usual"

    def test_figures_as_bad_as_the_baseline_pass_and_a_restart_subtracts_nothing(self):
        assert judge_windows([row(200, 40, 30, 20)] * 30, [row(200, 42, 30, 20)] * 16)[0] == PASSED
        judge = CanaryCheck()
        judge.observe(0.0, {"c1": (1, tuple(row(100)))})
        judge.observe(600.0, {"c1": (2, tuple(row(10))), "c2": (1, (1, 2))})
        assert sum(sum(window) for window in judge._windows) == 0, "a new process, and figures of another form"

    def test_noise_and_bursts_hardly_ever_fail_the_canary_check(self):
        rng, called = random.Random(4), 0

        def hits(count, rate):  # of a Poisson count, by its gaps
            found, at = 0, rng.expovariate(rate)
            while at < count:
                found, at = found + 1, at + rng.expovariate(rate)
            return found

        for trial in range(200):
            rate, burst = rng.choice((0.002, 0.02, 0.1)), trial % 2

            def window(rate=rate, burst=burst):
                count = rng.randrange(60, 300)
                heavy = rate * (6.0 if burst and rng.random() < 0.15 else 1.0)
                fails = min(count, hits(count, heavy))
                return row(count, fails, fails // 2, hits(count, 0.01))

            called += judge_windows([window() for _ in range(30)], [window() for _ in range(14)])[0] != PASSED
        assert called <= 2, f"{called} of 200"

    def test_versions_in_a_row_are_compared_with_the_baseline_of_the_first(self):
        judge, total, now = CanaryCheck(), [0] * (HEADER_FIGURES + LATENCY_BUCKETS), 0.0
        for number in range(60):
            told = row(200, 1) if number < 30 else row(200, 40)
            total = [a + b for a, b in zip(total, told, strict=True)]
            judge.observe(now, {"c1": (1, tuple(total))})
            now += 500.0
            if number in (29, 32, 35):
                judge.start_trial(now)
        assert judge.verdict(now).startswith("failed")

    def test_verdict_is_computed_once_for_each_finished_window(self):
        class Told(tuple):
            reads = 0

            def __iter__(self):
                type(self).reads += 1
                return super().__iter__()

        judge, told = CanaryCheck(), {"c1": (1, Told(row(100)))}
        for now in range(0, 450, 50):
            judge.observe(float(now), told)
        assert Told.reads == 0, "it was heard once, and nothing since"
        for number in range(30):
            judge.observe(500.0 * (number + 1), {"c1": (1, tuple(row(200 * (number + 2))))})
            if number == 20:
                judge.start_trial(500.0 * (number + 1))
        with mock.patch("frostspindle.settings.canary.wilson_interval", wraps=wilson_interval) as bounds:
            for _ in range(50):
                judge.verdict(16_000.0)
        assert 0 < bounds.call_count <= 6, "once for a window"


def test_intersection_of_a_table_with_itself_is_that_table():
    table = Map({"ban/e1": Ban("e1")})
    assert meeting.intersect(table, table) is table
