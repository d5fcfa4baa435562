"""Writes each kind of stored data with fixed ids and times, for `write_fixtures` and for the tests that compare the
output of the present code with the fixtures.
"""

import asyncio
import io
import shutil
from unittest import mock

from compatibility.messages import BAN, BEAT, ENTRIES, ID, LISTED, RULES, SNAPSHOT, STORE, TICKET, TOKEN
from msgspec.msgpack import encode

from frostspindle.cores.layout import HeadCell, Layout
from frostspindle.cores.peer_workers import EngineLoadRow, OrphanedLoad
from frostspindle.cores.shared_memory import ControlPage, SharedMemoryBoard, WorkerRegion
from frostspindle.ledger.export import ExportSink
from frostspindle.order.shared_cells import OwnCellFile
from frostspindle.ownership.fence import TokenFence
from frostspindle.recovery import state_kinds, tickets
from frostspindle.recovery.idle_mark import MARK
from frostspindle.replica import wire as replica
from frostspindle.replica.disk import JournalFile as JournalFile
from frostspindle.replica.journal import RaftJournal
from frostspindle.settings import schema
from frostspindle.settings.version_store import VersionStore
from frostspindle.settings.versions import EMPTY_VERSION
from frostspindle.shared import Shared
from frostspindle.store.opening import open_store
from frostspindle.telemetry import Telemetry

COORDINATOR = "t0/a"
OPEN_REQUESTS = 250
BANNED = ("e7", "north/e 8")
PRESENCE = "run-4711-1f"
CELL_FILE = "turns-4711-1000000000000001"
CELL_FILE_OWNER = 0x1000000000000001
ORDER = {0: (77, 1_700_000_000_123), 5: (78, 1_700_000_000_124), 4095: (77, 1_700_000_000_125)}  # cell: key, stamp
EXPORT = b"team-a 17\n"
KEPT_AT_MS = 1_700_000_003_000.0
CHANGES = {**RULES, "ban/removed": None}
VERSION_3 = EMPTY_VERSION.child(number=3, changes=RULES, author="c1/141/142")
VERSION_4 = VERSION_3.child(
    number=4, changes={"ban/e8": None, "limit/tds_sessions": schema.Limit(value=64.0)}, author="c2/1/2"
)
RECOVERY_ENTRIES = {
    state_kinds.prefix("bans") + b"c1/e7": encode(BAN),
    state_kinds.prefix("engines") + b"e7": encode(LISTED),
    state_kinds.prefix("generations") + b"c2": encode(STORE),
    state_kinds.prefix("beat"): encode(BEAT),
    state_kinds.prefix("tickets") + tickets.ticket_id("request-1"): encode(TICKET),
    MARK: b"",
}


def shared_folder(root, copy):
    """Write bans and the presence of one process; copy the folder to `copy` while the process is running."""

    async def run():
        shared = Shared(environ={"TMPDIR": str(root)}, name=COORDINATOR, telemetry=Telemetry(sink=io.BytesIO()))
        shared.start(lambda banned: None, lambda is_sharing: None)
        shared.publish_open_requests(lambda: OPEN_REQUESTS, lambda: None)
        for engine in BANNED:
            shared.ban(name=engine, on=True)
        shutil.copytree(shared.folder, copy)
        shared.close()

    asyncio.run(run())


def key_order_file(folder):
    """Write one process's positions in the order of keyed requests."""
    with mock.patch("secrets.randbits", return_value=CELL_FILE_OWNER), mock.patch("os.getpid", return_value=4711):
        cell_file = OwnCellFile(folder)
    for cell, (key, stamp) in ORDER.items():
        cell_file.write_cell(cell=cell, key=key, stamp=stamp)
    cell_file.close(clean=False)


def fill_store(store):
    """Write everything that a coordinator keeps in its durable store; each batch is one generation."""
    store.apply(RECOVERY_ENTRIES)
    TokenFence(store).check(task="export", token=9)
    ExportSink(store).begin(period="2026-07", token=9)
    ExportSink(store).take(period="2026-07", token=9, rows=EXPORT)
    VersionStore(store).save(versions=(VERSION_3, VERSION_4), unix_ms=KEPT_AT_MS)


def durable_store(folder, engine):
    """Write a complete store of coordinator c1 and close it cleanly."""
    with mock.patch("secrets.token_bytes", return_value=ID):
        store = open_store(folder=folder, owner="c1", engine=engine)
    fill_store(store)
    store.close()


def replica_journal(folder):
    """Write a journal: snapshot, appended entry, truncation, new term and vote, and the mark of lost votes."""
    journal, file = RaftJournal(), JournalFile(folder)
    before, last, later = ENTRIES
    journal.compact(snapshot=replica.encode_snapshot(*SNAPSHOT), before=before, last=last)
    journal.setCurrentTerm(3, "c2")
    file.write(journal.take_pending_write())
    journal.add(*later)
    journal.add(replica.build_command(replica.ENTRY, replica.encode_body("ownership", b"cut off", TOKEN)), 8, 3)
    file.write(journal.take_pending_write())
    journal.deleteEntriesFrom(3)
    journal.setCurrentTerm(4, None)
    journal.set_votes_lost(True)
    file.write(journal.take_pending_write())
    file.close()


NONCE = int.from_bytes(ID[:8], "little")
ROW = EngineLoadRow(
    engine=7,
    version=12,
    health=2,
    ejected=True,
    threads=3,
    granted_mb=64.5,
    since_ms=1_700_000_000_000.0,
    reported_at_ms=1_700_000_001_000.0,
    report=(0.5, 8.0, 3.0),
    spent=21,
    wanted=22,
    lease_serial=23,
    name="e7",
    address="10.0.1.7:9000",
)
CONTROL = ControlPage(
    bans=["e8"],
    draining=True,
    crowded=True,
    ending=True,
    living={0: 3, 1: 4},
    sockets={0: 512, 1: 511},
    ghosts=[OrphanedLoad(engine=7, threads=2, granted_mb=32.0, until_ms=1_700_000_002_100.0)],
    lost=[91, 92],
    leases={7: ([1, 2], [3, 4])},
)
COUNTER, COUNT = ("answered", "http", "batch"), 17
TICKETS = [101, 102]
HEAD_CELLS = {
    cell: 200 + cell
    for cell in (
        HeadCell.INCARNATION,
        HeadCell.PID,
        HeadCell.STATE,
        HeadCell.OPEN_REQUESTS,
        HeadCell.CLIENT_CONNECTIONS,
        HeadCell.DESCRIPTORS_USED,
        HeadCell.ROW_UPDATES,
        HeadCell.URGENT_UPDATES,
        HeadCell.CONTROL_VERSION,
        HeadCell.TDS_SESSIONS,
    )
}


def board():
    """Create the shared memory of two workers, with a value in each part; the caller closes it."""
    with mock.patch("os.urandom", return_value=ID[:8]):
        created = SharedMemoryBoard.create(Layout(slots=2, engines=2, counters=2, buckets=2))
    created.publish(CONTROL)
    created.set_lease_expiry(slot=1, time_ms=5_000.5)
    region = WorkerRegion(board=created, slot=1)
    for cell, value in HEAD_CELLS.items():
        region.write_cell(cell=cell, value=value)
    region.heartbeat_ms = 4_000.25
    region.store_counter(key=COUNTER, value=COUNT)
    region.write_row(ROW)
    for ticket in TICKETS:
        region.add_request(ticket)
    return created
