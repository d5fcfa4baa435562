"""The life of one attempt at an engine: its POST, its news, its pages, its rank, and its end when it is given up.

Owns the order of these calls and what each answer means for the attempt. It must never resend what may have reached
an engine, never report an end while the engine may still be running the query, and never report a good end without
all rows in hand. Which engine, when and for how long is not its affair.
"""

from __future__ import annotations

import asyncio
import math

from frostspindle.core import UNTOLD, Attempt, Core, Needed, clock
from frostspindle.events import Events
from frostspindle.net.http.line import Broken
from frostspindle.net.http.peer import ASKS, Drained, NoLine, Peer
from frostspindle.net.http.readings import Readings
from frostspindle.net.http.replies import RESULT_BYTES, BadReply, Reply, Rows
from frostspindle.pools import Course
from pinstage.interface import Effect, Verdict

GIVE_UP_S = 0.3  # how long a DELETE may wait for its answer
LOOK_S = 0.05  # so often it is looked whether an old connection has answered


class Life:
    """Follows attempts; what differs between them is handed in."""

    def __init__(self, core: Core, events: Events, readings: Readings) -> None:
        self.core, self.events, self.readings = core, events, readings

    async def follow(self, peer: Peer, attempt: Attempt,
                      course: Course) -> tuple[int, tuple[float, ...], tuple[Rows, int] | None, Needed]:
        """From the POST to the last page; the verdict, the load report, the rows with their size, what they needed.

        RESET and CANCELLED leave open whether the query has ended.
        """
        ask = attempt.ask
        grant = f"X-Memory-Mb: {attempt.grant_mb:.3f}\r\n" if attempt.grant_mb > 0 else ""
        head = (f"X-Ticket: {ask.ticket}\r\nX-Queue: {attempt.class_name}\r\n"
                f"X-Max-Ms: {max(1, int(attempt.timeout_ms))}\r\nX-Priority: {attempt.priority}\r\n{grant}")
        path = f"/v1/store/{ask.ticket}/"
        report: tuple[float, ...] = ()
        reply: Reply | None = None
        told = attempt.priority
        try:
            reply = await peer.call("POST", "/v1/store", head, ask.statement.encode(), attempt, course.wired,
                                    page=0)
        except Drained:
            return Verdict.CONNECT_FAILED, (), None, UNTOLD
        except NoLine as error:  # nothing was written: proof that nothing ran
            self.events.log("connect", engine=peer.state.name, error=str(error))
            return (Verdict.FULL if error.full else Verdict.CONNECT_FAILED), (), None, UNTOLD
        except (Broken, BadReply, TimeoutError) as error:
            self._spoilt(peer, attempt, error)  # it may run: its news are asked for
            course.doubted = True
        while True:
            if reply is None:
                if told != attempt.priority:
                    told = attempt.priority
                    await self._rank(peer, attempt, course)
                reply = await self.news(peer, attempt, path, 0, course)
                if reply is None:
                    return Verdict.RESET, report, None, UNTOLD
            report = self.readings.report(reply) or report
            if course.doubted and reply.status == 500:
                # The engine lives and does not know the query: the POST was lost, or the process that took it.
                # That it never ran, or runs no more, is likely and unproven.
                self.events.count("queries_unknown")
                return Verdict.CANCELLED, report, None, UNTOLD
            shed = reply.headers.get(b"x-shed") == b"1"
            if reply.status == 202:
                if (said := self.readings.note(reply)) is not None:
                    self.core.note(attempt, *said)
                reply = None
            elif reply.status == 200:
                rows = await self._pages(peer, attempt, path, reply, course)
                return (Verdict.OK if rows is not None else Verdict.ERROR), report, rows, self.readings.needed(reply)
            elif reply.status in (503, 504) and shed:
                return Verdict.FULL, report, None, UNTOLD
            else:
                return Verdict.ERROR, report, None, UNTOLD

    def _spoilt(self, peer: Peer, attempt: Attempt, error: Exception) -> None:
        if isinstance(error, BadReply):
            self.events.count("engine_bad_replies")
            self.events.log("engine_reply", engine=peer.state.name, ticket=attempt.ask.ticket, error=str(error))
        elif isinstance(error, Broken):
            self.events.count("engine_breaks")

    async def news(self, peer: Peer, attempt: Attempt, path: str, number: int,
                    course: Course) -> Reply | None:
        """Ask for news or a page, on a new connection if the answer is broken; None: the process is gone.

        An engine gives the same answer again, so that one which came spoilt is not yet lost.
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

    async def _pages(self, peer: Peer, attempt: Attempt, path: str, first: Reply,
                     course: Course) -> tuple[Rows, int] | None:
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
        """Free the engine's work. Returns once the attempt can't be out any more.

        After a silence or a broken answer the process that gets the DELETE may be a successor of the one that has
        the query, or had it written to it: a machine that was lost comes back that way, and says 204 to an id
        that it never saw. Only a connection as old as the query shows that the process is the same. What may never
        be sent again needs no such proof, unless its end lets the next of its key go.
        """
        if not course.wired[0]:
            return
        terms = self.core.settings.classes[attempt.ask.cls]
        once = terms.effect == Effect.ONCE and not (terms.in_order and attempt.ask.key)
        path = f"/v1/store/{attempt.ask.ticket}"
        delete = [False]
        for fresh in (False, True):
            unsure = course.unsure(clock())
            try:
                reply = await peer.call("DELETE", path, wired=delete, within_s=GIVE_UP_S, fresh=fresh,
                                        eldest=unsure, stay=True)
                if not unsure or once or course.same(reply.line_ms):
                    return
                break
            except NoLine as error:
                if error.refused:
                    return  # the process is gone, and what it ran with it
            except (Broken, TimeoutError, BadReply):
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
