"""One sample of each message between processes, of each command on the replicated log and of each stored record.

Each table maps a sample's name in `data/messages.json` to its value; no field has its default value.
"""

from functools import partial

from msgspec import json
from msgspec.msgpack import decode, encode

from frostspindle.config import TenantRule
from frostspindle.cores.bootstrap import WorkerBootstrap
from frostspindle.fleet import wire as fleet
from frostspindle.ownership import lease_table, progress
from frostspindle.recovery import tickets
from frostspindle.recovery import wire as recovery
from frostspindle.recovery.inputs import HeartbeatRecord
from frostspindle.replica import wire as replica
from frostspindle.scatter import wire as scatter
from frostspindle.settings import log_commands, schema
from frostspindle.store import records
from frostspindle.store.base import StoreDigest
from frostspindle.store.opening_decision import HeadRecord, KnownStore, MetaRecord
from frostspindle.subscriptions import cursor
from frostspindle.subscriptions import wire as subscriptions

ID, TOKEN = bytes(range(16)), bytes(range(16, 32))
CLAIM = fleet.MemberState(
    name="c1", host="10.0.0.1", port=7101, state=fleet.ALIVE, epoch=171, incarnation=3, proof=ID, suspected_by="c2"
)
SUSPICION = fleet.Suspicion(name="c3", state=fleet.SUSPECT, epoch=172, incarnation=4, suspected_by="c1")
ROW = fleet.CounterRow(
    origin="c1",
    epoch=171,
    stream=5,
    base_version=8,
    version=9,
    age_ms=12.5,
    entries=[("team-a", 4, 17, 2), ("", 5, 1, 0)],
)
VERDICT = fleet.Verdict(engine="e7", kind=2, age_ms=250.0, evidence=[0.5, -3.0])

# Bodies of the datagrams between coordinators; each is sent in a Packet.
FLEET = {
    "ping": fleet.Ping(sequence=11),
    "acknowledgement": fleet.Ack(sequence=12),
    "indirect ping": fleet.PingRequest(sequence=13, target="c3"),
    "negative acknowledgement": fleet.Nack(sequence=14),
    "membership pull": fleet.MembersRequest(after="c2"),
    "membership page": fleet.MembersPage(last="c9"),
    "gossip only": fleet.Gossip(),
    "verdicts": fleet.VerdictDigest(verdicts=[VERDICT]),
    "loan request": fleet.QuotaRequest(
        budget="cold",
        budget_digest=21,
        sequence=22,
        lender_epoch=23,
        loan=24,
        returned=25,
        closed_loan=26,
        wanted=27,
    ),
    "loan grant": fleet.QuotaGrant(
        budget="cold", budget_digest=31, sequence=32, loan=33, granted=34, limit=35, available=36
    ),
    "loan return": fleet.QuotaReturn(budget="cold", lender_epoch=41, loan=42, returned=43),
    "comparison": fleet.CountersRequest(begin=2**40 + 1, range_bits=6, salt=51, fingerprints=b"\x01\x02\xff"),
    "count rows": fleet.CountersPage(next_begin=2**41 + 1, rows=[ROW]),
    "application message": fleet.ApplicationMessage(channel=3, data=b"payload"),
}
FLEET_PACKETS = {
    name: fleet.Packet(sender=CLAIM, recipient="c2", body=body, claims=[CLAIM], rows=[ROW], suspicions=[SUSPICION])
    for name, body in FLEET.items()
}

