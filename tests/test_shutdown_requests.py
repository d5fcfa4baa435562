"""Requests that reach the core as the process shuts down: each gets its final response, and none is sent to an engine.

At a shutdown the core ends all open requests once. Whatever it processes after that can't be answered by an engine
before the process exits.
"""

import asyncio
import unittest.mock
from types import SimpleNamespace

from peers import LOAD, LOOKUP, SQL, EdgeCase, at_work, host

from frostspindle.core import ClientRequest, ResponseStatus, clock
from frostspindle.cores.link import SharedMemoryLink
from frostspindle.cores.operator_commands import OperatorCommands
from frostspindle.net.http import connection_limits, request_registry
from frostspindle.net.http.calls import FRONT
from frostspindle.net.operator import OperatorError

REQUESTS = 5


class AdmissionGateStub:
    """Holds every request until the test admits it."""

    def __init__(self):
        self.waiting = []

    def enter(self, now, request, is_head_of_key):
        self.waiting.append(request.number)
        return False

    def on_key_order_reached(self, number):
        return False

    def on_request_finished(self, number, ran):
        pass

    def on_attempt_ended(self, engine, outcome):
        pass

    def close(self):
        return []


class InterceptorStub:
    """Accepts every request, and would answer it later than the shutdown allows."""

    open = 0

    def __init__(self):
        self.taken = []

    def try_take(self, request):
        self.taken.append(request)
        return True

    def client_disconnected(self, request):
        return False


class RequestsAtShutdown(EdgeCase):
    async def asyncSetUp(self):
        (self.engine,) = await self.engines()
        await self.coordinator([host("s-00000001", self.engine.port)])
        self.core = self.program.core
        self.responses = []

    def submit(self, cls=LOOKUP):
        names = [name for front, name in self.core.classes if front == FRONT]
        request = ClientRequest(
            FRONT,
            names.index(cls),
            f"{len(self.responses):016x}",
            SQL,
            clock(),
            3000.0,
            self.responses.append,
            50.0,
            64.0,
        )
        self.assertTrue(self.core.submit(request))

    async def assert_all_rejected(self, count):
        await self.until(
            lambda: len(self.responses) == count and not self.core.dispatcher.inbox and not self.core.dispatcher.urgent,
            within_s=5.0,
        )
        self.assertEqual([response.status for response in self.responses], [ResponseStatus.REJECTED] * count)
        self.assertEqual((self.core.open, self.core.ledger.entries, self.count("sent")), (0, {}, 0))
        self.assertEqual((self.engine.of("POST"), self.count("faults")), ([], 0))

    # Guards against: the end of the open requests overtook requests in the core's queue, which were then sent.
    async def test_requests_still_queued_when_the_open_ones_are_ended_are_rejected_and_not_sent(self):
        for _ in range(REQUESTS):
            self.submit()
            self.submit(LOAD)
        self.core.fail_open_requests()
        await self.assert_all_rejected(2 * REQUESTS)

    # Guards against: as the open requests were about to be ended, connections of clients that were slow to poll their
    # path were closed, and these got no answer (test_requests_that_hang_at_an_engine_are_answered_before_the_kill).
    async def test_client_that_is_slow_to_poll_gets_its_answer_at_the_end_of_a_shutdown(self):
        self.engine.script = at_work(asyncio.Event())
        with unittest.mock.patch.object(request_registry, "POLL_HOLD_S", 0.05):
            _, body, _ = await self.ask()
        (connection,) = self.program.platform.clients
        connection.state_since -= connection_limits.DRAIN_POLL_GRACE_S + 1.0
        self.program.platform.finish()
        self.program.platform._sweep()  # it may be due at any time
        self.core.fail_open_requests()
        status, body, _ = await self.call("GET", body["next"])
        self.assertEqual((status, body), (503, {"failure": "Busy"}))

    # Guards against: an operator's `resume` in a shutdown made the fronts keep clients and accept requests again.
    async def test_resume_in_a_shutdown_is_refused_and_changes_nothing(self):
        self.assertEqual((await self.call("GET", "/ping"))[0], 200)  # its connection serves the request below, too
        self.program.stopping.set()
        self.program.drain()
        self.program.platform.finish()
        self.assertEqual(await self.operate("resume"), ["NAK the program ends"])
        SharedMemoryLink._apply_draining(SimpleNamespace(program=self.program), False)  # as by a supervisor's page
        self.assertTrue(self.program.platform.draining)
        self.assertEqual((await self.ask())[0], 503)
        self.assertEqual((self.count("taken"), self.engine.of("POST")), (0, []))

    # Guards against: the same with workers, to which the supervisor passes `resume` on.
    async def test_supervisor_refuses_resume_in_a_shutdown(self):
        control = SimpleNamespace(page=SimpleNamespace(draining=True), publish=lambda: None)
        commands = OperatorCommands(None, control, None, None, lambda: True)
        with self.assertRaisesRegex(OperatorError, "the program ends"):
            commands.resume()
        self.assertTrue(control.page.draining)

    # Guards against: requests submitted after the open ones were ended were sent, and cut off by the exit.
    async def test_requests_submitted_after_the_open_ones_were_ended_are_rejected_and_not_sent(self):
        self.core.fail_open_requests()
        await self.until(lambda: not self.core.dispatcher.urgent)
        self.submit()
        self.submit(LOAD)
        await self.assert_all_rejected(2)

    # Guards against: an attempt that waited for its connection was sent after its request's end had been queued.
    async def test_attempt_is_not_sent_once_the_end_of_the_open_requests_is_queued(self):
        release = asyncio.Event()
        self.core.catch_up = release.wait  # drivers wait for it between the connection and the first byte
        self.submit(LOAD)
        await self.until(lambda: self.count("sent"))
        self.core.fail_open_requests()
        (entry,) = self.core.ledger.entries.values()
        self.assertFalse(self.core.may_send(entry.attempts[0]))
        release.set()
        await self.until(lambda: self.responses and not self.core.ledger.entries)
        self.assertEqual(self.engine.of("POST"), [])

    # Guards against: the end of the open requests overtook the gate's admission of a request, which was then sent.
    async def test_request_whose_admission_is_queued_when_the_open_ones_are_ended_is_rejected(self):
        gate = self.core.admission_gate = AdmissionGateStub()
        self.submit(LOAD)
        await self.until(lambda: gate.waiting)
        self.core.admit_waiting(gate.waiting[0], True)
        self.core.fail_open_requests()
        await self.assert_all_rejected(1)

    # Guards against: a late request waited at the admission gate, which was closed already, until the exit.
    async def test_late_request_does_not_wait_at_the_admission_gate(self):
        gate = self.core.admission_gate = AdmissionGateStub()
        self.core.fail_open_requests()
        self.submit(LOAD)
        await self.assert_all_rejected(1)
        self.assertEqual(gate.waiting, [])

    # Guards against: a late request on spread tables was begun after the open ones had been abandoned.
    async def test_late_request_is_not_taken_by_the_interceptor(self):
        interceptor = self.core.interceptor = InterceptorStub()
        self.core.fail_open_requests()
        self.submit()
        await self.assert_all_rejected(1)
        self.assertEqual(interceptor.taken, [])
