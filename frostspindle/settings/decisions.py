"""What one coordinator acts on, and what the publisher does next: both without I/O and clock.

Owns a coordinator's lease on its version and the choice between that version and the meet (`Holder`), and the rules of
when a version goes live, is dropped or rolled back (`Publisher`). It must never act on a version plainly once its
lease is over, never acknowledge what is not kept and acted on, and never make a version live while a coordinator may
still act plainly on another without knowing of it.

Why no two act on contradicting versions plainly (times in ms; D the lease, d the drift, clocks within d of true time):

- A lease counts from before a hold was proposed, for D(1 - d) of the coordinator's clock, so at most D of true time,
  and is taken only when that hold is applied here: then all that the log had before it is applied here too.
- So from `publish(v+1)` on, whoever renews knows of v+1 and acts on the meet of v and v+1; a lease from before it is
  over D after it was committed. The publisher waits until all who hold leases have acknowledged v+1, or D(1 + d) of its
  own clock since it applied the entry.
- Between `live(v+1)` and its applying, a coordinator acts on that meet; once its lease is over, on the meet of all
  versions that it knows may be live.

At most two adjacent versions are live at once, as in Rae et al., "Online, Asynchronous Schema Change in F1", VLDB
2013; the meet stands where F1 has intermediate states. Who is cut off for longer knows nothing of later versions: what
its meet can't cover, and the mode that stops instead (`alone = "refuse"`): docs/design/settings.md.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from immutables import Map

from frostspindle.settings import agreement
from frostspindle.settings.agreement import (
    OK,
    Activate,
    Command,
    Confirm,
    MemberLeaving,
    PublishVersion,
    RemoveMember,
    RenewLease,
    Rollback,
    SettingsStateMachine,
    Withdraw,
)
from frostspindle.settings.canary import CALM, CanaryCheck
from frostspindle.settings.meet import adjacent, meet_all
from frostspindle.settings.versions import EMPTY, Version

FILE, VERSION, MEET, REFUSE = "file", "version", "meet", "refuse"
OPEN_HOLDS = 8  # proposed and not yet heard of


@dataclass(slots=True, frozen=True)
class AgreementSettings:
    """Times in ms and clock drift that all coordinators must have alike, except `alone`."""

    lease_ms: float = 2_000.0
    drift: float = 0.01
    trial_ms: float = 10_000.0  # a version may be rolled back by its figures for so long
    alone: str = MEET  # or REFUSE: what to do once nothing was heard for a lease

    @property
    def own_ms(self) -> float:
        """Time in ms for which a coordinator counts its own lease: shortened by the drift."""
        return self.lease_ms * (1.0 - self.drift)

    @property
    def wait_ms(self) -> float:
        """Time in ms after which every lease of others is over: lengthened by the drift."""
        return self.lease_ms * (1.0 + self.drift)

    @property
    def renew_ms(self) -> float:
        """Interval in ms at which a coordinator renews its lease: a quarter of it."""
        return self.lease_ms / 4.0


@dataclass(slots=True, frozen=True)
class ActiveRules:
    """What is acted on. `mode` VERSION: the one of `versions`, plainly; MEET: all of them; FILE: nothing is agreed yet;
    REFUSE: nothing is sent, as nothing was heard for a lease.

    `why` a meet: "pending", "alone", "start" (nothing was heard since), "unfit" (the live one can't be taken here).
    """

    mode: str
    versions: tuple[int, ...]
    rules: Map[str, Any]
    why: str = ""

    @property
    def plain(self) -> int:
        """Number of the version that is acted on plainly; 0 if none is."""
        return self.versions[0] if self.mode == VERSION else 0


NOTHING = ActiveRules(FILE, (0,), EMPTY.rules)


@dataclass(slots=True, frozen=True)
class RestoredVersions:
    """What a start knows from the store: versions that may be live, and when that was last known (Unix ms)."""

    versions: tuple[Version, ...] = ()
    at_ms: float = 0.0


class MemberDecisions:
    """One coordinator's lease and choice of version. `fits(version)` says why one can't be taken here, or "".

    It must be pure.
    """

    def __init__(
        self,
        name: str,
        process: int,
        terms: AgreementSettings,
        machine: SettingsStateMachine,
        now: float,
        fits: Callable[[Version], str] = lambda version: "",
        kept: RestoredVersions = RestoredVersions(),
    ) -> None:  # noqa: B008
        self.name, self.process, self.terms, self.machine, self.fits, self.kept = (
            name,
            process,
            terms,
            machine,
            fits,
            kept,
        )
        self.until = -math.inf  # of the lease, on the own clock
        self.heard = False  # a hold of this process was applied
        self.durable: dict[int, int] = {version.number: version.digest for version in kept.versions}
        self.counts: Counter[str] = Counter()
        self.applied = NOTHING  # what the core was told last
        self._asked: dict[int, float] = {}  # by number of a hold when it was proposed
        self._numbers = 0
        self._due = now
        self._said: tuple[int, int] = (0, 0)
        self._unfit: dict[int, str] = {0: ""}  # by version why it can't be taken here
        self._memo: tuple[Any, ActiveRules] | None = None
        self._left = False

    # What happens.

    def told(self, now: float, command: bytes, result: bytes) -> None:
        """Take note that an entry was applied to the machine (after a snapshot both texts are empty): an own hold
        renews the lease, counted from when it was proposed.
        """
        word = agreement.read(command) if command else None
        if isinstance(word, RenewLease) and word.name == self.name and word.process == self.process:
            asked = self._asked.get(word.number)
            for number in [number for number in self._asked if number <= word.number]:
                del self._asked[number]
            if result == OK and asked is not None and not self._left:
                self.until = max(self.until, asked + self.terms.own_ms)
                self.heard = True
            elif result != OK:
                self.counts["hold_refused"] += 1
        live, pending = self.machine.live, self.machine.pending
        for number in (live, pending):
            if number not in self._unfit:
                self._unfit[number] = self.fits(self.machine.version(number))
        if len(self._unfit) > 64:
            self._unfit = {0: "", **{number: self._unfit[number] for number in (live, pending)}}

    def look(self, now: float) -> ActiveRules:
        """Return what to act on now.

        Called before each step, so that a lease that ran out in between takes effect at once.
        """
        machine, fresh = self.machine, now < self.until and not self._left
        key = (fresh, self.heard, machine.open, machine.pending, self._unfit.get(machine.live))
        if self._memo is not None and self._memo[0] == key:
            return self._memo[1]
        acting = self._acting(fresh)
        if self._memo is not None and acting.why in ("alone",) and self._memo[1].why != "alone":
            self.counts["leases_lost"] += 1
        self._memo = (key, acting)
        return acting

    def _acting(self, fresh: bool) -> ActiveRules:
        machine = self.machine
        if fresh:
            live = machine.version(machine.live)
            if machine.pending:
                return self._meet((live, machine.version(machine.pending)), "pending")
            if self._unfit.get(live.number):
                return self._meet((machine.version(machine.proven), live), "unfit")
            return ActiveRules(VERSION, (live.number,), live.rules) if live.number else NOTHING
        known = {number: machine.version(number) for number in machine.open}
        if not self.heard:
            known = {version.number: version for version in self.kept.versions} | known
            if len(known) > 1:
                known.pop(0, None)
        why = "alone" if self.heard else "start"
        if self.terms.alone == REFUSE and any(known):
            return ActiveRules(REFUSE, tuple(sorted(known)), meet_all(version.rules for version in known.values()), why)
        return self._meet(tuple(known[number] for number in sorted(known)), why)

    def _meet(self, versions: tuple[Version, ...], why: str) -> ActiveRules:
        numbers = tuple(dict.fromkeys(version.number for version in versions))
        if numbers == self.machine.met[:2]:
            rules = self.machine.met[2]
        elif len(versions) == 2 and versions[1].parent == versions[0].number:
            rules = adjacent(versions[0].rules, versions[1].rules, versions[1].changes)
        else:
            rules = meet_all(version.rules for version in versions)
        return ActiveRules(MEET, numbers, rules, why) if any(numbers) else NOTHING

    def took(self, acting: ActiveRules) -> None:
        """Note that the core acts on this."""
        self.applied = acting

    def to_keep(self, less: bool = True) -> tuple[Version, ...]:
        """Return the versions to make durable, empty if those that must be are; with `less` also if others are besides.

        A start takes the meet of all that are durable, so more are no danger. Before a hold of this process was
        applied, the machine may be behind what is kept, and nothing is returned.
        """
        machine = self.machine
        if not self.heard:
            return ()
        needed = tuple(machine.version(number) for number in machine.open if number and not self._unfit.get(number))
        wanted = {version.number: version.digest for version in needed}
        if wanted == self.durable or not less and wanted.items() <= self.durable.items():
            return ()
        return needed

    def was_kept(self, versions: Iterable[Version]) -> None:
        """Note that these versions, and no others, are durable."""
        self.durable = {version.number: version.digest for version in versions}

    # What it says.

    def holds(self, now: float, seen: tuple[int, ...] = ()) -> RenewLease | None:
        """Return the hold to propose now, if one is due, else None; the caller must propose it at once."""
        if self._left:
            return None
        acked, refused = self._acked(), self._refused()
        if now < self._due and (acked, refused) == self._said:
            return None
        if len(self._asked) >= OPEN_HOLDS:
            if now < self._due:
                return None
            del self._asked[next(iter(self._asked))]
        self._numbers += 1
        self._asked[self._numbers] = now
        self._said = (acked, refused)
        self._due = now + self.terms.renew_ms
        return RenewLease(
            self.name,
            self.process,
            self._numbers,
            acked,
            self.applied.plain,
            refused,
            self._unfit.get(refused, "")[: agreement.MOST_TEXT] if refused else "",
            seen,
        )

    def unfit(self, number: int) -> str:
        """Return why a version can't be taken here; "" if it can, or is not known."""
        return self._unfit.get(number, "")

    def leave(self) -> MemberLeaving:
        """End the lease for good, then return the command that says so."""
        self._left = True
        return MemberLeaving(self.name, self.process)

    def _acked(self) -> int:
        newest = self.machine.pending or self.machine.live
        ready = newest in self.applied.versions and not self._unfit.get(newest)
        version = self.machine.version(newest)
        if newest and ready and self.durable.get(newest) == version.digest:
            return newest
        return self._said[0] if self._said[0] <= newest else 0

    def _refused(self) -> int:
        newest = self.machine.pending or self.machine.live
        return newest if self._unfit.get(newest) else 0


class PublisherDecisions:
    """The decisions of the coordinator that holds the task's lease; `take` and `lose` as that comes and goes."""

    def __init__(
        self, terms: AgreementSettings, machine: SettingsStateMachine, judge: CanaryCheck | None = None
    ) -> None:
        self.terms, self.machine, self.judge = terms, machine, judge
        self.token = 0
        # By coordinator its last hold, and when it was seen here; who was heard last stands last.
        self._seen: dict[str, tuple[int, int, float]] = {}
        self._all = True  # all must be looked at, not only who was heard since
        self._pending: tuple[int, float] = (0, 0.0)
        self._trial: tuple[int, float] = (0, 0.0)  # the live version on trial, and since when it is seen so here

    def take(self, now: float, token: int) -> None:
        """Start with a new fencing token.

        All waits and a trial begin anew; what was usual before the version is in the machine.
        """
        self.token = token
        self._seen, self._pending, self._trial, self._all = {}, (0, 0.0), (0, 0.0), True

    def lose(self) -> None:
        """Forget the fencing token: `decide` goes on observing, but proposes nothing until `take`."""
        self.token = 0

    def decide(self, now: float) -> Command | None:
        """Return the next command to propose, if any; called after each entry and at intervals.

        Without a token only observes.
        """
        machine, terms = self.machine, self.terms
        heard = [*machine.members, *machine.heard] if self._all else [*machine.heard]
        machine.heard.clear()
        self._all = False
        told, gone = {}, []
        for name in heard:
            if (member := machine.members.get(name)) is None:
                self._seen.pop(name, None)
                gone.append(name)
                continue
            hold = member.hold
            told[name] = (hold.process, hold.seen)
            known = self._seen.get(name)
            if known is None or known[:2] != (hold.process, hold.number):
                self._seen.pop(name, None)
                self._seen[name] = (hold.process, hold.number, now)
        if self.judge is not None:
            self.judge.feed(now, told, gone)
        if self._pending[0] != machine.pending:
            self._pending = (machine.pending, now)
        trial = machine.live if machine.trial else 0
        if self._trial[0] != trial:
            self._trial = (trial, now)
            if self.judge is not None and trial:
                self.judge.begin(now, machine.usual)
        if not self.token:
            return None
        if machine.pending:
            return self._pass(now)
        calm = True
        if trial and self.judge is not None and machine.version(machine.proven).digest != machine.version(trial).digest:
            verdict = self.judge.verdict(now)
            if verdict and verdict != CALM:
                return Rollback(self.token, trial, verdict)
            calm = verdict == CALM
        if (draft := machine.draft()) is not None:
            return PublishVersion(self.token, draft.first.key)
        if trial and calm and now - self._trial[1] >= terms.trial_ms:
            return Confirm(self.token, trial)
        for name, (process, number, at) in self._seen.items():
            return RemoveMember(self.token, name, process, number) if now - at >= 2.0 * terms.wait_ms else None
        return None

    def _pass(self, now: float) -> Command | None:
        """The pending version: on, off, or not yet. Who can't take it acts on the meet for as long as it is pending."""
        number, acked = self.machine.pending, True
        for name, member in self.machine.members.items():
            if member.hold.refused == number:
                return Withdraw(self.token, number, f"{name}: {member.hold.why}"[: agreement.MOST_TEXT])
            acked &= member.hold.acked >= number
        if acked or now - self._pending[1] >= self.terms.wait_ms:
            return Activate(self.token, number, self.judge.usual() if self.judge is not None else ())
        return None
