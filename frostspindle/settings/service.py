"""Settings in a running coordinator: the timer, the log, the disk, what the core is told, what operators are told.

Owns when the decisions are asked and where their outcomes go. It must never decide about a version by itself, never
hold the event loop for the log or the disk, and never write a secret or a statement into a line of the log.

Lines of the log: `settings_version` (a version is known here: its digest, and in what it contradicts its parent),
`settings_acting` (what is acted on from `mono_ms` on; of a lease that ran out, since when: `until_ms`; CLOCK_BOOTTIME),
`settings_news` (of the publisher: published, live, withdrawn, turned down, rolled back, proven), `settings_unfit`,
`settings_store`, `settings_keep_failed`.
"""

from __future__ import annotations

import asyncio
import base64
import binascii
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Any, Protocol

from frostspindle.replica.base import LogUnavailableError, OutcomeUnknownError, ReplicatedLog
from frostspindle.settings import agreement, schema
from frostspindle.settings.agreement import TASK, TOPIC, DraftPiece, PublishVersion, SettingsStateMachine
from frostspindle.settings.canary import CanaryCheck
from frostspindle.settings.decisions import (
    ActiveRules,
    AgreementSettings,
    MemberDecisions,
    PublisherDecisions,
    RestoredVersions,
)
from frostspindle.settings.meet import contradictions
from frostspindle.settings.schema import InvalidSettingsError
from frostspindle.settings.slices import SLICE, Steps, T
from frostspindle.settings.version_store import VersionStore
from frostspindle.settings.versions import MOST_PACKED, PIECE, Version, cut, diff, pack, unpacking
from frostspindle.store.base import StoreError
from frostspindle.telemetry import Telemetry

TICK_S = 0.05
ASK_S, PUSH_S = 1.0, 15.0
REFRESH_S = 30.0  # what is kept bears the time when it was last known to be current
LESS_S = 1.0  # what need not be kept any more may stay for so long, so that a run of versions is a batch each
MOST_PUSHES, PUSHES_KEPT = 4, 32  # under way, and whose outcome is remembered
PIECES_IN = 1 + MOST_PACKED // 32_768


def clock() -> float:
    """Return milliseconds of a monotonic clock that runs on while the process is stopped or the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class TaskOwnership(Protocol):
    """What is needed of task ownership; see frostspindle/ownership."""

    def lease(self, task: str) -> Any:
        """Return this coordinator's lease on a task (`token`, `holds()`); None while it has none."""


class LocalOwnership:
    """Ownership for a coordinator that is alone with its own log: it always holds each task's lease."""

    class _Lease:
        token = 1

        def holds(self) -> bool:
            return True

    def lease(self, task: str) -> Any:
        """Return a lease that always holds, with token 1."""
        return self._Lease()


async def _in_turn(steps: Steps[T]) -> T:
    """A slice in each turn of the event loop."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            made: T = end.value
            return made
        await asyncio.sleep(0)


class PendingPush:
    """One push of this coordinator: its pieces as they arrive, and its outcome."""

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.of = 0
        self.state, self.version, self.why = "coming", 0, ""
        self.draft = ""
        self.settled = asyncio.Event()

    def told(self) -> dict[str, Any]:
        """Return state, version and reason for the operator's port."""
        return {"state": self.state, "version": self.version, "why": self.why}