STORE = recovery.StoreState(id=ID, incarnation=2, generation=40)
OTHER_STORE = recovery.StoreState(id=TOKEN, incarnation=3, generation=41)
BAN = recovery.BanStatement(origin="c1", engine="e7", banned=True, at_ms=1_700_000_000_123.0)
LISTED = recovery.ListedEngine(
    name="e7",
    address="10.0.1.7:9000",
    zone="north",
    kind="large",
    cell=-4,
    health=2,
    weight=1.5,
    started_ms=1_700_000_000_000.0,
    published_start_ms=1_699_999_999_000.0,
    start_confirmed=False,
)
RECOVERY = {
    "state request": recovery.ReportRequest(seq=61, page=2, own_store=STORE),
    "state page": recovery.ReportPage(
        seq=62,
        digest=63,
        page=1,
        page_count=4,
        last_event=64,
        uptime_ms=65.5,
        settled=True,
        store_lost=True,
        your_store=OTHER_STORE,
        own_store=STORE,
        engines=[LISTED],
        bans=[BAN],
    ),
    "ticket claim": recovery.TicketClaim(ticket=ID, nonce=71),
    "ticket reply": recovery.TicketReply(
        ticket=ID, nonce=72, status=recovery.TicketStatus.IN_COOLDOWN, own_store=STORE
    ),
    "ticket release": recovery.TicketRelease(ticket=ID, nonce=73),
}
BEAT = HeartbeatRecord(at_ms=1_700_000_001_000.0, last_event=66, clean_shutdown=True)
TICKET = tickets.TicketRecord(claimant="c2", nonce=74, at_ms=1_700_000_002_000.0)

CELLS = {"region": [(2, "north"), (1, "7")]}
SCATTER = {
    "lease request": scatter.LeaseRequest(key="t/0", catalogue_digest=81, seq=82, epoch=83, floor=84, have=85),
    "lease renewed": scatter.LeaseUnchanged(key="t/0", seq=86, version=87),
    "summary piece": scatter.SummaryPiece(key="t/0", seq=88, version=89, index=1, count=3, data=b"piece"),
    "summary updated": scatter.SummaryUpdated(key="t/0", version=90, rows=91, cells=CELLS),
    "summary updated, unknown": scatter.SummaryUpdated(key="t/0", version=92, rows=93, cells=None),
    "version acknowledged": scatter.UpdateAcknowledged(key="t/0", epoch=94, version=95),
    "load intent": scatter.LoadAnnounced(key="t/0", catalogue_digest=96, load=97, chunk=2, rows=98, cells=CELLS),
    "load intent known": scatter.LoadPermitted(key="t/0", load=99, chunk=2),
    "load ended": scatter.LoadEnded(key="t/0", load=100, chunks=3, ran=True),
    "load known": scatter.LoadRecorded(key="t/0", load=101, kept=True),
    "lease released": scatter.ReleaseLease(key="t/0", epoch=102),
}

SUBSCRIPTIONS = {
    "interest": subscriptions.StreamRequest(
        sid=111, version=2, epoch=112, after=113, filters=("kind = 'load'", "ms > 5")
    ),
    "events": subscriptions.EventBatch(
        receiver_epoch=114,
        sid=115,
        version=3,
        start=True,
        after=116,
        through=120,
        heartbeat_ms=750,
        lost=False,
        events=(
            subscriptions.PublishedEvent(number=117, kind=1, at_ms=1_700_000_000_123, values=("e7", "ban", "sick")),
            subscriptions.PublishedEvent(number=118, kind=2, at_ms=1_700_000_000_124, values=("north", 4, None)),
        ),
    ),
    "events lost": subscriptions.EventBatch(
        receiver_epoch=114,
        sid=115,
        version=3,
        start=False,
        after=120,
        through=130,
        heartbeat_ms=750,
        lost=True,
        events=(),
    ),
    "events acknowledged": subscriptions.EventAck(sid=121, version=4, through=122),
    "stream ended": subscriptions.StreamStop(sid=123, version=5),
    "stream unknown": subscriptions.UnknownStream(sid=124, version=6),
}

# Commands on the log and the state machines' results and rows.
OWNERSHIP = {
    "lease command": lease_table.RenewLeases(
        holder="c1",
        incarnation=2,
        number=131,
        duration_ms=3_000,
        acquisitions=[("export", 5, 6)],
        renewals=[("settings", 7)],
        releases=[("warm/e7", 8)],
    ),
    "forced release": lease_table.ForceRelease(holder="c1", incarnation=2, number=132, task="export", token=9),
    "leave": lease_table.ReleaseAll(holder="c1", incarnation=2, number=133),
}
OWNERSHIP_ANSWER = lease_table.CommandResult(
    reason="doubled", acquisitions=[True, False], renewals=[True], releases=[False]
)
WARMING_NOTE = progress.RecordProgress(token=135, engine="e7", born_ms=1_700_000_000_000.0, position=12)

