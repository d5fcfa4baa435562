"""No batch is sent to a TDS engine while an earlier attempt of it may still run at another one."""

import asyncio

from peers import TdsCase
from test_tds import ROWS

from frostspindle.net.tds import session


class TdsOverlap(TdsCase):
    async def start_two(self):
        """Start two engines, of which the first to get a batch does not answer it by itself."""
        self.two = await self.start(2)
        self.first = None

        def respond(engine):
            self.first = self.first or engine
            return self.answer_of_first if engine is self.first else ROWS

        for engine in self.two:
            engine.script = lambda statement, engine=engine: respond(engine)

    @property
    def sent(self):
        return sum(len(engine.statements) for engine in self.two)

    async def faults_of(self, statement="SELECT 1"):
        result = await (await self.client()).query(statement)
        return [fault.number for fault in result.errors]

    # Guards against: a lookup was sent to another engine as its connection broke, while the first one still ran it.
    async def test_batch_whose_connection_broke_is_refused_and_not_sent_again(self):
        for self.answer_of_first in ("kill", "cut"):
            await self.start_two()
            self.assertEqual(await self.faults_of(), [session.REFUSED])
            self.assertEqual(self.sent, 1)

    # Guards against: the same after a response that can't be read.
    async def test_batch_with_an_unreadable_response_is_refused_and_not_sent_again(self):
        self.answer_of_first = b"\x00\x01\x02"
        await self.start_two()
        self.assertEqual(await self.faults_of(), [session.REFUSED])
        self.assertEqual(self.sent, 1)

    async def relocate(self, confirms_attention):
        """Cancel a batch at the engine that hangs; return the errors that its client gets."""
        self.answer_of_first = "hang"
        await self.start_two()
        for engine in self.two:
            engine.confirms_attention = confirms_attention
        asking = asyncio.create_task(self.faults_of())
        await self.until(lambda: self.sent)
        (entry,) = self.program.core.ledger.entries.values()
        self.program.tds_driver.cancel_attempt(entry.attempts[0])
        return await asking

    # Guards against: an Attention that was not confirmed counted as the end of the batch.
    async def test_batch_whose_attention_is_not_confirmed_is_refused_and_not_sent_again(self):
        self.assertEqual(await self.relocate(confirms_attention=False), [session.REFUSED])
        self.assertEqual(self.sent, 1)

    async def test_batch_whose_attention_is_confirmed_is_sent_again(self):
        self.assertEqual(await self.relocate(confirms_attention=True), [])
        self.assertEqual(self.sent, 2)


del TdsCase  # keep pytest from collecting it here as well
