"""Tenants: the rule index against a reference matcher, and the tenants of requests in the decision module."""

import random

import pytest
from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings
from peers import EdgeCase, TdsClient, TdsEngine

from frostspindle.ledger.rule_index import RuleIndex
from frostspindle.ledger.tenant_rules import RequestAttributes, Rule, best_match, matches

NAME_PATTERNS = ("", "", "", "sales", "Sales", "sales_*", "sales_17", "s*", "ops", "ops_2", "*")
ADDRESSES = ("", "", "10.0.0.0/8", "10.1.0.0/16", "10.1.2.3", "0.0.0.0/0", "fd00::/8", "fd00::1", "192.168.0.0/17")


def random_rule(generator, number):
    return Rule(
        f"t{number}",
        generator.choice(("", "http", "tds")),
        generator.choice(("", "", "X-Team=blue", "x-team=Blue", "A=1")),
        *(generator.choice(NAME_PATTERNS) for _ in range(4)),
        generator.choice(ADDRESSES),
    )


def random_attributes(generator):
    return RequestAttributes(
        generator.choice(("http", "tds")),
        generator.choice(("10.1.2.3", "10.1.9.9", "10.9.9.9", "fd00::1", "fd00::2", "", "192.168.200.1", "nowhere")),
        generator.choice(({}, {b"x-team": b"blue"}, {b"x-team": b" Blue "}, {b"a": b"1", b"x-team": b"blue"})),
        *(generator.choice(("", "sales", "SALES_17", "sales_2", "ops", "s", "ops_21")) for _ in range(4)),
    )


@given(strategies.integers(0, 10**6))
@hypothesis_settings(max_examples=150, deadline=None)
def test_index_finds_the_same_rule_as_the_reference_matcher(seed):
    generator = random.Random(seed)
    rules = [random_rule(generator, number) for number in range(generator.randint(0, 25))]
    index = RuleIndex(rules)
    for _ in range(20):
        attributes = random_attributes(generator)
        assert index.find(attributes) == best_match(rules, attributes)


def test_longest_prefix_wins_then_more_conditions_then_longer_names_then_the_first():
    rules = [
        Rule("any"),
        Rule("net", address="10.0.0.0/8"),
        Rule("host", address="10.1.2.3"),
        Rule("two", application="a", database="b"),
        Rule("one", application="a"),
        Rule("star", application="a*"),
        Rule("again", application="a"),
    ]
    index = RuleIndex(rules)

    def tenant(**attributes):
        return index.find(RequestAttributes("http", **attributes)).tenant

    assert tenant() == "any" and tenant(address="10.9.9.9", application="a") == "net"
    assert tenant(address="10.1.2.3") == "host" and tenant(application="a", database="b") == "two"
    assert tenant(application="A") == "star"  # "a*" is the longer name
    assert tenant(application="ab") == "star" and tenant(address="9.9.9.9") == "any"
    assert matches(rules[2], RequestAttributes("tds", "10.1.2.3")) and not matches(
        rules[2], RequestAttributes("tds", "10.1.2.4")
    )


@pytest.mark.parametrize(
    "rule, pattern",
    [
        (Rule("t", header="X"), "header"),
        (Rule("t", schema="a*b"), "schema"),
        (Rule("t", address="10.0.0.1/8"), "host bits"),
        (Rule("t", address="x"), "x"),
    ],
)
def test_invalid_rule_raises_an_error_that_names_the_reason(rule, pattern):
    with pytest.raises(ValueError, match=pattern):
        rule.check()


OPERATOR = """
[[tenant]]
name = "blue"
share_per_s = 2.0
[[tenant.rule]]
header = "X-Team=blue"
[[tenant.rule]]
front = "tds"
database = "blue_*"
[[tenant]]
name = "ops"
[[tenant.rule]]
schema = "ops_*"
"""


class Fronts(EdgeCase):
    def tenants(self):
        names = ["default", *(tenant.name for tenant in self.program.config.operator.tenant)]
        return [names[event.tenant] for event in self.arrived]

    async def start_recording(self, *, operator=OPERATOR):
        await self.start(operator=operator)
        self.arrived, handlers = [], self.program.core.controller.handlers
        from frostspindle.policy import RequestArrived

        handle = handlers[RequestArrived]
        handlers[RequestArrived] = lambda now, event: (self.arrived.append(event), handle(now, event))

    async def test_http_requests_reach_the_decision_module_with_their_tenant(self):
        await self.start_recording()
        await self.ask(number=1, **{"X-Team": "blue"})
        await self.ask(number=2, **{"X-Team": "red"})
        await self.ask(number=3, sql="SELECT 1 FROM Ops_3.jobs -- blue_1.x")
        self.assertEqual(self.tenants(), ["blue", "default", "ops"])
        self.assertEqual(self.program.core.controller.settings.tenant_quotas_per_s, (0.0, 2.0, 0.0))

    async def test_requests_above_a_quota_are_queued_after_the_others(self):
        await self.start_recording()
        for number in range(1, 7):
            await self.ask(number=number, **{"X-Team": "blue"})
        self.assertGreater(len([event for event in self.arrived if event.tenant == 1]), 5)
        self.assertLess(self.program.core.controller.quotas.buckets[1], 1.0)  # the tenant's token bucket is empty

    async def test_tds_sessions_are_assigned_to_tenants_by_their_login(self):
        engine = await TdsEngine().start()
        self.addCleanup(engine.server.close)
        await self.start_recording(
            operator=OPERATOR
            + f"""
[tds]
listen = "127.0.0.1:0"
[[tds.login]]
class = "lookup"
[[tds.engine]]
name = "tds-1"
dial = "127.0.0.1:{engine.port}"
"""
        )
        for database in ("blue_9", "green"):
            client = await TdsClient(self.program.tds.port).open(database=database)
            self.addCleanup(client.writer.close)
            await client.query("SELECT 1")
        self.assertEqual(self.tenants(), ["blue", "default"])