# One entry of each kind; entries are stored with the names of their fields.
RULES = {
    "scope/http": schema.ListScope(),
    "scope/tds": schema.ListScope(),
    "scope/login": schema.ListScope(),
    "scope/coordinator": schema.ListScope(),
    "engine/http/e7": schema.Engine(
        name="e7",
        dial="10.0.1.7:9000",
        zone="north",
        kind="large",
        block=4,
        cores=16.0,
        memory_mb=4096.0,
        state="leaving",
        weight=0.5,
        most=12,
    ),
    "engine/tds/d1": schema.Engine(name="d1", dial="10.0.2.1:1433", front="tds"),
    "ban/e8": schema.Ban(engine="e8", why="disk"),
    "drain/e9": schema.Ban(engine="e9", why="kernel"),
    "tenant/team-a": schema.Tenant(
        name="team-a",
        share_per_s=25.0,
        rule=(TenantRule(front="http", header="X-Team=a", schema="sales", address="10.1.0.0/16"),),
    ),
    "login/report": schema.Login(
        name="report",
        cls="batch",
        application="cube",
        database="sales",
        deadline_ms=20_000.0,
        cost_ms=40.0,
        memory_mb=64.0,
        secret="env:REPORT_SECRET",
    ),
    "class/batch": schema.Class(name="batch", aim_ms=900.0, deadline_ms=30_000.0, worth=2.0, effect="by_key"),
    "coordinator/c1": schema.Coordinator(name="c1", part=0.5),
    "limit/open_requests": schema.Limit(value=512.0),
}
SETTINGS = {
    "draft": log_commands.DraftPiece(
        author="c1",
        process=141,
        number=142,
        base_version=3,
        digest=ID,
        piece_index=1,
        piece_count=2,
        data=b"changes",
        target_version=4,
    ),
    "publish": log_commands.PublishVersion(token=143, draft="c1/141/142"),
    "hold": log_commands.RenewLease(
        name="c1",
        process=144,
        number=145,
        acknowledged=5,
        active=4,
        rejected=6,
        reason="class/batch",
        figures=(7, 8, 9),
    ),
    "live": log_commands.Activate(token=146, version=5, baseline=(0.5, 1.25)),
    "withdraw": log_commands.Withdraw(token=147, version=5, reason="refused by c2"),
    "proven": log_commands.Confirm(token=148, version=5),
    "rollback": log_commands.Rollback(token=149, version=5, reason="errors"),
    "forget": log_commands.RemoveMember(token=150, name="c2", process=151, number=152),
    "leave": log_commands.MemberLeaving(name="c1", process=153),
}

# Messages of the replication library: dicts whose keys the library defines.
ENTRIES = [
    (bytes([replica.NO_OP]), 5, 2),
    (replica.build_command(replica.ENTRY, replica.encode_body("settings", b"command", TOKEN)), 6, 2),
    (replica.encode_voter_change("add", "c4"), 7, 3),
]
REPLICA = {
    "vote request": {"type": "request_vote", "term": 3, "last_log_index": 7, "last_log_term": 2},
    "vote": {"type": "response_vote", "term": 3},
    "append": {
        "type": "append_entries",
        "term": 3,
        "commit_index": 6,
        "prevLogIdx": 4,
        "prevLogTerm": 2,
        "entries": ENTRIES,
    },
    "snapshot piece": {
        "type": "append_entries",
        "term": 3,
        "commit_index": 6,
        "serialized": (b"snapshot", True, False),
    },
    "next index": {"type": "next_node_idx", "term": 3, "next_node_idx": 8, "reset": True, "success": False},
    "forwarded command": {"type": "apply_command", "request_id": 161, "command": ENTRIES[1][0]},
    "forwarded command applied": {
        "type": "apply_command_response",
        "request_id": 162,
        "log_idx": 9,
        "log_term": 3,
    },
    "forwarded command failed": {"type": "apply_command_response", "request_id": 163, "error": 4},
}
SNAPSHOT = (ENTRIES[0], ENTRIES[1], ["c1", "c2", "c3"], {"settings": b"state", "ownership": b"rows"})