class SettingsService:
    """One coordinator's settings in operation; must be made before its log starts."""

    def __init__(
        self,
        log: ReplicatedLog,
        name: str,
        terms: AgreementSettings,
        telemetry: Telemetry,
        act: Callable[[ActiveRules], None],
        fits: Callable[[Version], str],
        seen: Callable[[], tuple[int, ...]],
        owners: TaskOwnership,
        keeper: VersionStore | None,
        kept: RestoredVersions,
        judge: CanaryCheck | None,
        now: Callable[[], float] = clock,
    ) -> None:
        """`act` has the core act on something from then on; it must not fail. `seen`: this coordinator's figures."""
        self.log, self.name, self.terms, self.telemetry, self.act, self.seen, self.owners, self.now = (
            log,
            name,
            terms,
            telemetry,
            act,
            seen,
            owners,
            now,
        )
        self.machine = SettingsStateMachine()
        process = int(time.time() * 1000.0)
        self.holder = MemberDecisions(name, process, terms, self.machine, now(), fits, kept)
        self.publisher = PublisherDecisions(terms, self.machine, judge)
        self.keeper, self.kept = keeper, kept
        self.acting: ActiveRules | None = None
        self.pushes: dict[str, PendingPush] = {}
        self.counts: Counter[str] = Counter()
        self._pool = ThreadPoolExecutor(1, "settings")
        self._tasks: set[asyncio.Task[Any]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._publishing = self._keeping = self._making = self._closed = False
        self._kept_at = 0.0
        self._drafts = 0
        self._logged: dict[int, None] = {}
        self._news = 0
        self._unfit = 0
        log.attach(TOPIC, self.machine)
        log.watch(TOPIC, self._told)

    # Timer and log.

    def start(self) -> None:
        """Look at everything once and start the timer; needs a running event loop."""
        self.step()
        self._tick()

    def _tick(self) -> None:
        if self._closed:
            return
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
        try:
            self.step()
        except Exception as error:  # noqa: BLE001 - the next tick looks at all again
            self.telemetry.count("faults")
            self.telemetry.log("fault", error=repr(error), of="settings")

    def _told(self, index: int, command: bytes, result: bytes) -> None:
        self.holder.told(self.now(), command, result)
        self.step()

    def look(self) -> ActiveRules:
        """Return what is acted on now, after telling the core if that has just changed; called before each send."""
        now = self.now()
        acting = self.holder.look(now)
        if acting is not self.acting:
            self._act(acting, now)
        return acting

    def step(self) -> None:
        """Check everything once: log lines, lease, store, holds, drafts, publication. Does nothing after `close`."""
        if self._closed:
            return
        self._tell()
        self.look()
        now = self.now()
        versions = self.holder.to_keep(now - self._kept_at >= LESS_S * 1000.0)
        if (
            self.keeper is not None
            and not self._keeping
            and (versions or (self.holder.heard and self.holder.durable and now - self._kept_at > REFRESH_S * 1000.0))
        ):
            self._keeping = True
            self._spawn(
                self._keep(
                    self.keeper, versions or tuple(self.machine.version(number) for number in self.holder.durable)
                )
            )
        seen = self.seen() if self.publisher.judge is not None else ()
        if (hold := self.holder.holds(now, seen)) is not None:
            self._spawn(self._propose(agreement.encode(hold), self.terms.lease_ms / 1000.0))
        if not self._making and self.machine.unmade:
            self._making = True
            self._spawn(self._make())
        self._publish(now)

    async def _make(self) -> None:
        """Make a long draft's version ahead of its publication, in turn with others."""
        try:
            while self.machine.unmade:
                self.machine.make()
                await asyncio.sleep(0)
        finally:
            self._making = False
        self.step()

    def between(self, old: ActiveRules, new: ActiveRules) -> set[str] | None:
        """Return the keys in which two actings may differ, if all their versions follow one another.

        Else None (any).
        """
        numbers = {*old.versions, *new.versions}
        keys: set[str] = set()
        for number in numbers - {min(numbers)}:
            version = self.machine.history.get(number)
            if version is None or version.parent not in numbers:
                return None
            keys.update(version.changes)
        return keys | ({"limit/out"} if "limit/out" in new.rules or "limit/out" in old.rules else set())

    def _act(self, acting: ActiveRules, now: float) -> None:
        was, self.acting = self.acting, acting
        self.act(acting)
        self.holder.took(acting)
        lost = acting.why in ("alone",) and was is not None and was.why != "alone"
        self.telemetry.count("settings_acting", acting.mode)
        self.telemetry.log(
            "settings_acting",
            mode=acting.mode,
            versions=acting.versions,
            why=acting.why,
            entries=len(acting.rules),
            mono_ms=round(now, 3),
            **({"until_ms": round(self.holder.until, 3)} if lost else {}),
            **(
                {"age_s": round(time.time() - self.kept.at_ms / 1000.0, 1)}
                if acting.why == "start" and self.kept.versions
                else {}
            ),
        )

    def _publish(self, now: float) -> None:
        lease = self.owners.lease(TASK)
        token = lease.token if lease is not None else 0
        if token != self.publisher.token:
            if token:
                self.publisher.take(now, token)
            else:
                self.publisher.lose()
            self.telemetry.log("settings_publisher", token=token)
        command = self.publisher.decide(now)
        if (
            command is None
            or self._publishing
            or lease is None
            or not lease.holds()
            or (self._making and isinstance(command, PublishVersion))
        ):
            return
        self._publishing = True
        self._spawn(self._propose_as_publisher(agreement.encode(command)))

    async def _propose_as_publisher(self, command: bytes) -> None:
        try:
            await self._propose(command, ASK_S)
        finally:
            self._publishing = False
        self.step()

    async def _propose(self, command: bytes, within_s: float) -> bytes | None:
        try:
            return (await self.log.propose(TOPIC, command, within_s)).result
        except LogUnavailableError:
            self.counts["unavailable"] += 1
        except OutcomeUnknownError:
            self.counts["uncertain"] += 1
        return None

    async def _keep(self, keeper: VersionStore, versions: tuple[Version, ...]) -> None:
        unix_ms = time.time() * 1000.0
        try:
            await asyncio.get_running_loop().run_in_executor(self._pool, keeper.keep, versions, unix_ms)
        except (StoreError, OSError, KeyError) as error:
            self.counts["keep_failed"] += 1
            self.telemetry.count("settings_keep_failed")
            self.telemetry.log("settings_keep_failed", error=str(error)[:200])
            self.keeper = None  # nothing is acknowledged any more: the fleet waits a lease for this coordinator
        else:
            self.holder.was_kept(versions)
            self._kept_at = self.now()
        finally:
            self._keeping = False
        self.step()

    def _tell(self) -> None:
        """Lines of what the machine has new."""
        machine = self.machine
        for number in (machine.live, machine.pending):
            if number and number not in self._logged:
                self._logged[number] = None
                while len(self._logged) > 64:
                    del self._logged[next(iter(self._logged))]
                version = machine.version(number)
                parent = machine.history.get(version.parent) if version.parent >= 0 else None
                clash = (
                    contradictions(parent.rules, version.rules)
                    if parent is not None and (len(version.changes) > 64)
                    else sorted(
                        key
                        for key in version.changes
                        if schema.KINDS[schema.kind_of(key)].agreed
                        and (not key.startswith("limit/") or key == "limit/out")
                    )[:8]
                )
                self.telemetry.log(
                    "settings_version",
                    version=number,
                    parent=version.parent,
                    digest=version.sum.hex(),
                    entries=len(version.rules),
                    by=version.by,
                    contradicts=clash,
                )
        unfit = self.holder.unfit(machine.pending or machine.live)
        if unfit and self._unfit != (machine.pending or machine.live):
            self._unfit = machine.pending or machine.live
            self.telemetry.count("settings_unfit")
            self.telemetry.log("settings_unfit", version=self._unfit, why=unfit)
        fresh = [news for news in machine.news if news.index > self._news]
        if fresh:
            self._news = fresh[-1].index
        for news in fresh:
            self._settle(news)
            if self.publisher.token:
                self.telemetry.log(
                    "settings_news",
                    what=news.what,
                    version=news.version,
                    by=news.by,
                    why=news.why,
                    mono_ms=round(self.now(), 3),
                )

    def _settle(self, news: agreement.HistoryEvent) -> None:
        """What became of this coordinator's pushes."""
        for push in self.pushes.values():
            if (
                push.draft
                and push.draft == news.by
                and push.state == "drafted"
                and news.what in ("published", "turned down")
            ):
                push.state, push.version, push.why = news.what, news.version, news.why
                push.settled.set()
            elif push.version and push.version == news.version and push.state in ("published", "live"):
                push.state, push.why = news.what, news.why

    # Pushes.

    def push_piece(self, name: str, place: str, data: str) -> dict[str, Any]:
        """Take one piece of a push, `AT/OF`, base64 of packed rules; return the push's state.

        The last piece has it read, checked and drafted. BadSettings for a bad place, a gap, or too many pushes under
        way.
        """
        at, _, of = place.partition("/")
        if not (at.isdecimal() and of.isdecimal() and 0 <= int(at) < int(of) <= PIECES_IN) or len(name) > 64:
            raise InvalidSettingsError(f"a push has pieces 0/N to N-1/N, N at most {PIECES_IN}")
        push = self.pushes.get(name)
        if push is None or int(at) == 0:
            open_ = [key for key, other in self.pushes.items() if other.state in ("coming", "drafted")]
            coming = [key for key in open_ if self.pushes[key].state == "coming"]
            if len(open_) >= MOST_PUSHES and not coming:
                self.counts["pushes_refused"] += 1
                raise InvalidSettingsError(f"full: {MOST_PUSHES} pushes are under way")
            if len(open_) >= MOST_PUSHES:
                del self.pushes[coming[0]]
            push = self.pushes[name] = PendingPush()
            push.of = int(of)
            while len(self.pushes) > PUSHES_KEPT:
                del self.pushes[next(iter(self.pushes))]
        if int(at) != len(push.pieces) or int(of) != push.of:
            raise InvalidSettingsError(f"gap: piece {len(push.pieces)} of {push.of} is next")
        try:
            push.pieces.append(base64.b64decode(data, validate=True))
        except (binascii.Error, ValueError):
            raise InvalidSettingsError("a piece is not base64") from None
        if len(push.pieces) == push.of:
            packed, push.pieces, push.state = b"".join(push.pieces), [], "drafted"
            self._spawn(self._draft(push, lambda live: self._changes(packed, live)))
        return push.told()

    def push_rules(self, name: str, rules: dict[str, Any]) -> None:
        """Push rules that are already read, such as those of this coordinator's own file."""
        push = self.pushes[name] = PendingPush()
        push.state = "drafted"

        self._spawn(self._draft(push, lambda live: self._changes(rules, live)))

    def push_back(self, name: str, number: int) -> dict[str, Any]:
        """Push a return to an earlier version (0: the one before the live one) under a new number.

        BadSettings if it is not kept or is the live one.
        """
        if number == 0:
            earlier = [version.number for version in self.machine.history if version.number < self.machine.live]
            if not earlier:
                raise InvalidSettingsError("there is no earlier version")
            number = earlier[-1]
        if self.machine.history.get(number) is None or number == self.machine.live:
            raise InvalidSettingsError(f"version {number} is not kept, or is the live one")
        push = self.pushes[name] = PendingPush()
        push.state = "drafted"

        async def changes(live: Version) -> tuple[int, bytes, int, list[bytes]]:
            return -1, bytes(16), number, [b""]

        self._spawn(self._draft(push, changes))
        return push.told()

    async def _changes(self, file: bytes | dict[str, Any], live: Version) -> tuple[int, bytes, int, list[bytes]]:
        """What leads from the live version to a file's rules. In slices in the event loop: a thread that computes holds
        the interpreter for 5 ms at a time."""
        rules = await _in_turn(unpacking(file)) if isinstance(file, bytes) else file
        version = await _in_turn(live.following(live.number + 1, diff(live.rules, rules)))
        await _in_turn(schema.checking(version.rules, version.changes))  # the live one's entries have passed
        if len(version.changes) <= SLICE:
            packed = pack(version.changes)
        else:  # most of it is compression, which leaves the interpreter to others
            packed = await asyncio.get_running_loop().run_in_executor(self._pool, pack, version.changes)
        return live.number, version.sum, -1, cut(packed, PIECE)

    async def _draft(
        self, push: PendingPush, make: Callable[[Version], Awaitable[tuple[int, bytes, int, list[bytes]]]]
    ) -> None:
        """Propose it, again where the live version moved on meanwhile, until it is a version or turned down."""
        until = self.now() + PUSH_S * 1000.0
        try:
            while self.now() < until:
                if self.machine.pending or not self.holder.heard:
                    await asyncio.sleep(TICK_S)
                    continue
                live = self.machine.version(self.machine.live)
                base, digest, to, pieces = await make(live)
                if to < 0 and digest == live.sum and live.number:
                    push.state, push.version, push.why = "live", live.number, "these are the rules of the live version"
                    return
                self._drafts += 1
                push.draft, push.state, push.why = f"{self.name}/{self.holder.process}/{self._drafts}", "drafted", ""
                number = self._drafts
                for at, data in enumerate(pieces):
                    piece = agreement.encode(
                        DraftPiece(self.name, self.holder.process, number, base, digest, at, len(pieces), data, to)
                    )
                    while True:  # what may have come before is a repeat, which changes nothing
                        result = await self._propose(piece, ASK_S * 2)
                        if push.state != "drafted":
                            return
                        if result is not None or self.now() >= until:
                            break
                        await asyncio.sleep(TICK_S * 4.0)
                    if result not in (agreement.OK, b"no: repeat"):
                        push.state, push.why = "turned down", (result or b"no: the log does not answer").decode()
                        if result is not None and result.startswith(b"no: full"):
                            self.counts["pushes_refused"] += 1
                        if result is None:
                            push.state = "uncertain"
                        return
                if push.state == "drafted":
                    with suppress(TimeoutError):
                        async with asyncio.timeout(max(0.0, until - self.now()) / 1000.0):
                            await push.settled.wait()
                push.settled.clear()
                if not (push.state == "turned down" and push.why.startswith("base: ")):
                    return
                push.state = "drafted"
            push.state, push.why = "uncertain", f"no publisher took it within {PUSH_S:g} s"
        except InvalidSettingsError as error:
            push.state, push.why = "turned down", str(error)

    # Operators.

    def outcome(self, name: str) -> dict[str, Any]:
        """Return what became of a push made here; BadSettings if none of that name is remembered."""
        if (push := self.pushes.get(name)) is None:
            raise InvalidSettingsError("no such push here")
        return push.told()

    def figures(self) -> dict[str, Any]:
        """Return state, lease and members for the operators' port: who runs which version, turned one down, or is on
        the meet.
        """
        machine, now, acting = self.machine, self.now(), self.look()
        members = {
            name: {
                "acked": m.hold.acked,
                "acting": m.hold.acting,
                "on_meet": not m.hold.acting,
                "refused": m.hold.refused,
                "why": m.hold.why,
            }
            for name, m in sorted(machine.members.items())
        }
        return {
            "name": self.name,
            "mode": acting.mode,
            "versions": acting.versions,
            "why": acting.why,
            "live": machine.live,
            "pending": machine.pending,
            "proven": machine.proven,
            "on_trial": bool(machine.trial),
            "last": machine.last,
            "publisher": bool(self.publisher.token),
            "leader": self.log.leader,
            "lease_ms": self.terms.lease_ms,
            "left_ms": round(max(0.0, self.holder.until - now), 1) if self.holder.heard else 0.0,
            "heard": self.holder.heard,
            "kept": sorted(self.holder.durable),
            "kept_age_s": round(time.time() - self.kept.at_ms / 1000.0, 1) if self.kept.versions else None,
            "keeps": self.keeper is not None,
            "entries": len(acting.rules),
            "members": members,
            "drafts": len(machine.drafts),
            "refused_tokens": machine.counts["stale"],
            "counts": {**machine.counts, **self.holder.counts, **self.counts},
        }

    def history(self) -> dict[str, Any]:
        """Return the events, oldest first, and the versions that are kept."""
        return {
            "live": self.machine.live,
            "proven": self.machine.proven,
            "versions": [
                {
                    "version": v.number,
                    "by": v.by,
                    "digest": v.sum.hex(),
                    "entries": len(v.rules),
                    "changes": len(v.changes),
                }
                for v in self.machine.history
            ],
            "news": [{"what": n.what, "version": n.version, "by": n.by, "why": n.why} for n in self.machine.news],
        }

    def diff(self, one: int, two: int, most: int = 500) -> dict[str, Any]:
        """Return up to `most` changes from one kept version to another, without secrets.

        BadSettings if one is not kept.
        """
        try:
            changes = self.machine.history.changes(one, two)
        except KeyError as error:
            raise InvalidSettingsError(f"version {error} is not kept") from None
        shown = {key: None if entry is None else schema.shown(entry) for key, entry in sorted(changes.items())[:most]}
        return {"from": one, "to": two, "changes": len(changes), "shown": shown}

    # The end.

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.telemetry.count("faults")
            self.telemetry.log("fault", error=repr(error), of="settings")

    async def close(self) -> None:
        """Give up the lease and say so in the log, so that the others need not wait for this coordinator."""
        if self._closed:
            return
        leave = self.holder.leave()
        self.look()
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self.log.leader is not None:
            await self._propose(agreement.encode(leave), 0.5)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._pool.shutdown(wait=True)
        if self.keeper is not None:
            self.keeper.store.close()
