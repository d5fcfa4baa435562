"""TDS sessions through a shutdown: each batch that is read is answered, and no batch is sent that can't be answered.

Nothing tells a TDS client that its server is about to exit, so it sends batches for as long as its session is open.
"""

import asyncio
import random
import unittest.mock

from peers import TdsCase, TdsClient

from frostspindle import program as program_module
from frostspindle.net.tds import codec, front, session
from frostspindle.shutdown_plan import ShutdownPlan

BATCH_PACKETS = codec.packets(codec.BATCH, codec.batch("SELECT 'half'"))
HALF_OF_A_BATCH, REST_OF_THE_BATCH = BATCH_PACKETS[:-3], BATCH_PACKETS[-3:]
CLIENTS_OF_EACH_CLASS = 4
WORK_S = (0.01, 0.08)  # of one batch at an engine
SERVING_S = 0.3  # before the shutdown
PLANS = (ShutdownPlan(0.2, 0.6, 0.9), ShutdownPlan(0.4, 0.4, 0.7))  # the second as with short deadlines


class TdsShutdown(TdsCase):
    def stop(self, plan):
        """Start the program's shutdown with a plan, and return its task."""
        patch = unittest.mock.patch.object(program_module, "make_shutdown_plan", lambda *args, **options: plan)
        patch.start()
        self.addCleanup(patch.stop)
        return asyncio.create_task(self.program.stop())

    async def send_until_the_session_ends(self, name, database, sent):
        """Send one batch after the other without a rest, and record in `sent` whether each was answered."""
        client = await self.client(database)
        for number in range(1_000):
            statement = f"SELECT '{name}-{number}'"
            sent[statement] = False
            try:
                await client.query(statement)
            except (EOFError, OSError):
                return
            sent[statement] = True

    # Guards against: batches were sent to engines until the exit, and their sessions closed without an answer; a load
    # that its client then sent again ran twice (review/2).
    async def test_no_batch_of_sessions_that_never_rest_is_at_an_engine_without_an_answer(self):
        for seed, plan in enumerate(PLANS):
            with self.subTest(plan):
                (engine,) = await self.start()
                work = random.Random(seed)

                async def answer(statement, work=work):
                    await asyncio.sleep(work.uniform(*WORK_S))
                    return codec.text_result(("name",), [(statement,)])

                engine.script = answer
                sent = {}
                clients = [
                    asyncio.create_task(self.send_until_the_session_ends(f"{database}{number}", database, sent))
                    for database in ("calls", "loads")
                    for number in range(CLIENTS_OF_EACH_CLASS)
                ]
                await asyncio.sleep(SERVING_S)
                await self.stop(plan)
                await asyncio.gather(*clients)
                unanswered = {statement for statement in engine.statements if not sent[statement]}
                self.assertEqual(unanswered, set())
                self.assertEqual(self.count("batches_cut"), 0)
                self.assertGreater(len(engine.statements), len(clients))

    # Guards against: batches were accepted for as long as the shutdown waited for others, up to its last moment.
    async def test_batch_after_the_accept_period_is_refused_and_the_session_ended(self):
        (engine,) = await self.start()
        engine.script = lambda statement: "hang"
        waiting, late = await self.client(), await self.client()
        waiting.ask("SELECT 'first'")
        await engine.until(lambda: engine.statements)
        stopping = self.stop(ShutdownPlan(0.05, 0.6, 0.9))
        await self.until(lambda: not self.program.tds.accepts_requests)
        late.ask("SELECT 'late'")
        await self.assert_refused_and_ended(late)
        await self.assert_refused_and_ended(waiting)  # a lookup, which may be sent again
        await stopping
        self.assertNotIn("SELECT 'late'", engine.statements)  # the first may be there twice, by an ordinary retry

    # Guards against: a batch that was partly read at the end of a shutdown got no answer.
    async def test_half_read_batch_is_refused_at_the_end_of_a_shutdown(self):
        (engine,) = await self.start()
        client = await self.client()
        client.writer.write(HALF_OF_A_BATCH)
        await self.until(lambda: self.partly_read_messages() == 1)
        stopping = self.stop(ShutdownPlan(0.05, 0.2, 0.5))
        await self.assert_refused_and_ended(client)
        await stopping
        self.assertEqual(engine.statements, [])

    def partly_read_messages(self):
        return sum(session.splitter.is_partial for session in self.program.tds.sessions.values())

    # Guards against: a batch that lay unread as its session was closed got no answer.
    async def test_batch_that_is_unread_as_the_sessions_are_closed_is_refused(self):
        (engine,) = await self.start()
        client = await self.client()
        client.ask("SELECT 'unread'")  # written to the socket now, and read in a later turn of the event loop
        await self.program.tds.close()
        await self.assert_refused_and_ended(client)
        self.assertEqual(engine.statements, [])

    # Guards against: a connection that was accepted late in a shutdown was reset, or served until the exit.
    async def test_log_in_during_a_shutdown_is_refused_with_a_reason(self):
        (engine,) = await self.start()
        engine.script = lambda statement: "hang"
        waiting = await self.client()
        waiting.ask("SELECT 'first'")
        await engine.until(lambda: engine.statements)
        stopping = self.stop(ShutdownPlan(0.05, 0.6, 0.9))
        await self.until(lambda: not self.program.tds.accepts_requests)
        late = TdsClient(self.program.tds.port)
        late.reader, late.writer = await asyncio.open_connection("127.0.0.1", late.port)
        self.addCleanup(late.writer.close)
        late.writer.write(codec.packets(codec.PRELOGIN, codec.prelogin({codec.O_ENCRYPTION: b"\x00"})))
        errors = codec.read_result((await late.message()).body).errors
        self.assertEqual([error.number for error in errors], [session.TOO_MANY])
        self.assertEqual(await asyncio.wait_for(late.reader.read(), 5.0), b"")
        await stopping


