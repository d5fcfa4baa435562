"""Settings: schema and validation, versions as persistent maps, pieces, the intersection and the canary check."""

import json
import random
from pathlib import Path
from unittest import mock

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from immutables import Map

from frostspindle.config import TenantRule
from frostspindle.settings import document, schema, secret_hash, validation
from frostspindle.settings import intersection as intersection_module
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
SHARES = '[[coordinator]]\nname = "c1"\npart = 0.5\n[[coordinator]]\nname = "c2"\npart = 0.5\n'
property_settings = hypothesis_settings(max_examples=120, deadline=None, derandomize=True, database=None)


def candidate_entries():
    """Yield entries with few names, so that two generated tables often have keys in common."""
    tenant_rules = TenantRule(login="a"), TenantRule(login="b")
    for name in ("e1", "e2"):
        for front, dial in (("http", "10.0.0.1:1"), ("http", "10.0.0.2:1"), ("tds", "10.0.0.1:1")):
            yield from (
                ("engine", Engine(name, dial, front, **fields))
                for fields in ({}, {"state": "left"}, {"most": 4}, {"most": 9, "weight": 2.0})
            )
        yield from (("ban", Ban(name, reason)) for reason in ("", "disk"))
        yield "drain", Ban(name)
        yield from (
            ("tenant", Tenant(name, quota, entry_rules))
            for quota, entry_rules in (
                (None, tenant_rules),
                (5.0, tenant_rules[:1]),
                (0.0, tenant_rules[1:]),
                (9.0, ()),
            )
        )
        yield from (
            ("login", Login(name, class_name, deadline_ms=deadline_ms))
            for class_name, deadline_ms in (("r", 1.0), ("r", 2.0), ("w", 1.0))
        )
        yield from (
            ("class", Class(name, objective_ms, effect=effect))
            for objective_ms, effect in ((None, "once"), (1.0, "once"), (2.0, "repeatable"))
        )
        yield from (("coordinator", Coordinator(name, part)) for part in (0.1, 0.3))


CANDIDATES = [(schema.key_of(kind, entry), entry) for kind, entry in candidate_entries()]
CANDIDATES += [("limit/out", Limit(value)) for value in (0.0, 6.0, 12.0)]
CANDIDATES += [("limit/open_requests", Limit(value)) for value in (20.0, 25.0)]
CANDIDATES += [(f"scope/{name}", ListScope()) for name in schema.LIST_SCOPES for _ in range(2)]


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
    return st.lists(st.sampled_from(CANDIDATES), max_size=12).map(table_of)


