"""Tenants: the index against the plain meaning of the rules, and their way to the module's shares."""

import random

import pytest
from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings
from peers import EdgeCase, TdsClient, TdsEngine

from frostspindle.ledger.tenants import Index, RequestAttributes, Rule, fits, scan

WORDS = ("", "", "", "sales", "Sales", "sales_*", "sales_17", "s*", "ops", "ops_2", "*")
PLACES = ("", "", "10.0.0.0/8", "10.1.0.0/16", "10.1.2.3", "0.0.0.0/0", "fd00::/8", "fd00::1", "192.168.0.0/17")


def draw_rule(draw, number):
    return Rule(
        f"t{number}",
        draw.choice(("", "http", "tds")),
        draw.choice(("", "", "X-Team=blue", "x-team=Blue", "A=1")),
        *(draw.choice(WORDS) for _ in range(4)),
        draw.choice(PLACES),
    )


def draw_facts(draw):
    return RequestAttributes(
        draw.choice(("http", "tds")),
        draw.choice(("10.1.2.3", "10.1.9.9", "10.9.9.9", "fd00::1", "fd00::2", "", "192.168.200.1", "nowhere")),
        draw.choice(({}, {b"x-team": b"blue"}, {b"x-team": b" Blue "}, {b"a": b"1", b"x-team": b"blue"})),
        *(draw.choice(("", "sales", "SALES_17", "sales_2", "ops", "s", "ops_21")) for _ in range(4)),
    )


@given(strategies.integers(0, 10**6))
@hypothesis_settings(max_examples=150, deadline=None)
def test_the_index_finds_what_a_look_at_every_rule_finds(seed):
    draw = random.Random(seed)
    rules = [draw_rule(draw, number) for number in range(draw.randint(0, 25))]
    index = Index(rules)
    for _ in range(20):
        facts = draw_facts(draw)
        assert index.find(facts) == scan(rules, facts)


def test_the_longest_prefix_wins_then_more_conditions_then_longer_names_then_the_first():
    rules = [
        Rule("any"),
        Rule("net", address="10.0.0.0/8"),
        Rule("host", address="10.1.2.3"),
        Rule("two", application="a", database="b"),
        Rule("one", application="a"),
        Rule("star", application="a*"),
        Rule("again", application="a"),
    ]
    index = Index(rules)

    def tenant(**facts):
        return index.find(RequestAttributes("http", **facts)).tenant

    assert tenant() == "any" and tenant(address="10.9.9.9", application="a") == "net"
    assert tenant(address="10.1.2.3") == "host" and tenant(application="a", database="b") == "two"
    assert tenant(application="A") == "star"  # "a*" is the longer name
    assert tenant(application="ab") == "star" and tenant(address="9.9.9.9") == "any"
    assert fits(rules[2], RequestAttributes("tds", "10.1.2.3")) and not fits(
        rules[2], RequestAttributes("tds", "10.1.2.4")
    )


@pytest.mark.parametrize(
    "rule, word",
    [
        (Rule("t", header="X"), "header"),
        (Rule("t", schema="a*b"), "schema"),
        (Rule("t", address="10.0.0.1/8"), "host bits"),
        (Rule("t", address="x"), "x"),
    ],
)
def test_a_rule_that_can_t_be_used_says_why(rule, word):
    with pytest.raises(ValueError, match=word):
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
        return [names[job.tenant] for job in self.seen]

    async def asked(self, *, operator=OPERATOR):
        await self.start(operator=operator)
        self.seen, on_request = [], self.program.core.controller.handlers
        from frostspindle.policy import RequestArrived

        take = on_request[RequestArrived]
        on_request[RequestArrived] = lambda now, event: (self.seen.append(event), take(now, event))

    async def test_http_requests_reach_the_module_under_their_tenant(self):
        await self.asked()
        await self.ask(number=1, **{"X-Team": "blue"})
        await self.ask(number=2, **{"X-Team": "red"})
        await self.ask(number=3, sql="SELECT 1 FROM Ops_3.jobs -- blue_1.x")
        self.assertEqual(self.tenants(), ["blue", "default", "ops"])
        self.assertEqual(self.program.core.controller.settings.tenant_quotas_per_s, (0.0, 2.0, 0.0))

    async def test_what_passes_a_share_goes_behind_the_others(self):
        await self.asked()
        for number in range(1, 7):
            await self.ask(number=number, **{"X-Team": "blue"})
        self.assertGreater(len([job for job in self.seen if job.tenant == 1]), 5)
        self.assertLess(self.program.core.controller.quotas.buckets[1], 1.0)  # the module's own bucket is empty

    async def test_tds_sessions_are_told_by_their_login(self):
        engine = await TdsEngine().start()
        self.addCleanup(engine.server.close)
        await self.asked(
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