class TdsDrain(TdsCase):
    def only_session(self):
        """Return the only session."""
        (client_session,) = self.program.tds.sessions.values()
        return client_session

    def rest_for_long(self):
        """Make the only session count as one that has rested for longer than any limit."""
        self.only_session().waiting_since_s -= 10.0

    # Guards against: a session that never rested was served through a whole drain, and cut off at its end.
    async def test_session_that_never_rests_is_refused_and_ended_late_in_a_drain(self):
        (engine,) = await self.start()
        with unittest.mock.patch.object(front, "DRAIN_ACCEPT_S", 0.2):
            client = await self.client()
            await self.operate("drain")
            loop = asyncio.get_running_loop()
            refused_by_s = loop.time() + 5.0
            while not (result := await client.query("SELECT 1")).errors:
                self.assertLess(loop.time(), refused_by_s)
            self.assertEqual([error.number for error in result.errors], [session.REFUSED])
            self.assertEqual(await asyncio.wait_for(client.reader.read(), 5.0), b"")
            self.assertEqual(self.count("taken"), len(engine.statements))

    # Guards against: a drain closed the session of a batch that was partly read, which got no answer.
    async def test_half_read_batch_is_not_cut_off_by_a_drain(self):
        await self.start()
        client = await self.client()
        client.writer.write(HALF_OF_A_BATCH)
        await self.until(lambda: self.only_session().splitter.is_partial)
        self.rest_for_long()
        await self.operate("drain")
        client.writer.write(REST_OF_THE_BATCH)
        self.assertEqual(codec.read_result((await client.message()).body).errors, [])

    # Guards against: a drain closed the session of a batch that was still unread, which got no answer.
    async def test_unread_batch_is_not_cut_off_by_a_drain(self):
        await self.start()
        client = await self.client()
        self.rest_for_long()
        client.ask("SELECT 'unread'")  # written to the socket now, and read in a later turn of the event loop
        self.program.tds.drain()
        self.assertEqual(codec.read_result((await client.message()).body).errors, [])

    # Guards against: the idle time ended while a batch was partly read, and its session was closed without an answer.
    async def test_half_read_batch_is_not_cut_off_by_the_idle_time(self):
        await self.start(1, "idle_ms = 50")
        client = await self.client()
        client.writer.write(HALF_OF_A_BATCH)
        await asyncio.sleep(0.2)  # the idle time passes, the time for a message does not
        client.writer.write(REST_OF_THE_BATCH)
        self.assertEqual(codec.read_result((await client.message()).body).errors, [])

    # Guards against: the session of a batch that was partly read was closed to make room for another one.
    async def test_half_read_batch_is_not_cut_off_for_another_session(self):
        await self.start(1, "max_sessions = 1")
        client = await self.client()
        client.writer.write(HALF_OF_A_BATCH)
        await self.until(lambda: self.only_session().splitter.is_partial)
        self.rest_for_long()
        late = TdsClient(self.program.tds.port)
        late.reader, late.writer = await asyncio.open_connection("127.0.0.1", late.port)
        self.addCleanup(late.writer.close)
        errors = codec.read_result((await late.message()).body).errors
        self.assertEqual([error.number for error in errors], [session.TOO_MANY])
        client.writer.write(REST_OF_THE_BATCH)
        self.assertEqual(codec.read_result((await client.message()).body).errors, [])