HEAD = HeadRecord(format=1, kind="sqlite", owner="c1", id=ID, incarnation=2, inode=171)
META = MetaRecord(id=ID, generation=40, contents=StoreDigest(entries=3, size=120, digest=2**100 + 1))
WITNESSED = KnownStore(owner="c1", id=ID, incarnation=2, generation=40)
MOVES = {b"kept": 0, b"removed": None}


BOOTSTRAP = WorkerBootstrap(
    slot=1,
    incarnation=2,
    slots=4,
    nonce=181,
    sockets=182,
    board=5,
    life=6,
    mesh=7,
    listener=8,
    paths={0: "\0one", 1: "\0two"},
    tds=9,
    order="/run/order",
)
CALL = (b"GET", b"/call/12?page=2")
REPLY = (200, {"rows": [1, "a", None], "next": "/call/13"}, "Retry-After: 1\r\n", True)


def encode_batch(batch):
    meta, moves = batch
    return records.encode_batch(meta, moves)


def encode_snapshot(parts):
    before, last, voters, states = parts
    return replica.encode_snapshot(before, last, voters, states)


def encode_body(parts):
    topic, command, token = parts
    return replica.encode_body(topic, command, token)


# By section of the file: decoder, encoder, and the samples by name.
FAMILIES = {
    "fleet": (fleet.decode, fleet.encode, FLEET_PACKETS),
    "recovery": (recovery.decode, recovery.encode, RECOVERY),
    "scatter": (scatter.decode, scatter.encode, SCATTER),
    "subscriptions": (subscriptions.decode, subscriptions.encode, SUBSCRIPTIONS),
    "ownership": (lease_table.decode_command, lease_table.encode, OWNERSHIP),
    "ownership answer": (lease_table.decode_result, lease_table.encode, {"refused": OWNERSHIP_ANSWER}),
    "warming": (partial(decode, type=progress.RecordProgress), progress.encode, {"note": WARMING_NOTE}),
    "settings": (log_commands.decode_command, log_commands.encode_command, SETTINGS),
    "replica": (replica.decode_message, replica.encode_message, REPLICA),
    "replica entry": (replica.decode_body, encode_body, {"proposal": ("settings", b"command", TOKEN)}),
    "replica snapshot": (replica.decode_snapshot, encode_snapshot, {"snapshot": SNAPSHOT}),
    "recovery ban": (recovery.decode_ban, recovery.encode, {"ban": BAN}),
    "recovery store": (recovery.decode_store_state, recovery.encode, {"store": STORE}),
    "recovery engine": (recovery.decode_listed_engine, recovery.encode, {"engine": LISTED}),
    "recovery heartbeat": (partial(decode, type=HeartbeatRecord), encode, {"heartbeat": BEAT}),
    "recovery ticket": (partial(decode, type=tickets.TicketRecord), encode, {"ticket": TICKET}),
    "store head": (records.decode_head, records.encode_head, {"head": HEAD}),
    "store state": (records.decode_meta, records.encode_meta, {"state": META}),
    "store witness": (records.decode_known, records.encode_known, {"witness": WITNESSED}),
    "store batch": (records.decode_batch, encode_batch, {"batch": (META, MOVES)}),
    "worker start": (partial(json.decode, type=WorkerBootstrap), json.encode, {"worker": BOOTSTRAP}),
    "subscription cursor": (
        lambda data: cursor.decode(data.decode()),
        lambda value: cursor.encode(value.filter, value.at).encode(),
        {"cursor": cursor.Cursor(form=1, filter="kind = 'load'", at={"c1": (171, 9), "c2": (172, 8)})},
    ),
}
