"""The recovery store of a running coordinator: opens it and writes batches, each call in a worker thread."""

from __future__ import annotations

import asyncio
from typing import Protocol

from frostspindle.config.recovery import RecoverySection
from frostspindle.core import clock
from frostspindle.recovery.inputs import OpenedStore, RecoverySettings
from frostspindle.recovery.monotonic_clock import monotonic
from frostspindle.recovery.node import RecoveryNode
from frostspindle.recovery.stages import Stage
from frostspindle.recovery.store_opening import UNREADABLE, open_recovery_store
from frostspindle.store.base import Store, StoreFullError
from frostspindle.store.lock import StoreLockedError
from frostspindle.telemetry import Telemetry

LOCK_RETRY_S = 0.25  # between attempts to open a store that another process holds


class StoreOwner(Protocol):
    """The parts of the recovery service that the store's worker uses."""

    settings: RecoverySettings
    config: RecoverySection
    telemetry: Telemetry
    node: RecoveryNode

    def on_store_opened(self, opened: OpenedStore) -> None:
        """Process the outcome of the opening."""

    def exchange_idle_mark(self) -> None:
        """Update the idle mark after a batch, whose outcome may have changed it."""

    def flush_outputs(self, wake_writer: bool) -> None:
        """Send the node's messages and apply its effects."""


class StoreWorker:
    """Opens the store and writes the node's batches, one at a time. Its tasks run on the event loop."""

    def __init__(self, service: StoreOwner) -> None:
        self.store: Store | None = None
        self._service: StoreOwner = service
        self._wake: asyncio.Event = asyncio.Event()
        self._opening: asyncio.Task[None] | None = None
        self._writing: asyncio.Task[None] | None = None
        self._closing: bool = False

    def start(self) -> None:
        """Start the tasks that open the store and write to it; needs a running event loop."""
        self._opening = asyncio.create_task(self._open())
        self._writing = asyncio.create_task(self._write())

    def wake(self) -> None:
        """Make the writer check for a batch."""
        self._wake.set()

    async def close(self) -> None:
        """Write pending changes and close the store."""
        self._closing = True
        if self._opening is not None:
            self._opening.cancel()
        self._wake.set()
        tasks = [task for task in (self._opening, self._writing) if task is not None]
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.store is not None:
            await asyncio.to_thread(self.store.close)

    async def _open(self) -> None:
        """Open the store as soon as its lock is free."""
        service = self._service
        was_locked = False
        while True:
            try:
                store, opened = await asyncio.to_thread(
                    open_recovery_store,
                    service.config.folder,
                    service.config.witness,
                    service.settings.name,
                    service.telemetry.log,
                )
            except StoreLockedError:
                was_locked = True  # by the previous process in an upgrade
                await asyncio.sleep(LOCK_RETRY_S)
                continue
            except Exception as error:  # noqa: BLE001 - on any fault, serve without a store
                service.telemetry.log("exception_caught", error=repr(error), of="recovery store")
                store, opened = None, UNREADABLE
            opened_late = service.node.stages.stage > Stage.STORE
            if opened_late and not was_locked and opened.trusted:  # no peer was asked whether it is outdated
                opened = OpenedStore(opened.verdict, opened.usable, trusted=False, state=opened.state)
            self.store = store
            service.on_store_opened(opened)
            return

    async def _write(self) -> None:
        """Write one batch at a time; changes made meanwhile go into the next one."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self.store is not None:
                batch = self._service.node.next_batch()
                if batch is None:
                    break
                full = await self._write_batch(self.store, batch)
                if full:
                    break  # retried on the next change or heartbeat
            if self._closing:
                return

    async def _write_batch(self, store: Store, batch: dict[bytes, bytes | None]) -> bool:
        """Write a batch and pass its outcome to the node; return whether the disk was full."""
        service = self._service
        ok = False
        full = False
        try:
            await asyncio.to_thread(store.apply, batch)
            ok = True
        except StoreFullError as error:
            full = True
            service.telemetry.count("recovery_store_full")
            service.telemetry.log("recovery_store_full", error=str(error))
        except Exception as error:  # noqa: BLE001 - a disk fault must not end the process
            service.telemetry.log("recovery_store_broken", error=str(error))
        service.node.on_batch_written(monotonic(), clock(), ok, full)
        service.exchange_idle_mark()
        service.flush_outputs(wake_writer=False)
        return full