class TestSchema:
    def test_document_is_parsed_and_example_and_json_schema_are_valid(self):
        table = parse_document(
            (
                ENGINE + "most = 9\n" + SHARES + '[limits]\nout = 9\nopen_requests = 99\n[[ban]]\nengine = "e1x"\n'
                '[[tenant]]\nname = "blue"\nshare_per_s = 5\n[[tenant.rule]]\nheader = "X=1"\n'
                '[[class]]\nname = "r"\naim_ms = 5\n[[login]]\nname = "app"\nclass = "r"\n'
            ).encode()
        )
        assert table["engine/http/e1"].most == 9 and table["tenant/blue"].rule == (TenantRule(header="X=1"),)
        assert {key for key in table if key.startswith("scope/")} == {"scope/http", "scope/coordinator", "scope/login"}
        schema_text = json.dumps(document.json_schema())
        assert '"Document"' in schema_text and '"share_per_s"' in schema_text
        assert parse_document((ROOT / "deploy" / "settings" / "version.toml").read_bytes())

    @pytest.mark.parametrize(
        "text, message",
        [
            (ENGINE + ENGINE, r"engine\[1\]: 'e1' is defined twice"),
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
            (SHARES.replace("0.5", "0.6"), "parts add up to 1.2"),
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
            (
                ENGINE + "most = 4\n" + SHARES + "[limits]\nout = 9\n",
                "limits.out: 9 at once rely on engines that let 4",
            ),
            (ENGINE + "most = 9\n" + SHARES + '[limits]\nout = 9\n[[drain]]\nengine = "e1"', "let 0 through"),
        ],
    )
    def test_invalid_document_is_rejected_by_key_without_showing_secrets(self, text, message):
        with pytest.raises(InvalidSettingsError, match=message) as raised:
            parse_document(text.encode("latin-1"))
        assert "hunter2" not in str(raised.value) and "\n" not in str(raised.value)

    def test_version_that_needs_a_restart_is_not_applicable_and_names_the_key(self):
        program = RunningProgram(
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
        tds_engine = Engine("e1", "127.0.0.1:1", "tds", memory_mb=64.0)
        for entry, expected in (
            (Engine("e1", "127.0.0.1:1"), "the event bus"),
            (tds_engine, ""),
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
            key = schema.key_of(type(entry).__name__.lower(), entry)
            assert expected in inapplicability_reason({key: entry}, program) and bool(
                inapplicability_reason({key: entry}, program)
            ) == bool(expected)
            assert inapplicability_reason(NO_RULES, program, {key: None}) == ""
        bare_program = RunningProgram()
        for table, expected in (
            ({"engine/tds/e1": tds_engine}, "needs a new"),
            ({"login/a": Login("a", "r")}, "needs a new"),
            ({"limit/tds_sessions": Limit(5.0)}, "needs a new"),
            ({"limit/open_requests": Limit(600.0)}, "half of 1024"),
            ({"engine/http/e1": Engine("e1", "127.0.0.1:1", zone="z")}, "zone"),
            ({"engine/http/e1": Engine("e1", "127.0.0.1:1", kind="z")}, "kind"),
        ):
            assert expected in inapplicability_reason(table, bare_program)
        tds_limits = {
            f"limit/{name}": Limit(value)
            for name, value in (("tds_sessions", 90.0), ("tds_batch_bytes", 1e6), ("tds_result_bytes", 1e6))
        }
        assert "tds_result_bytes" in inapplicability_reason(tds_limits, program) and "sixth" in inapplicability_reason(
            {"limit/tds_sessions": Limit(101.0)}, program
        )

    def test_secrets_are_salted_hashes(self):
        secret = hash_secret("hunter2", b"salt" * 4, 1_000)
        assert (
            secret_hash.SECRET_FORM.fullmatch(secret)
            and verify_secret(secret, "hunter2")
            and not verify_secret(secret, "hunter3")
        )
        assert not verify_secret("env:WORD", "WORD") and hash_secret("hunter2", b"pepp" * 4, 1_000) != secret


class TestVersions:
    @hypothesis_settings(property_settings, max_examples=40)
    @given(st.lists(rules(), min_size=2, max_size=4))
    def test_chain_of_changes_gives_the_same_rules_and_digest_as_one_version(self, tables):
        history, version = VersionHistory(), EMPTY_VERSION
        for number, table in enumerate(tables, 1):
            version = version.child(number, diff_rules(version.rules, table))
            history.add(version)
            direct = EMPTY_VERSION.child(number, table)
            assert (version.rules, version.digest, version.size) == (table, direct.digest, direct.size)
            assert unpack_changes(pack_changes(version.changes)) == dict(version.changes)
            changed_classes = {key for key in version.changes if key.startswith(("class/", "login/"))}
            try:
                validate(table)
            except InvalidSettingsError:
                continue
            if not changed_classes:
                validate(table, version.changes)
        for old in range(len(tables) + 1):
            for new in range(len(tables) + 1):
                assert history.changes_between(old, new) == diff_rules(history.get(old).rules, history.get(new).rules)

    def test_history_keeps_last_and_pinned_versions_and_shares_unchanged_entries(self):
        table = {f"engine/http/e{n}": Engine(f"e{n}", "127.0.0.1:1") for n in range(500)} | {"scope/http": ListScope()}
        history, latest = VersionHistory(4), EMPTY_VERSION.child(1, table)
        history.add(latest)
        for number in range(2, 12):
            latest = latest.child(number, {"ban/e1": Ban("e1", str(number))})
            history.add(latest, (1, number - 1))
        assert [version.number for version in history] == [1, 9, 10, 11]
        assert history.get(1).rules["engine/http/e7"] is latest.rules["engine/http/e7"], (
            "unchanged entries must be shared"
        )
        assert history.changes_between(1, 11) == {"ban/e1": Ban("e1", "11")} and history.changes_between(11, 1) == {
            "ban/e1": None
        }
        with pytest.raises(KeyError):
            history.changes_between(5, 11)
        assert len(VersionHistory(HISTORY_CAPACITY)) == 0

    def test_corrupt_oversized_and_duplicate_changes_are_rejected(self):
        data = pack_changes({"ban/e1": Ban("e1")})
        for corrupt in (data[:-1], data[:20], b"", data[:-1] + bytes([data[-1] ^ 1])):
            with pytest.raises(InvalidSettingsError):
                unpack_changes(corrupt)
        with pytest.raises(InvalidSettingsError, match="more than 100 bytes"):
            unpack_changes(pack_changes({f"ban/e{n}": Ban(f"e{n}") for n in range(50)}), 100)
        for key, entry in (("bann/e1", b"\x80"), ("ban/", b"\x80"), ("ban/e1", b"\x80"), ("ban/e1", b"\xc1")):
            with pytest.raises(InvalidSettingsError, match=key):
                schema.decode_entry(key, entry)

    def test_pieces_are_accepted_in_order_only(self):
        data = random.Random(1).randbytes(3 * PIECE_BYTES + 5)
        pieces, assembly = split_into_pieces(data), VersionAssembly(4)
        assert len(pieces) == 4 and split_into_pieces(b"") == [b""]
        assert assembly.add(1, 4, pieces[1]) == "gap 0" and assembly.add(0, 4, pieces[0]) == ""
        assert assembly.add(0, 4, pieces[0]) == "repeat" and assembly.add(0, 4, pieces[1]) == "other"
        assert assembly.add(3, 4, pieces[3]) == "gap 1" and assembly.add(1, 5, pieces[1]) == "bounds"
        assert assembly.add(1, 4, data[: PIECE_BYTES + 1]) == "bounds" and assembly.add(-1, 4, b"") == "bounds"
        for number in range(1, 4):
            assert not assembly.is_complete and assembly.add(number, 4, pieces[number]) == ""
        assert assembly.is_complete and b"".join(assembly.pieces) == data and assembly.size == len(data)


class TestIntersection:
    @property_settings
    @given(rules(), rules(), rules())
    def test_intersection_is_a_semilattice_with_the_empty_table_as_unit(self, first, second, third):
        assert intersect(first, first) == first == intersect(first, NO_RULES) == intersect(NO_RULES, first)
        assert intersect(first, second) == intersect(second, first)
        assert intersect(intersect(first, second), third) == intersect(first, intersect(second, third))
        assert permits_no_more(intersect(first, second), first) and permits_no_more(intersect(first, second), second)

    @property_settings
    @given(rules(), rules())
    def test_intersection_permits_only_what_both_permit(self, first, second):
        both = intersect(first, second)
        for front in ("http", "tds"):
            holders = [table for table in (first, second) if f"scope/{front}" in table]
            for name in ("e1", "e2"):
                common = both.get(f"engine/{front}/{name}")
                if common is not None:
                    assert holders
                    for table in holders:
                        original = table[f"engine/{front}/{name}"]
                        assert original.dial == common.dial
                        assert schema.STATE_RANK[common.state] <= schema.STATE_RANK[original.state]
                        assert original.most is None or common.most <= original.most
        for table in (first, second):
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
                assert all(table[key].part >= entry.part for table in (first, second) if "scope/coordinator" in table)
            if key.startswith("login/"):
                assert all(table[key].cls == entry.cls for table in (first, second) if "scope/login" in table)

    @property_settings
    @given(rules(), rules())
    def test_intersection_with_a_child_equals_the_full_intersection(self, parent, child):
        assert intersect_with_child(parent, child, diff_rules(parent, child)) == intersect(parent, child)

    @property_settings
    @given(rules(), rules())
    def test_versions_contradict_unless_all_fleet_wide_entries_are_equal(self, first, second):
        assert contradicts(first, second) == contradicts(second, first)
        assert not contradicts(first, first)
        differing = {key for key in {*first, *second} if first.get(key) != second.get(key)}
        fleet_wide = {key for key in differing if not key.startswith(("scope/", "limit/open"))}
        assert set(contradictions(first, second, 99)) == fleet_wide

    def test_intersection_lowers_a_limit_to_the_capacity_that_a_drain_leaves(self):
        base = parse_document((ENGINE + "most = 9\n" + ENGINE.replace("e1", "e2") + "most = 6\n" + SHARES).encode())
        drained = base | {"drain/e1": Ban("e1")}
        limited = base | {"limit/out": Limit(15.0)}
        validate(drained)
        validate(limited)
        both = intersect(Map(drained), Map(limited))
        assert both["limit/out"].value == 6.0 and "drain/e1" in both
        with pytest.raises(InvalidSettingsError, match="limits.out: 15 at once rely on engines that let 6"):
            validate(drained | {"limit/out": Limit(15.0)}, {"limit/out": Limit(15.0)})
        with pytest.raises(InvalidSettingsError, match="limits.out"):
            validate(limited | {"drain/e1": Ban("e1")}, {"drain/e1": Ban("e1")})

    def test_intersection_of_shares_never_exceeds_the_whole(self):
        first, second = (
            {
                "scope/coordinator": ListScope(),
                "coordinator/c1": Coordinator("c1", share),
                "coordinator/c2": Coordinator("c2", 1 - share),
            }
            for share in (0.75, 0.25)
        )
        assert contradicts(first, second)
        both = intersect(Map(first), Map(second))
        assert sum(entry.part for key, entry in both.items() if key.startswith("coordinator/")) <= 1.0


def row(answered, failed=0, rejected=0, slow=0, slow_ms=5_000.0):
    figures = [0] * (HEADER_FIGURES + LATENCY_BUCKETS)
    figures[:3] = [answered, failed, rejected]
    figures[HEADER_FIGURES + latency_bucket(20.0)] = answered - slow
    figures[HEADER_FIGURES + latency_bucket(slow_ms)] += slow
    return figures


def judge_windows(baseline, trial, thresholds=CanaryThresholds(), member_count=3, open_requests=(0, 0)):  # noqa: B008
    """Return the verdict on windows of figures, and after how many trial windows it was reached.

    `open_requests` has the open requests of each member, before the activation and after it.
    """
    check, totals, now = (
        CanaryCheck(thresholds),
        [[0] * (HEADER_FIGURES + LATENCY_BUCKETS) for _ in range(member_count)],
        0.0,
    )

    def step(window):
        nonlocal now
        for index, figure in enumerate(window):
            totals[(index + int(now)) % member_count][index] += figure
        check.observe(
            now,
            {
                f"c{n}": (
                    1,
                    (
                        *totals[n][:OPEN_REQUESTS],
                        open_requests[check._trial_began_at is not None],
                        *totals[n][HEADER_FIGURES:],
                    ),
                )
                for n in range(member_count)
            },
        )
        now += thresholds.window_ms

    for window in baseline:
        step(window)
    check.start_trial(now)
    for number, window in enumerate(trial):
        step(window)
        if verdict := check.verdict(now):
            return verdict, number
    return check.verdict(now), len(trial)


class TestCanary:
    def test_each_figure_beyond_its_guard_band_fails_the_canary_check_within_seconds(self):
        baseline = [row(200, 1, 2, 2)] * 30
        for harmed, figure in ((row(200, 30), "failed"), (row(200, 0, 60), "refused"), (row(200, 1, 2, 40), "slow")):
            verdict, window = judge_windows(baseline, [harmed] * 14)
            assert verdict.startswith(figure) and window <= 6, (verdict, window)

    def test_few_requests_one_bad_window_or_an_improvement_pass_the_canary_check(self):
        assert judge_windows([row(2)] * 30, [row(2, 2)] * 16)[0] == PASSED
        baseline, spike = [row(200, 1, 2, 2)] * 30, [row(200, 1)] * 5 + [row(200, 150)] + [row(200, 1)] * 10
        assert judge_windows(baseline, spike)[0] == PASSED
        assert judge_windows([row(200, 100, 50, 60)] * 30, [row(200)] * 16)[0] == PASSED
        assert judge_windows([], [row(200, 150)] * 16)[0] == PASSED, "there is no baseline"

    def test_few_answers_are_a_stall_only_while_requests_wait(self):
        verdict, window = judge_windows([row(200)] * 30, [row(3)] * 14, open_requests=(4, 4))
        assert verdict == "stalled: 12 answers, usually 800; 12 requests wait" and window <= 6
        assert judge_windows([row(200)] * 30, [row(3)] * 16, open_requests=(4, 0))[0] == PASSED
        assert judge_windows([row(8)] * 30, [row(0)] * 16, open_requests=(1, 1))[0] == PASSED, (
            "the baseline has few answers"
        )

    def test_figures_as_bad_as_the_baseline_pass_and_a_restart_subtracts_nothing(self):
        assert judge_windows([row(200, 40, 30, 20)] * 30, [row(200, 42, 30, 20)] * 16)[0] == PASSED
        check = CanaryCheck()
        check.observe(0.0, {"c1": (1, tuple(row(100)))})
        check.observe(600.0, {"c1": (2, tuple(row(10))), "c2": (1, (1, 2))})
        assert sum(sum(window) for window in check._windows) == 0, "a new process and malformed figures must not count"

    def test_noise_and_bursts_hardly_ever_fail_the_canary_check(self):
        rng, failures = random.Random(4), 0

        def hits(count, rate):  # a Poisson-distributed count, drawn by its exponential gaps
            events, position = 0, rng.expovariate(rate)
            while position < count:
                events, position = events + 1, position + rng.expovariate(rate)
            return events

        for trial in range(200):
            rate, burst = rng.choice((0.002, 0.02, 0.1)), trial % 2

            def window(rate=rate, burst=burst):
                count = rng.randrange(60, 300)
                window_rate = rate * (6.0 if burst and rng.random() < 0.15 else 1.0)
                failed = min(count, hits(count, window_rate))
                return row(count, failed, failed // 2, hits(count, 0.01))

            failures += judge_windows([window() for _ in range(30)], [window() for _ in range(14)])[0] != PASSED
        assert failures <= 2, f"{failures} of 200"

    def test_versions_in_a_row_are_compared_with_the_baseline_of_the_first(self):
        check, totals, now = CanaryCheck(), [0] * (HEADER_FIGURES + LATENCY_BUCKETS), 0.0
        for number in range(60):
            window = row(200, 1) if number < 30 else row(200, 40)
            totals = [total + added for total, added in zip(totals, window, strict=True)]
            check.observe(now, {"c1": (1, tuple(totals))})
            now += 500.0
            if number in (29, 32, 35):
                check.start_trial(now)
        assert check.verdict(now).startswith("failed")

    def test_verdict_is_computed_once_for_each_finished_window(self):
        class CountedFigures(tuple):
            reads = 0

            def __iter__(self):
                type(self).reads += 1
                return super().__iter__()

        check, reported = CanaryCheck(), {"c1": (1, CountedFigures(row(100)))}
        for now in range(0, 450, 50):
            check.observe(float(now), reported)
        assert CountedFigures.reads == 0, "an unchanged report must not be read again"
        for number in range(30):
            check.observe(500.0 * (number + 1), {"c1": (1, tuple(row(200 * (number + 2))))})
            if number == 20:
                check.start_trial(500.0 * (number + 1))
        with mock.patch("frostspindle.settings.canary.wilson_interval", wraps=wilson_interval) as bounds:
            for _ in range(50):
                check.verdict(16_000.0)
        assert 0 < bounds.call_count <= 6, "one computation for each finished window"


def test_intersection_of_a_table_with_itself_is_that_table():
    table = Map({"ban/e1": Ban("e1")})
    assert intersection_module.intersect(table, table) is table
