"""Subscriptions in a running coordinator: the clock, the timer, the fleet's datagrams and the callers that stay.

Owns when the hub is called and what is written to whom. It must never decide what a subscriber is told, never keep the
core waiting (an event costs it an append), and never write to a caller that does not read.
"""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

import msgspec

from frostspindle.core import ClientRequest, Core, clock
from frostspindle.net.operator import OperatorError
from frostspindle.policy import Health
from frostspindle.predicates.values import FilterError
from frostspindle.subscriptions import schema, wire
from frostspindle.subscriptions.cursor import InvalidCursorError
from frostspindle.subscriptions.fanout import Fanout
from frostspindle.subscriptions.hub import SubscriptionHub
from frostspindle.subscriptions.subscribers import gap_line
from frostspindle.telemetry import Telemetry

if TYPE_CHECKING:
    from frostspindle.fleet.node import FleetNode

CHANNEL = 3  # of the fleet's parcels
BATCH_DELAY_S = 0.005  # events are matched so long after the first of them
LINES_PER_TICK = 256  # written in one turn
CURSOR_INTERVAL_MS, IDLE_CURSOR_INTERVAL_MS = (
    100.0,
    5_000.0,
)  # a cursor follows what was written; without news, so often
STATE_POLL_MS = 250.0  # so often the members and the module's judgements are looked at
HEALTH_NAMES = {Health.READY: "ready", Health.DRAINING: "draining", Health.GONE: "gone"}
_json = msgspec.json.Encoder().encode


def monotonic() -> float:
    """Return a monotonic clock in ms that goes on while the process is stopped."""
    return time.monotonic() * 1000.0


class Subscriber:
    """One subscription's caller at the operators' port, whose connection stays open; see operator.Stay."""

    def __init__(self, service: SubscriptionService, number: int, caller: Any) -> None:
        self.service, self.number, self.caller = service, number, caller
        self.cursor_at = 0.0
        self.next_cursor_at = float("inf")  # when the next cursor is due

    def paused(self, on: bool) -> None:
        """Take in that the caller has stopped reading, or reads again; nothing is written to it meanwhile."""
        (self.service.busy.add if on else self.service.busy.discard)(self.number)
        if not on:
            self.service.schedule_tick()

    def gone(self) -> None:
        """End the subscription, as its caller's connection has ended."""
        self.service.gone(self.number)


