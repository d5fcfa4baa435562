"""Constraints on the policy source, determinism, the README example, suspension, and random event sequences."""

import ast
import re
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest
from helpers import HEAVY, KEYED, LOAD, READ, ControllerHarness, entry, settings
from hypothesis import HealthCheck, given, strategies
from hypothesis import settings as hypothesis_settings

from frostspindle import policy
from frostspindle.policy import AttemptOutcome, Controller, EndpointListKind, Settings

ROOT = Path(__file__).parent.parent


POLICY_FILES = sorted((ROOT / "frostspindle/policy").glob("*.py"))
MAX_MODULE_LINES = 400
MAX_FUNCTION_LINES = 40


def test_deploy_file_lists_every_policy_module_and_modules_stay_small():
    listed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    assert listed == [str(path.relative_to(ROOT)) for path in POLICY_FILES]
    assert max(len(path.read_text().splitlines()) for path in POLICY_FILES) <= MAX_MODULE_LINES


def test_policy_source_names_no_deployment_class_or_customer():
    text = "".join(path.read_text().lower() for path in POLICY_FILES if path.name != "settings_parser.py")
    for name in (
        "montevideo",
        "zagreb",
        "launceston",
        "consulta",
        "informe",
        "carga",
        "lookup",
        'report"',
        "split",
        "rijeka",
        "osijek",
        "ocho",
        "std-",
    ):
        assert name not in text


def test_policy_source_uses_no_io_clock_or_globals():
    text = "".join(path.read_text() for path in POLICY_FILES)
    assert not re.search(r"^\s*(import|from) (os|sys|time|datetime|socket|threading|asyncio)\b", text, re.M)
    assert not re.search(r"\bglobal\b|\bprint\(|\bopen\(", text)


def test_readme_example_runs():
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    exec(compile(code.group(1), "README.md", "exec"), {})


@pytest.mark.parametrize(
    "change, name",
    [
        ({"classes": ()}, "classes"),
        ({"coordinators": 0}, "coordinators"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"kind_cores": (0.0,)}, "kind_cores"),
        ({"classes": (replace(READ, latency_objective_ms=0.0),)}, "latency_objective_ms"),
    ],
)
def test_invalid_settings_raise_at_construction(change, name):
    with pytest.raises(ValueError, match=name):
        Settings(**{"classes": (READ,), **change})
    with pytest.raises(TypeError):
        Controller({}, 1)  # type: ignore[arg-type]


def run_script(seed: int) -> list:
    k = ControllerHarness(settings(), seed=seed)
    k.warm_up(40)
    for i in range(30):
        k.request(i, i % 4, cost=100.0 * (1 + i % 7), key=i % 3)
    k.wait(500)
    return k.sent + sorted(k.priority_updates.items())


def test_same_seed_and_events_give_the_same_actions():
    assert run_script(3) == run_script(3)
    assert any(run_script(3) != run_script(seed) for seed in range(4, 9)), "the seed breaks near-ties"


def test_unknown_and_out_of_range_events_are_ignored_or_clamped():
    k = ControllerHarness(settings(load_report_columns=("concurrent", "x0")))
    k.request(1, 0, cost=0.0, memory=0.0)
    k.request(2, 1, left=-5.0)
    ended = policy.AttemptEnded(1, 0, k.sent[0][2], AttemptOutcome.OK, 0.0, True, 0.0, 0.0, (-3.0, float("nan")))
    k.end(1)
    for event in (
        ended,
        policy.ClientDisconnected(1),
        policy.ClientDisconnected(99),
        policy.TimerFired(77),
        policy.ProgressReported(1, 0, 1, 1, 0.5),
        policy.ProgressReported(5, 0, 99, 3, 2.0),
        policy.ResponseStarted(4, 0, 1),
        policy.HealthCheckCompleted(99, 0, 1.0, ()),
        policy.EndpointListUpdated(EndpointListKind.DELTA, 2, ()),
        policy.EndpointListUpdated(EndpointListKind.FAILED, 2, ()),
    ):
        k.feed(event)
    k.feed(policy.EndpointListUpdated(EndpointListKind.DELTA, 3, (entry(50, health=0),)))
    k.feed(policy.EndpointListUpdated(EndpointListKind.FULL, 4, ()))
    k.wait(200)
    assert set(k.answers) == {1, 2}


