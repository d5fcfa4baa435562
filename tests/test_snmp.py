"""The SNMP agent over loopback, queried by the manager of pysnmp."""

import json
import re
from pathlib import Path

from peers import EdgeCase, host
from pysnmp.hlapi.v3arch.asyncio import (
    CommunityData,
    ContextData,
    ObjectIdentity,
    ObjectType,
    OctetString,
    SnmpEngine,
    UdpTransportTarget,
    bulk_cmd,
    get_cmd,
    next_cmd,
    set_cmd,
)
from pysnmp.proto import rfc1905

ROOT = "1.3.6.1.4.1.32473.1"
MIB = Path(__file__).parent.parent / "mibs/FROSTSPINDLE-MIB.txt"


class AgentOverLoopback(EdgeCase):
    async def ask(self, command, *oids, community="watch", numbers=(), **kw):
        if not hasattr(self, "manager"):
            self.manager = SnmpEngine()
            self.addCleanup(self.manager.close_dispatcher)
        target = await UdpTransportTarget.create(
            ("127.0.0.1", self.program.agent.port), retries=0, timeout=0.5 if community == "guess" else 5.0
        )
        things = [ObjectType(ObjectIdentity(f"{ROOT}{oid}"), *kw.get("value", ())) for oid in oids]
        failure, status, _, found = await command(
            self.manager,
            CommunityData(community, mpModel=kw.get("version", 1)),
            target,
            ContextData(),
            *numbers,
            *things,
            lookupMib=False,
        )
        return failure, int(status), [(str(name)[len(ROOT) :], value) for name, value in found]

    async def test_get_walk_wrong_community_and_set(self):
        (engine,) = await self.engines()
        await self.coordinator(
            [host("s-00000004", engine.port)], operator='[snmp]\nlisten = "127.0.0.1:0"\ncommunity = "watch"'
        )
        self.assertEqual((await EdgeCase.ask(self))[0], 200)
        _, status, found = await self.ask(get_cmd, ".1.1.1.0", ".1.2.1.7.1.1", ".1.3.1.4.5", ".1.9.9")
        self.assertEqual((status, [str(value) for _, value in found[:3]]), (0, ["t0", "1", "1"]))
        self.assertEqual(found[3][1], rfc1905.noSuchObject)
        figures = json.loads((await self.operate("show-stat"))[0])
        _, _, found = await self.ask(get_cmd, ".1.1.3.0", ".1.1.6.0", ".1.1.7.0", ".1.1.8.0")
        self.assertEqual(
            [int(value) for _, value in found],
            [figures[name] for name in ("inflight", "backend_calls", "hosts_listed", "hosts_down")],
        )
        self.assertEqual(figures["backend_calls"], 1)
        walked, at = [], ".0"
        while True:
            _, status, found = await self.ask(next_cmd, at)
            if found[0][1] == rfc1905.endOfMibView:
                break
            self.assertEqual(status, 0)
            at = found[0][0]
            walked.append(at)
        self.assertEqual(walked, sorted(walked, key=lambda oid: [int(n) for n in oid[1:].split(".")]))
        _, _, bulk = await self.ask(bulk_cmd, ".0", numbers=(0, 50))
        self.assertEqual([oid for oid, value in bulk if value != rfc1905.endOfMibView], walked)
        self.assertIsNotNone((await self.ask(get_cmd, ".1.1.1.0", community="guess"))[0], "no response")
        _, status, _ = await self.ask(get_cmd, ".1.1.1.0", version=0)
        self.assertNotEqual(status, 0, "SNMPv1 is rejected")
        _, status, _ = await self.ask(set_cmd, ".1.1.1.0", value=(OctetString("x"),))
        self.assertEqual(status, 17)  # notWritable
        self.assertEqual(self.count("snmp_sets_refused"), 1)
        self.check_mib(walked)

    def check_mib(self, walked):
        """Check that the agent serves exactly the columns and scalars of the MIB."""
        text, numbers = MIB.read_text(), {}
        places = re.findall(r"^([a-z]\w+) (?:(?!^\w).)*?::= \{ (\w+) (\d+) \}", text, re.M | re.S)
        for name, parent, number in places:
            numbers[name] = f"{numbers.get(parent, '')}.{number}" if name != "frostspindleMIB" else ""
        names = re.findall(r"^(\w+) OBJECT-TYPE\s+SYNTAX.*\n\s+MAX-ACCESS\s+read-only", text, re.M)
        readable = {numbers[name] for name in names}
        served = {".".join(oid.split(".")[:4] if oid.startswith(".1.1.") else oid.split(".")[:5]) for oid in walked}
        self.assertEqual(served, readable)