class SubscriptionService:
    """This process's part in subscriptions; a fleet's `Part` where there is a fleet."""

    channel = CHANNEL

    def __init__(
        self,
        name: str,
        core: Core,
        telemetry: Telemetry,
        tenants: tuple[str, ...],
        most: int,
        remember: int,
        backlog: int,
        post: Callable[[str, int, bytes], None] | None,
    ) -> None:
        self.name, self.core, self.telemetry, self.tenants = name, core, telemetry, ("", *tenants)
        self.most, self.remember, self.backlog, self.post = most, remember, backlog, post
        self.hub: SubscriptionHub | None = None
        self.node: FleetNode | None = None
        self.callers: dict[int, Subscriber] = {}
        self.busy: set[int] = set()  # subscribers that do not read, or were not acknowledged
        self._cursors: list[tuple[float, int]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._tick_at = float("inf")  # when the timer is due, in seconds of the loop
        self._poll_at = 0.0
        self._ejected: set[str] = set()
        self._closed = False

    # Its life.

    def start(self) -> None:
        """Start at once if there is no fleet; with one, `begin` does."""
        if self.post is None:
            self._open(monotonic(), int(time.time() * 1e6))

    def on_started(self, now: float, node: FleetNode) -> None:
        """Start with the fleet's name and epoch of this process, once the fleet's port is bound."""
        self.node = node
        self._open(now, node.epoch)
        assert self.hub is not None
        self.hub.subscribers.expected = frozenset(node.homes) - {node.name}

    def _open(self, now: float, epoch: int) -> None:
        name = self.node.name if self.node is not None else self.name
        self.hub = SubscriptionHub(name, epoch, now, self.remember, self.most, Fanout(self.backlog))
        self.telemetry.log("subscriptions_started", name=name, epoch=epoch)
        self.schedule_tick()

    def close(self) -> None:
        """Write what has been matched, log the figures and stop the timer; later events are not sent."""
        if self.hub is not None and not self._closed:
            self._tick()  # what is matched goes out
            self.telemetry.log("subscriptions_stopped", **self.figures())
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    # What the core and the fleet tell; see core.Witness and fleet.service.Part.

    def on_response(self, request: ClientRequest, how: str, engine: str) -> None:
        """Make an event of a request's final answer: class, tenant, group, outcome, engine, front, duration in ms."""
        if self.hub is not None:
            now = clock()
            tenant = self.tenants[request.tenant] if request.tenant < len(self.tenants) else ""
            self._publish(
                schema.ANSWER,
                now,
                self.core.classes[request.cls][1],
                tenant or None,
                request.group if request.group >= 0 else None,
                how,
                engine or None,
                request.front,
                now - request.received_ms,
            )

    def on_engine_changed(self, name: str, change: str, state: int | None = None) -> None:
        """Make an event of an engine's change; `state`: its health on the list, None: not told."""
        self._publish(
            schema.ENGINE, clock(), name, change, None if state is None else HEALTH_NAMES.get(state, str(state))
        )

    def loaded(self, site: str, group: int, columns: Iterable[str]) -> None:
        """Make an event for each column that a load, answered as served, has written."""
        for column in columns:
            self._publish(schema.LOAD, clock(), site, group, column)

    def stage(self, stage: str, state: str) -> None:
        """Make an event of a recovery stage that begins or ends."""
        self._publish(schema.RECOVERY, clock(), stage, state)

    def on_member_changed(self, now: float, name: str, state: str) -> None:
        """Make an event of a member's new state, and look at the members in the next tick."""
        self._publish(schema.MEMBER, clock(), name, state)
        self._poll_at = 0.0

    def _publish(self, kind: int, at_ms: float, *values: Any) -> None:
        """All that whoever saw the event pays for it; a fault costs the event and is counted, never the request."""
        if self.hub is None:
            return
        try:
            self.hub.make(schema.make(kind, at_ms, *values))
        except Exception as error:  # noqa: BLE001 - as said
            self.telemetry.count("subscriptions_faults")
            self.telemetry.log("exception_caught", error=repr(error), of="event")
        if self.hub.publisher.streams:
            self.schedule_tick()

    def on_message(self, now: float, name: str, epoch: int, data: bytes) -> None:
        """Take in a member's datagram; one that can't be decoded is counted and dropped."""
        if self.hub is None:
            return
        try:
            message = wire.decode(data)
        except wire.InvalidPacketError:
            self.telemetry.count("subscriptions_undecodable")
            return
        self.hub.on_message(now, name, epoch, message)
        self.schedule_tick()

    # What operators call.

    def subscribe(self, text: str, caller: Any) -> Subscriber:
        """Start a subscription for a filter; Nak for a bad filter, too many subscriptions, or before the start."""
        return self._join(caller, lambda hub: hub.subscribers.subscribe(monotonic(), text))

    def resume(self, text: str, caller: Any) -> Subscriber:
        """Start a subscription that goes on from a cursor; Nak as for `subscribe`, and for a text that is no cursor."""
        return self._join(caller, lambda hub: hub.subscribers.resume(monotonic(), text))

    def _join(self, caller: Any, take: Callable[[SubscriptionHub], int]) -> Subscriber:
        if self.hub is None or self._closed:
            raise OperatorError("not yet" if not self._closed else "the program ends")
        try:
            number = take(self.hub)
        except (FilterError, InvalidCursorError) as error:
            raise OperatorError(str(error)) from None
        self.callers[number] = subscriber = Subscriber(self, number, caller)
        self.busy.add(number)
        self.schedule_tick()
        return subscriber

    def unsubscribe(self, number: str) -> None:
        """Close the connection of a subscription's caller, which ends it; Nak if the number has none here."""
        if not number.isascii() or not number.isdecimal() or (found := self.callers.get(int(number[:9]))) is None:
            raise OperatorError("no such subscription here")
        found.caller.end()

    def gone(self, number: int) -> None:
        """End a subscription whose caller has disconnected; nothing happens if it has ended before."""
        if self.callers.pop(number, None) is not None and self.hub is not None:
            self.busy.discard(number)
            self.hub.subscribers.unsubscribe(monotonic(), number)
            self.schedule_tick()

    def figures(self) -> dict[str, Any]:
        """Return the subscriptions' figures, for operators."""
        if self.hub is None:
            return {"state": "waits for the fleet's port"}
        subs, publisher = self.hub.subscribers, self.hub.publisher
        return {
            "subscriptions": len(subs.subscriptions),
            "made": publisher.head,
            "remembered": publisher.head - publisher.base,
            "streams_out": len(publisher.streams),
            "streams_in": len(subs.live),
            "replays": len(subs.replays),
            "backlog": subs.fanout.total,
            "fell_behind": subs.fanout.overflows,
            "forwarded": subs.taken,
            "forwarded_needlessly": subs.needless,
            "wanted": list(subs.filters),
            "silent": sorted(name for name, inbound in subs.live.items() if inbound.silent)[:64],
            "counted": dict(sorted(self.hub.counted.items())),
        }

    # Time.

    def schedule_tick(self) -> None:
        """Plan a tick within SOON_S seconds, unless an earlier one is planned."""
        self._schedule(BATCH_DELAY_S)

    def _schedule(self, wait_s: float) -> None:
        if self._closed:
            return
        loop = asyncio.get_running_loop()
        at = loop.time() + wait_s
        if at < self._tick_at:
            if self._timer is not None:
                self._timer.cancel()
            self._tick_at, self._timer = at, loop.call_at(at, self._tick)

    def _tick(self) -> None:
        hub, self._tick_at, now = self.hub, float("inf"), monotonic()
        if hub is None or self._closed:
            return
        try:
            if now >= self._poll_at:
                self._poll_state(now, hub)
            for name, message in hub.tick(now):
                if self.post is not None:
                    self.post(name, CHANNEL, wire.encode(message))
            self._write(now, hub)
        except Exception as error:  # noqa: BLE001 - subscribers are not worth the coordinator
            self.telemetry.count("subscriptions_faults")
            self.telemetry.log("exception_caught", error=repr(error), of="subscriptions")
        due = min(hub.next_tick_at(), self._poll_at, self._cursors[0][0] if self._cursors else float("inf"))
        more = hub.has_more or hub.subscribers.fanout.has_more(self.busy)
        self._schedule(0.0 if more else max(0.001, (due - monotonic()) / 1000.0))

    def _poll_state(self, now: float, hub: SubscriptionHub) -> None:
        """Who is alive, and which engines the module holds for sick."""
        self._poll_at = now + STATE_POLL_MS
        if self.node is not None:
            hub.members(now, {name: member.claim.epoch for name, member in self.node.membership.alive.items()})
        else:
            hub.members(now, {})
        core = self.core
        sick = {
            state.name
            for number, state in core.engines.items()
            if (believed := core.controller.engines.get(number)) is not None and believed.ejected
        }
        for name in sorted(sick ^ self._ejected):
            self.on_engine_changed(name, "sick" if name in sick else "well")
        self._ejected = sick

    def _write(self, now: float, hub: SubscriptionHub) -> None:
        subs = hub.subscribers
        for number in subs.acknowledged:
            if (one := self.callers.get(number)) is not None:
                one.caller.write(_json({"ack": {"id": number, "cursor": subs.cursor(number)}}) + b"\n")
                self.busy.discard(number)
                self._schedule_cursor(one, now + IDLE_CURSOR_INTERVAL_MS)
        subs.acknowledged.clear()
        for number, items in subs.fanout.next_batches(self.busy, LINES_PER_TICK):
            one = self.callers[number]
            one.caller.write(b"".join([item.line or gap_line(item) for item in items]))
            self._schedule_cursor(one, max(now, one.cursor_at + CURSOR_INTERVAL_MS))
        while self._cursors and self._cursors[0][0] <= now:
            at, number = heapq.heappop(self._cursors)
            one = self.callers.get(number)  # type: ignore[assignment]
            if one is None or at != one.next_cursor_at:
                continue
            one.next_cursor_at = float("inf")
            if number not in self.busy:
                one.caller.write(_json({"cursor": subs.cursor(number)}) + b"\n")
                one.cursor_at = now
            self._schedule_cursor(one, now + IDLE_CURSOR_INTERVAL_MS)

    def _schedule_cursor(self, one: Subscriber, at: float) -> None:
        if at < one.next_cursor_at:
            one.next_cursor_at = at
            heapq.heappush(self._cursors, (at, one.number))
