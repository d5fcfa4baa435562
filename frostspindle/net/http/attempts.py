"""The life of one attempt at an engine: its POST, its news, its pages, its rank, and its end when it is given up.

Owns the order of these calls and what each answer means for the attempt. It must never resend what may have reached
an engine, never report an end while the engine may still be running the query, and never report a good end without
all rows in hand. Which engine, when and for how long is not its affair.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from frostspindle.core import UNTOLD, Attempt, Core, Needed, clock
from frostspindle.events import Events
from frostspindle.net.http.line import Broken, Line, Unwritten
from frostspindle.net.http.peer import ANSWER_S, ASKS, Drained, NoLine, Peer
from frostspindle.net.http.readings import Readings
from frostspindle.net.http.replies import RESULT_BYTES, BadReply, Reply, Rows
from frostspindle.policy import AttemptOutcome, Idempotency
from frostspindle.pools import Course

End = tuple[int, tuple[float, ...], tuple[Rows, int] | None, Needed]  # verdict, load report, rows with size, needs
GIVE_UP_S = 0.3  # how long a DELETE may wait for its answer
LOOK_S = 0.05  # so often it is looked whether an old connection has answered


class Life:
    """The steps of attempts at HTTP engines; their state is in each attempt's Course."""

    def __init__(self, core: Core, events: Events, readings: Readings) -> None:
        self.core, self.events, self.readings = core, events, readings

    def head(self, attempt: Attempt, course: Course) -> str:
        """Return the header fields of the POST, made as it is written: time passes while a connection is awaited."""
        course.priority = attempt.priority
        grant = f"X-Memory-Mb: {attempt.grant_mb:.3f}\r\n" if attempt.grant_mb > 0 else ""
        nonce = f"X-Nonce: {attempt.ask.idempotency_key}\r\n" if attempt.ask.idempotency_key else ""
        return (
            f"X-Ticket: {attempt.ask.ticket}\r\nX-Queue: {attempt.class_name}\r\n"
            f"X-Max-Ms: {max(1, int(attempt.left_ms(clock())))}\r\nX-Priority: {attempt.priority}\r\n{grant}{nonce}"
        )

    async def follow(self, peer: Peer, attempt: Attempt, course: Course, came: Reply | Exception | None = None) -> End:
        """Run an attempt from its POST, or from what came in answer to it, to the last page; return its end.

        The verdicts RESET and CANCELLED leave open whether the query has ended.
        """
        path = f"/v1/store/{attempt.ask.ticket}/"
        report: tuple[float, ...] = ()
        if came is None:
            try:
                came = await peer.call(
                    "POST",
                    "/v1/store",
                    lambda: self.head(attempt, course),
                    attempt.ask.statement.encode(),
                    attempt,
                    course.wired,
                    page=0,
                )
            except Drained:
                return attempt.unsent, (), None, UNTOLD
            except NoLine as error:  # nothing was written: proof that nothing ran
                self.events.log("connect", engine=peer.state.name, error=str(error))
                return (AttemptOutcome.OVERLOADED if error.full else AttemptOutcome.CONNECT_FAILED), (), None, UNTOLD
            except (Broken, BadReply, TimeoutError) as error:
                came = error
        reply = came if isinstance(came, Reply) else None
        if isinstance(came, Unwritten):
            course.wired[0] = False
            self.events.log("connect", engine=peer.state.name, error=str(came))
            return attempt.unsent, (), None, UNTOLD
        if isinstance(came, Exception):
            self._spoilt(peer, attempt, came)  # it may run: its news are asked for
            course.doubted = True
        while True:
            if reply is None:
                if course.priority != attempt.priority:
                    course.priority = attempt.priority
                    await self._rank(peer, attempt, course)
                reply = await self.news(peer, attempt, path, 0, course)
                if reply is None:
                    return AttemptOutcome.RESET, report, None, UNTOLD
            report = self.readings.report(reply) or report
            if course.doubted and reply.status == 500:
                # The engine lives and does not know the query: the POST was lost, or the process that took it.
                # That it never ran, or runs no more, is likely and unproven.
                self.events.count("queries_unknown")
                return AttemptOutcome.CANCELLED, report, None, UNTOLD
            if reply.status == 202:
                if (said := self.readings.note(reply)) is not None:
                    self.core.note(attempt, *said)
                reply = None
            elif reply.status == 200:
                rows = await self._pages(peer, attempt, path, reply, course)
                return (
                    (AttemptOutcome.OK if rows is not None else AttemptOutcome.ERROR),
                    report,
                    rows,
                    self.readings.needed(reply),
                )
            else:
                return self._refused(reply), report, None, UNTOLD

    def _refused(self, reply: Reply) -> int:
        shed = reply.status in (503, 504) and reply.headers.get(b"x-shed") == b"1"
        return AttemptOutcome.OVERLOADED if shed else AttemptOutcome.ERROR

    def told(self, reply: Reply) -> End | None:
        """Return the end that the response to a POST gives by itself; None: there is more to come."""
        if reply.status == 202 or reply.pages > 1:
            return None
        report = self.readings.report(reply)
        if reply.status == 200:
            return AttemptOutcome.OK, report, (reply.rows, len(reply.body)), self.readings.needed(reply)
        return self._refused(reply), report, None, UNTOLD

    def _spoilt(self, peer: Peer, attempt: Attempt, error: Exception) -> None:
        if isinstance(error, BadReply):
            self.events.count("engine_bad_replies")
            self.events.log("engine_reply", engine=peer.state.name, ticket=attempt.ask.ticket, error=str(error))
        elif isinstance(error, Broken):
            self.events.count("engine_breaks")

    async def news(self, peer: Peer, attempt: Attempt, path: str, number: int, course: Course) -> Reply | None:
        """Poll for news or a page, on a new connection after a broken response.

        An engine repeats its response, so that a damaged one is not yet lost. Of ASKS broken connections or damaged
        responses the last decides: None as if the process were gone, or BadReply. None also if the process is gone.
        """
        broken, fresh = 0, False
        while True:
            wired, began = [False], clock()
            try:
                reply = await peer.call("GET", f"{path}{number}", wired=wired, fresh=fresh, page=number, stay=True)
                wired[0] = reply.status != 500  # a process that does not know it keeps nothing going
                return reply
            except NoLine as error:
                if error.refused:
                    return None
            except TimeoutError:
                pass  # silent: ask again until the attempt's own time is over
            except (Broken, BadReply) as error:
                self._spoilt(peer, attempt, error)
                broken += 1
                if broken >= ASKS:
                    if isinstance(error, BadReply):
                        raise
                    return None
            finally:
                if wired[0]:  # what had no connection can't have been an ask that keeps the query going
                    course.asked_ms = began
            fresh = course.doubted = True
            await asyncio.sleep(0.0 if wired[0] else 0.2)

    async def _pages(
        self, peer: Peer, attempt: Attempt, path: str, first: Reply, course: Course
    ) -> tuple[Rows, int] | None:
        """All rows of the result, in order; None: a page is lost."""
        rows, size = first.rows, len(first.body)
        for number in range(1, first.pages):
            reply = await self.news(peer, attempt, path, number, course)
            if reply is None or reply.status != 200:
                return None
            size += len(reply.body)
            if size > RESULT_BYTES:
                raise BadReply("a result is too long")
            rows += reply.rows
        return rows, size

    async def give_up(self, peer: Peer, attempt: Attempt, course: Course) -> None:
        """Free the engine's work and return once the attempt can't be running any more.

        After a silence or a broken response the process that gets the DELETE may be a successor of the one that has the
        query, or had it written to it: a restarted machine answers 204 to an id that it never saw. Only a connection as
        old as the query proves that the process is the same. What may never be sent again needs no such proof, unless
        its end lets the next request of its key go.
        """
        if not course.wired[0]:
            return
        terms = self.core.settings.classes[attempt.ask.cls]
        once = terms.idempotency == Idempotency.NON_IDEMPOTENT and not (terms.in_order and attempt.ask.key)
        path = f"/v1/store/{attempt.ask.ticket}"
        delete = [False]
        for fresh in (False, True):
            unsure = course.unsure(clock())
            try:
                reply = await peer.call(
                    "DELETE", path, wired=delete, within_s=GIVE_UP_S, fresh=fresh, eldest=unsure, stay=True
                )
                if not unsure or once or course.same(reply.line_ms):
                    return
                break
            except NoLine as error:
                if error.refused:
                    return  # the process is gone, and what it ran with it
            except (Broken, TimeoutError, BadReply) as error:
                if isinstance(error, Unwritten):
                    delete[0] = False
                if fresh and delete[0] and (once or not unsure):
                    return  # a live machine has the whole call; it merely does not answer
        told = clock() if delete[0] else math.inf  # without a DELETE no answer ends the wait
        while (left := course.wait_ms(clock(), told, peer.lines)) > 0:
            await asyncio.sleep(min(LOOK_S, left / 1000.0))

    async def _rank(self, peer: Peer, attempt: Attempt, course: Course) -> None:
        try:
            reply = await peer.call("PUT", f"/v1/store/{attempt.ask.ticket}", body=b"%d" % attempt.priority)
            self.events.count("ranked" if reply.status == 204 else "rank_failed")
        except (NoLine, Broken, TimeoutError, BadReply):
            self.events.count("rank_failed")
            course.doubted = True


