"""The stores that the contract tests run against; add a new one to STORES."""

from __future__ import annotations

import os
import pickle
import resource
import shutil
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from frostspindle.store.base import Store, StoreLimits
from frostspindle.store.durable_store import DurableStore
from frostspindle.store.engine import StoreEngine
from frostspindle.store.marker_engine import MarkerEngine
from frostspindle.store.memory import MemoryStore
from frostspindle.store.opening import open_store
from frostspindle.store.sqlite_engine import SqliteEngine

SMALL = StoreLimits(key=6, value=40, entries=12, total=200, batch=8)
# These tests don't depend on syncs, which are free in memory; any folder works.
BASE_FOLDER = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None


@dataclass(frozen=True)
class Kind:
    name: str
    engine: type[StoreEngine] | None = None

    def open(self, folder: Path, limits: StoreLimits = SMALL, owner: str = "c1", **more: Any) -> Store | DurableStore:
        return MemoryStore(limits) if self.engine is None else open_store(folder, owner, self.engine, limits, **more)


STORES = (Kind("memory"), Kind("disk", SqliteEngine), Kind("marker", MarkerEngine))
DURABLE = tuple(kind for kind in STORES if kind.engine is not None)


@contextmanager
def folder() -> Iterator[Path]:
    """Yield a folder that other users can access."""
    path = tempfile.mkdtemp(dir=BASE_FOLDER)
    os.chmod(path, 0o755)
    try:
        yield Path(path, "s")
    finally:
        shutil.rmtree(path)


def files(folder_path: Path) -> dict[str, bytes]:
    """Return the contents of all files under a folder."""
    return {
        str(path.relative_to(folder_path)): path.read_bytes()
        for path in sorted(folder_path.rglob("*"))
        if path.is_file()
    }


def replace_files(folder_path: Path, content: dict[str, bytes]) -> None:
    """Replace the folder's contents by exactly these files, with new inodes as in any copy."""
    shutil.rmtree(folder_path, ignore_errors=True)
    for name, data in content.items():
        (folder_path / name).parent.mkdir(parents=True, exist_ok=True)
        (folder_path / name).write_bytes(data)


class Child:
    """A process that runs a call and sends what it reports over a pipe."""

    def __init__(
        self, call: Callable[[Callable[[Any], None]], Any], user: int | None = None, file_bytes: int | None = None
    ) -> None:
        reader, writer = os.pipe()
        self.pid = os.fork()
        if not self.pid:
            try:
                if user is not None and os.geteuid() == 0:
                    os.setgroups([])
                    os.setgid(user)
                    os.setuid(user)
                if file_bytes is not None:
                    resource.setrlimit(resource.RLIMIT_FSIZE, (file_bytes, file_bytes))
                output = os.fdopen(writer, "wb", buffering=0)
                call(lambda report: output.write(pickle.dumps(report)))
            except BaseException as error:  # noqa: BLE001 - reported; must not continue in the parent's code
                output.write(pickle.dumps(repr(error)))
            finally:
                os._exit(0)
        os.close(writer)
        self.pipe = os.fdopen(reader, "rb")

    def reports(self) -> Iterator[Any]:
        while True:
            try:
                yield pickle.load(self.pipe)
            except EOFError:
                return

    def all(self) -> list[Any]:
        reports = list(self.reports())
        self.wait()
        return reports

    def wait(self) -> None:
        os.waitpid(self.pid, 0)
        self.pipe.close()
