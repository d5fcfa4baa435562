"""Subscriptions in a running coordinator: its clock, timer, messages to the fleet and subscribers' connections.

Calls the hub and writes its lines to the subscribers. Events of the core are only appended, so that a request never
waits for subscribers; a subscriber that does not read is not written to.
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

CHANNEL = 3  # of the fleet's messages
BATCH_DELAY_S = 0.005  # delay before new events are matched, to batch them
LINES_PER_TICK = 256  # lines written by one tick
# Interval of cursors after lines were written, and when idle.
CURSOR_INTERVAL_MS, IDLE_CURSOR_INTERVAL_MS = 100.0, 5_000.0
STATE_POLL_MS = 250.0  # interval of polling the members and the controller's ejections
HEALTH_NAMES = {Health.READY: "ready", Health.DRAINING: "draining", Health.GONE: "gone"}
_json = msgspec.json.Encoder().encode


def monotonic() -> float:
    """Return a monotonic time in ms that advances while the process is stopped."""
    return time.monotonic() * 1000.0


class Subscriber:
    """One subscription's open connection at the operators' port."""

    def __init__(self, service: SubscriptionService, number: int, caller: Any) -> None:
        self.service, self.number, self.caller = service, number, caller
        self.cursor_at = 0.0
        self.next_cursor_at = float("inf")  # when the next cursor is to be written

    def paused(self, on: bool) -> None:
        """Stop writing to a caller that has stopped reading, or continue once it reads again."""
        (self.service.busy.add if on else self.service.busy.discard)(self.number)
        if not on:
            self.service.schedule_tick()

    def gone(self) -> None:
        """End the subscription, as its caller's connection has ended."""
        self.service.on_disconnected(self.number)