OUTCOMES = strategies.sampled_from(list(AttemptOutcome))
STEP = strategies.one_of(
    strategies.tuples(
        strategies.just("request"),
        strategies.integers(0, 3),
        strategies.floats(0, 9000),
        strategies.integers(0, 2),
        strategies.floats(0, 9000),
    ),
    strategies.tuples(strategies.just("end"), strategies.integers(0, 50), OUTCOMES),
    strategies.tuples(strategies.just("end"), strategies.integers(0, 50), strategies.just(AttemptOutcome.OK)),
    strategies.tuples(
        strategies.just("progress"), strategies.integers(0, 50), strategies.integers(1, 3), strategies.floats(-1, 2)
    ),
    strategies.tuples(strategies.just("wait"), strategies.integers(1, 900)),
    strategies.tuples(
        strategies.just("list"), strategies.integers(1, 4), strategies.integers(0, 2), strategies.booleans()
    ),
    strategies.tuples(strategies.just("disconnect"), strategies.integers(0, 50)),
    strategies.tuples(strategies.just("suspend or resume"), strategies.integers(0, 50)),
)


@hypothesis_settings(derandomize=True, max_examples=120, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(strategies.lists(STEP, max_size=60), strategies.sampled_from(["all", "zone", "cell"]), strategies.booleans())
def test_random_event_sequences_keep_all_rules(steps, dedup_scope, with_retry_budget):
    retry_budget = (
        {"retry_budget_min": 2.0, "retry_budget_ratio": 0.1, "retry_budget_window_ms": 5000.0}
        if with_retry_budget
        else {}
    )
    keyed = replace(KEYED, dedup_scope=dedup_scope, in_order=True)
    k = ControllerHarness(
        settings(READ, replace(HEAVY, only_kinds=frozenset({1})), LOAD, keyed, **retry_budget), engines=0
    )
    k.list(*(entry(i, kind=i % 2, zone=i % 2, cell=i // 2) for i in range(1, 5)), list_kind=EndpointListKind.FULL)
    number = 0
    for step in steps:
        if step[0] == "request":
            number += 1
            k.request(number, step[1], cost=step[2], key=step[3], left=step[4])
        elif step[0] == "wait":
            k.wait(step[1])
        elif step[0] == "list":
            since = k.now if step[3] else k.entries[step[1]].since_ms
            k.list(k.entries[step[1]]._replace(health=step[2], since_ms=since))
        elif step[0] == "suspend or resume" and k.requests:
            request = list(k.requests)[step[1] % len(k.requests)]
            k.resume(request) if request in k.suspended else k.suspend(request)
        elif k.open:
            request, attempt = list(k.open)[step[1] % len(k.open)]
            if step[0] == "end":
                k.end(request, step[2])
            elif step[0] == "progress":
                k.feed(policy.ProgressReported(request, attempt, k.open[(request, attempt)], step[2], step[3]))
            elif request not in k.answers:
                k.answer(request, "ClientDisconnected")
                k.feed(policy.ClientDisconnected(request))
    k.wait(400)
    for request, attempt in list(k.open):  # open attempts time out at their deadline, as in production
        left = k.taken_at[request] + k.requests[request].left_ms - k.now
        k.wait(max(0.0, min(left, 10000.0)))
        if (request, attempt) in k.open:
            k.end(request, AttemptOutcome.TIMEOUT)
    k.wait(10000, step=20.0)
    assert set(k.answers) == set(k.requests), "every request is answered"


# Guards against requests that were sent while their client was disconnected, or never after it had reconnected.
def test_suspended_request_is_sent_only_after_it_is_resumed():
    k = ControllerHarness(settings(), engines=0)
    k.request(1)
    k.request(2)
    k.suspend(1)
    k.list(entry(1), entry(2), list_kind=EndpointListKind.FULL)
    k.wait(500)
    assert [request for request, _, _ in k.sent] == [2]
    k.resume(1)
    assert [request for request, _, _ in k.sent] == [2, 1]
    # A request may be suspended while its attempt runs: the attempt continues, and a retry waits.
    k.suspend(1)
    k.wait(200)
    assert k.cancels == [] and (1, 0) in k.open
    k.end(1, AttemptOutcome.RESET)
    k.wait(200)
    assert len(k.sent) == 2
    k.resume(1)
    assert [request for request, _, _ in k.sent] == [2, 1, 1]


# Guards against a request that arrived while its client was disconnected and was sent at once.
def test_request_that_arrives_suspended_waits():
    k = ControllerHarness(settings())
    event = policy.RequestArrived(1, 0, 0, 0, 5000.0, 200.0, 100.0, 0.0, suspended=True)
    k.requests[1], k.taken_at[1], k.attempts[1] = event, k.now, []
    k.suspended.add(1)
    k.feed(event)
    k.wait(500)
    assert k.sent == []
    k.resume(1)
    assert len(k.sent) == 1


# Guards against suspended requests that displaced requests of waiting clients, or were never answered.
def test_suspended_requests_are_shed_first_and_end_at_their_deadline():
    k = ControllerHarness(settings(), engines=0)
    k.controller.max_open_requests = 3
    for number in (1, 2, 3):
        k.request(number)
    k.suspend(1)
    k.suspend(2)
    k.request(4)
    assert k.answers == {1: "RejectRequest"}
    k.wait(5000)
    assert set(k.answers) == {1, 2, 3, 4}
    assert not k.controller.state.deferred_requests


# Guards against a suspended request at the head of its key's queue that let the next one overtake it.
def test_suspended_request_keeps_its_position_in_the_queue_of_its_key():
    k = ControllerHarness(settings())
    k.request(1, 2, key=7)
    k.request(2, 2, key=7)
    k.end(1, AttemptOutcome.CONNECT_FAILED)
    k.end(1, AttemptOutcome.CONNECT_FAILED)
    k.suspend(1)
    if (1, 2) in k.open:
        k.end(1, AttemptOutcome.NOT_SENT)
    k.wait(300)
    assert all(request == 1 for request, _, _ in k.sent)
    k.resume(1)
    k.end(1)
    assert k.sent[-1][0] == 2


# Guards against: requests that arrived after the open ones had been ended at a shutdown were sent to engines.
@pytest.mark.parametrize("cls", range(4))
def test_request_that_arrives_after_all_were_ended_is_rejected_and_not_sent(cls):
    harness = ControllerHarness(settings())
    harness.request(1)
    for action in harness.controller.end_all_requests(harness.now):
        harness.check(action)
    harness.settle()
    sent_count = len(harness.sent)
    harness.request(2, cls, key=5)
    harness.wait(500.0)
    assert (harness.answers[2], len(harness.sent)) == ("RejectRequest", sent_count)
    assert harness.controller.requests == {}


def test_arrival_times_are_kept_only_for_the_retry_budget_window():
    # Without retries, arrival times were never pruned: 0.1 MB per hour for each request per second.
    for window_ms in (0.0, 1000.0):
        harness = ControllerHarness(
            settings(retry_budget_window_ms=window_ms, retry_budget_ratio=0.1, retry_budget_min=2.0)
        )
        harness.list(*(entry(n) for n in range(1, 5)), list_kind=EndpointListKind.FULL)
        for number in range(1, 2001):
            harness.request(number)
            harness.end(number)
            harness.now += 10.0  # 100 per second, for 20 s
        assert len(harness.controller.retries.arrivals) <= max(1, window_ms / 10.0 + 1), (
            window_ms,
            len(harness.controller.retries.arrivals),
        )


def test_policy_functions_stay_short():
    functions = [
        (path.name, node.name, node.end_lineno - node.lineno + 1)
        for path in POLICY_FILES
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef)
    ]
    assert len(functions) > 100
    assert [function for function in functions if function[2] > MAX_FUNCTION_LINES] == []