class First:
    """An attempt whose POST is out, without a task: most attempts need nothing more.

    It is the connection's waiter. It calls exactly one of `ended` (the response was the end), `on` (with a response
    that is not the end, or an error) and `off` (cancelled), once.
    """

    __slots__ = ("life", "peer", "attempt", "course", "ended", "on", "off", "line", "over")
    line: Line

    def __init__(
        self,
        life: Life,
        peer: Peer,
        attempt: Attempt,
        ended: Callable[[Attempt, End], None],
        on: Callable[[First, Reply | Exception], None],
        off: Callable[[First], None],
    ) -> None:
        self.life, self.peer, self.attempt, self.course = life, peer, attempt, Course(clock())
        self.ended, self.on, self.off = ended, on, off
        self.over = False

    def send(self, line: Line) -> None:
        """Write the POST; called once, in the turn in which the engine was found ready and the connection usable."""
        self.line, self.attempt.task, self.course.wired[0] = line, self, True
        self.peer.ask(
            line,
            "POST",
            "/v1/store",
            self.life.head(self.attempt, self.course),
            self.attempt.ask.statement.encode(),
            self.attempt,
            ANSWER_S,
            self,
        )

    # The connection's waiter.

    def done(self) -> bool:
        """Return whether the response or an error has come, or the attempt was cancelled."""
        return self.over

    def set_result(self, reply: Reply) -> None:
        """Take the response to the POST: release the connection, then report the end or hand on to `on`.

        A response that can't be read goes to `on` as a BadReply, and its connection is not used again.
        """
        came: Reply | Exception = reply
        end: End | None = None
        try:
            end = self.life.told(self.peer.heard(self.line, reply, 0))
        except BadReply as error:
            self.line.good, came = False, error
        self._let_go()
        if end is not None:
            self.ended(self.attempt, end)
        else:
            self.on(self, came)

    def set_exception(self, error: Exception) -> None:
        """Release the connection and hand the error to `on`: the engine may have the query."""
        self._let_go()
        self.on(self, error)

    def _let_go(self) -> None:
        self.over, self.attempt.task = True, None  # a circle would be left to the collector
        self.line.over()
        self.peer.release(self.line)

    # What the driver stops.

    def cancel(self) -> None:
        """Give the attempt up and hand it to `off`; no effect once it is over.

        The connection is kept for the response that is still due where `Line.leave` allows it, else released. A POST
        that had not left whole counts as not sent.
        """
        if not self.over:
            self.over, self.attempt.task = True, None
            if not self.line.leave():
                self.line.over()
                self.course.wired[0] = not self.line.unwritten
                self.peer.release(self.line)
            self.off(self)
