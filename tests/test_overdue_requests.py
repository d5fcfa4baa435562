"""Requests that are overdue as they reach the core, as those that waited unread in a crowd."""

from peers import EdgeCase

from frostspindle.core import ClientRequest, ResponseStatus, clock
from frostspindle.policy import TimerFired


class OverdueRequests(EdgeCase):
    # Guards against: a request that the core answered at its deadline stayed in the decision module, which sent it
    # later: an exception was logged, and the engine counted as busy with it for ever.
    async def test_decision_module_forgets_a_request_that_the_core_answers_at_its_deadline(self):
        await self.start()
        core, answers = self.program.core, []
        decided = core.controller.handle
        # The decision module has not ended the requests by their deadline, as when the process was busy.
        core.controller.handle = lambda now, event: [] if isinstance(event, TimerFired) else decided(now, event)
        core.ban(frozenset(state.name for state in core.engines.values()))  # so that they wait
        await self.until(lambda: not core.has_pending_changes)
        for number in range(1, 4):
            core.submit(ClientRequest("http", 0, f"{number:016x}", "SELECT 1", clock(), 100.0, answers.append))
        await self.until(lambda: len(answers) == 3)
        self.assertEqual([answer.status for answer in answers], [ResponseStatus.FAILED] * 3)
        self.assertEqual(core.controller.requests, {})