class SubscriptionService:
    """Subscriptions of this process; also a channel of the fleet, if there is one."""

    channel = CHANNEL

    def __init__(
        self,
        name: str,
        core: Core,
        telemetry: Telemetry,
        tenants: tuple[str, ...],
        max_subscriptions: int,
        max_remembered_events: int,
        max_backlog: int,
        post: Callable[[str, int, bytes], None] | None,
    ) -> None:
        self.name, self.core, self.telemetry, self.tenants = name, core, telemetry, ("", *tenants)
        self.max_subscriptions, self.max_remembered_events, self.max_backlog, self.post = (
            max_subscriptions,
            max_remembered_events,
            max_backlog,
            post,
        )
        self.hub: SubscriptionHub | None = None
        self.node: FleetNode | None = None
        self.callers: dict[int, Subscriber] = {}
        self.busy: set[int] = set()  # subscribers that do not read or are not acknowledged yet
        self._cursors: list[tuple[float, int]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._tick_at = float("inf")  # when the timer fires, in the loop's seconds
        self._poll_at = 0.0
        self._ejected: set[str] = set()
        self._closed = False

    # Start and stop.

    def start(self) -> None:
        """Start at once if there is no fleet; otherwise `on_started` does."""
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
        self.hub = SubscriptionHub(
            name, epoch, now, self.max_remembered_events, self.max_subscriptions, Fanout(self.max_backlog)
        )
        self.telemetry.log("subscriptions_started", name=name, epoch=epoch)
        self.schedule_tick()

    def close(self) -> None:
        """Write the matched events, log the figures and stop the timer; later events are not sent."""
        if self.hub is not None and not self._closed:
            self._tick()  # writes what is already matched
            self.telemetry.log("subscriptions_stopped", **self.figures())
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    # Callbacks of the core and the fleet.

    def on_response(self, request: ClientRequest, outcome: str, engine: str) -> None:
        """Publish a request's final answer: class, tenant, group, outcome, engine, front, duration in ms."""
        if self.hub is not None:
            now = clock()
            tenant = self.tenants[request.tenant] if request.tenant < len(self.tenants) else ""
            self._publish(
                schema.ANSWER,
                now,
                self.core.classes[request.cls][1],
                tenant or None,
                request.group if request.group >= 0 else None,
                outcome,
                engine or None,
                request.front,
                now - request.received_ms,
            )

    def on_engine_changed(self, name: str, change: str, state: int | None = None) -> None:
        """Publish an engine's change; `state`: its health in the engine list, None: not given."""
        self._publish(
            schema.ENGINE, clock(), name, change, None if state is None else HEALTH_NAMES.get(state, str(state))
        )

    def loaded(self, site: str, group: int, columns: Iterable[str]) -> None:
        """Publish an event for each column written by a load that was answered as served."""
        for column in columns:
            self._publish(schema.LOAD, clock(), site, group, column)

    def stage(self, stage: str, state: str) -> None:
        """Publish the beginning or end of a recovery stage."""
        self._publish(schema.RECOVERY, clock(), stage, state)

    def on_member_changed(self, now: float, name: str, state: str) -> None:
        """Publish a member's new state, and poll the members in the next tick."""
        self._publish(schema.MEMBER, clock(), name, state)
        self._poll_at = 0.0

    def _publish(self, kind: int, at_ms: float, *values: Any) -> None:
        """Publish an event at the cost of an append; an exception is counted and loses only the event."""
        if self.hub is None:
            return
        try:
            self.hub.make(schema.make(kind, at_ms, *values))
        except Exception as error:  # noqa: BLE001 - must not fail the caller's request
            self.telemetry.count("subscriptions_faults")
            self.telemetry.log("exception_caught", error=repr(error), of="event")
        if self.hub.publisher.streams:
            self.schedule_tick()

    def on_message(self, now: float, name: str, epoch: int, data: bytes) -> None:
        """Handle a member's message; one that can't be decoded is counted and dropped."""
        if self.hub is None:
            return
        try:
            message = wire.decode(data)
        except wire.InvalidPacketError:
            self.telemetry.count("subscriptions_undecodable")
            return
        self.hub.on_message(now, name, epoch, message)
        self.schedule_tick()

    # Operators' calls.

    def subscribe(self, text: str, caller: Any) -> Subscriber:
        """Start a subscription; OperatorError for an invalid filter, too many subscriptions, or a closed service."""
        return self._join(caller, lambda hub: hub.subscribers.subscribe(monotonic(), text))

    def resume(self, text: str, caller: Any) -> Subscriber:
        """Continue a subscription from a cursor; OperatorError as for `subscribe`, and for an invalid cursor."""
        return self._join(caller, lambda hub: hub.subscribers.resume(monotonic(), text))

    def _join(self, caller: Any, add: Callable[[SubscriptionHub], int]) -> Subscriber:
        if self.hub is None or self._closed:
            raise OperatorError("not yet" if not self._closed else "the program ends")
        try:
            number = add(self.hub)
        except (FilterError, InvalidCursorError) as error:
            raise OperatorError(str(error)) from None
        self.callers[number] = subscriber = Subscriber(self, number, caller)
        self.busy.add(number)
        self.schedule_tick()
        return subscriber

    def unsubscribe(self, number: str) -> None:
        """End a subscription by closing its caller's connection; OperatorError if the number is unknown here."""
        if not number.isascii() or not number.isdecimal() or (subscriber := self.callers.get(int(number[:9]))) is None:
            raise OperatorError("no such subscription here")
        subscriber.caller.end()

    def on_disconnected(self, number: int) -> None:
        """End a subscription whose caller has disconnected; does nothing if it has ended before."""
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
            "forwarded": subs.received_events,
            "forwarded_needlessly": subs.unmatched_events,
            "wanted": list(subs.filters),
            "silent": sorted(name for name, inbound in subs.live.items() if inbound.silent)[:64],
            "counted": dict(sorted(self.hub.counted.items())),
        }

    # Timer.

    def schedule_tick(self) -> None:
        """Schedule a tick within BATCH_DELAY_S seconds, unless an earlier one is scheduled."""
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
        except Exception as error:  # noqa: BLE001 - a fault of subscriptions must not stop the coordinator
            self.telemetry.count("subscriptions_faults")
            self.telemetry.log("exception_caught", error=repr(error), of="subscriptions")
        next_at = min(hub.next_tick_at(), self._poll_at, self._cursors[0][0] if self._cursors else float("inf"))
        has_more = hub.has_more or hub.subscribers.fanout.has_more(self.busy)
        self._schedule(0.0 if has_more else max(0.001, (next_at - monotonic()) / 1000.0))

    def _poll_state(self, now: float, hub: SubscriptionHub) -> None:
        """Update which members are alive and which engines the controller has ejected."""
        self._poll_at = now + STATE_POLL_MS
        if self.node is not None:
            hub.members(now, {name: member.claim.epoch for name, member in self.node.membership.alive.items()})
        else:
            hub.members(now, {})
        core = self.core
        ejected = {
            state.name
            for number, state in core.engines.items()
            if (engine_state := core.controller.engines.get(number)) is not None and engine_state.ejected
        }
        for name in sorted(ejected ^ self._ejected):
            self.on_engine_changed(name, "sick" if name in ejected else "well")
        self._ejected = ejected

    def _write(self, now: float, hub: SubscriptionHub) -> None:
        subs = hub.subscribers
        for number in subs.acknowledged:
            if (subscriber := self.callers.get(number)) is not None:
                subscriber.caller.write(_json({"ack": {"id": number, "cursor": subs.cursor(number)}}) + b"\n")
                self.busy.discard(number)
                self._schedule_cursor(subscriber, now + IDLE_CURSOR_INTERVAL_MS)
        subs.acknowledged.clear()
        for number, items in subs.fanout.next_batches(self.busy, LINES_PER_TICK):
            subscriber = self.callers[number]
            subscriber.caller.write(b"".join([item.line or gap_line(item) for item in items]))
            self._schedule_cursor(subscriber, max(now, subscriber.cursor_at + CURSOR_INTERVAL_MS))
        while self._cursors and self._cursors[0][0] <= now:
            at, number = heapq.heappop(self._cursors)
            subscriber = self.callers.get(number)  # type: ignore[assignment]
            if subscriber is None or at != subscriber.next_cursor_at:
                continue
            subscriber.next_cursor_at = float("inf")
            if number not in self.busy:
                subscriber.caller.write(_json({"cursor": subs.cursor(number)}) + b"\n")
                subscriber.cursor_at = now
            self._schedule_cursor(subscriber, now + IDLE_CURSOR_INTERVAL_MS)

    def _schedule_cursor(self, subscriber: Subscriber, at: float) -> None:
        if at < subscriber.next_cursor_at:
            subscriber.next_cursor_at = at
            heapq.heappush(self._cursors, (at, subscriber.number))
