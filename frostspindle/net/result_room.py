"""Waits for memory for a result that is longer than the room that every open request has."""

from __future__ import annotations

import asyncio

from frostspindle.core import ClientRequest
from frostspindle.held_memory import HeldMemory

ROOM_POLL_S = 0.05  # interval at which a waiting result looks for room


async def wait_for_room(memory: HeldMemory, request: ClientRequest, size: int) -> None:
    """Return once `size` more bytes are reserved for a request; it waits at its engine for as long as it has time."""
    charge = request.charge
    if charge is None or memory.try_extend(charge, size):
        return
    memory.waiting_extensions += 1
    try:
        while not memory.try_extend(charge, size):
            await asyncio.sleep(ROOM_POLL_S)
    finally:
        memory.waiting_extensions -= 1
