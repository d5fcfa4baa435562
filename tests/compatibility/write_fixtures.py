"""Write the fixtures again, in the format of this version of the program, with the root and `tests` on the path:
`python -m compatibility.write_fixtures`. No test runs it; the committed files are of the version before the renaming.
"""

import contextlib
import gzip
import json
import shutil
import tempfile
from pathlib import Path

from compatibility import agreed, machines, stored
from compatibility.mesh import call_frame, reply_frame
from compatibility.messages import CALL, FAMILIES, REPLY, RULES

from frostspindle.settings import schema
from frostspindle.settings.version_encoding import pack_changes
from frostspindle.store.base import StoreBrokenError
from frostspindle.store.marker_engine import MarkerEngine
from frostspindle.store.sqlite_engine import SqliteEngine

DATA = Path(__file__).with_name("data")


class Interrupted(MarkerEngine):
    """A marker store whose process ends after recording a batch and before applying it."""

    def _carry(self, moves, goal):
        if goal.generation == 5:
            raise OSError("interrupted")
        super()._carry(moves, goal)


def write_json(name, content):
    """Write a JSON file, one value a line."""
    (DATA / name).write_text(json.dumps(content, indent=1) + "\n")


def messages():
    """All encoded messages and records, as hexadecimal text by section and name."""
    sections = {
        section: {name: encode(value).hex() for name, value in samples.items()}
        for section, (_, encode, samples) in FAMILIES.items()
    }
    sections["settings entry"] = {key: schema.encode_msgpack(entry).hex() for key, entry in RULES.items()}
    sections["settings changes"] = {"packed": pack_changes(stored.CHANGES).hex()}
    sections["mesh"] = {"call": call_frame(*CALL).hex(), "reply": reply_frame(REPLY).hex()}
    sections["snapshot"] = {
        "settings": machines.settings().state().hex(),
        "leases": machines.leases().state().hex(),
        "warming": machines.warming().state().hex(),
    }
    return sections


def main():
    """Write all fixtures after removing the old ones."""
    shutil.rmtree(DATA, ignore_errors=True)
    DATA.mkdir()
    write_json("messages.json", messages())
    write_json("agreed.json", agreed.agreed())
    with tempfile.TemporaryDirectory() as scratch:
        stored.shared_folder(Path(scratch), DATA / "shared" / "frostspindle-t0%2Fa")
    for marker in (DATA / "shared").glob("*/run-*"):
        marker.rename(marker.with_name(stored.PRESENCE))
    (DATA / "order").mkdir()
    stored.key_order_file(DATA / "order")
    stored.durable_store(DATA / "store-sqlite", SqliteEngine)
    stored.durable_store(DATA / "store-marker", MarkerEngine)
    with contextlib.suppress(StoreBrokenError):
        stored.durable_store(DATA / "store-unfinished", Interrupted)
    stored.replica_journal(DATA / "journal")
    board = stored.board()
    (DATA / "board.gz").write_bytes(gzip.compress(bytes(board.bytes), mtime=0))
    board.close()


if __name__ == "__main__":
    main()
