"""Order by key: through the module at scale, and among processes - whoever dies, stops or comes back in between."""

import asyncio
import heapq
import itertools
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
import unittest
import unittest.mock
from pathlib import Path

import pytest
from aiohttp import web
from fleet import Coordinator, FleetCase
from helpers import LOAD, entry
from helpers import settings as module_settings
from peers import LOAD as LOAD_CLASS
from peers import SQL, EdgeCase, HttpEngine, at_work, host, page, settings
from test_upgrade import UpgradeCase

from frostspindle import policy
from frostspindle.lab.engines import document
from frostspindle.net.fields import key_number
from frostspindle.order import shared_cells
from frostspindle.order.key_queue import KeyQueue, QueuePosition
from frostspindle.order.service import KeyOrderService
from frostspindle.order.shared_cells import SharedCellFolder
from frostspindle.policy import AttemptOutcome, Controller, EndpointListKind
from frostspindle.pools import UNPOLLED_QUERY_EXPIRY_MS


class Audit:
    """Plays requests of many keys against the module and holds every send against the order they were taken in."""

    def __init__(self, seed, engines=8, pause_ms=40.0):
        self.draw, self.now = random.Random(seed), 1000.0
        self.c = Controller(module_settings(LOAD, key_order_pause_ms=pause_ms), seed)
        self.pause_ms = pause_ms
        self.due, self.order = [], itertools.count()  # what comes: time, order, event
        self.lines, self.key, self.over = {}, {}, set()  # by key, those taken and not over, in that order
        self.attempts, self.out, self.answers, self.rests = {}, {}, {}, {}
        self.feed(policy.EndpointListUpdated(EndpointListKind.FULL, 1, tuple(entry(e) for e in range(1, engines + 1))))

    def at(self, ms, event):
        heapq.heappush(self.due, (self.now + ms, next(self.order), event))

    def take(self, request, key, left):
        self.key[request] = key
        self.lines.setdefault(key, []).append(request)
        self.feed(policy.RequestArrived(request, 0, 0, key, left, self.draw.uniform(5, 60), 8.0, -1.0))

    def feed(self, event):
        for a in self.c.handle(self.now, event):
            if isinstance(a, policy.StartAttempt):
                key = self.key[a.request]
                assert self.lines[key][0] == a.request, "an earlier one of its key is not over"
                assert self.now >= self.rests.get(key, 0.0), "what may run on has its time"
                assert a.request not in self.out and a.request not in self.answers
                number = self.attempts[a.request] = self.attempts.get(a.request, -1) + 1
                self.out[a.request] = number, a.engine, self.now
                fate = self.draw.random()
                verdict = (
                    AttemptOutcome.OK
                    if fate < 0.9
                    else AttemptOutcome.RESET
                    if fate < 0.94
                    else AttemptOutcome.CONNECT_FAILED
                    if fate < 0.97
                    else AttemptOutcome.ERROR
                )
                if fate < 0.995:  # else silent: it ends by the module's own word only
                    self.at(self.draw.uniform(5, 60), (a.request, number, verdict))
            elif isinstance(a, (policy.RejectRequest, policy.FailRequest)):
                assert a.request not in self.over and self.answers.setdefault(a.request, a) is a, "one final answer"
                self.passed(a.request)
            elif isinstance(a, policy.CancelAttempt) and a.request in self.out:
                self.at(self.draw.uniform(1, 30), (a.request, a.attempt, AttemptOutcome.CANCELLED))
            elif isinstance(a, policy.SetTimer):
                heapq.heappush(self.due, (max(self.now, a.due_at_ms), next(self.order), a.token))

    def passed(self, request):
        """Over: answered or left, and nothing of it out."""
        if request not in self.out and (request in self.answers or request in self.over):
            line = self.lines[self.key[request]]
            if request in line:
                line.remove(request)

    def end(self, request, number, verdict):
        if self.out.get(request, (None,))[0] != number:
            return
        _, engine, sent = self.out.pop(request)
        if verdict == AttemptOutcome.OK and request not in self.over:
            self.answers.setdefault(request, AttemptOutcome.OK)
        if verdict in (AttemptOutcome.RESET, AttemptOutcome.CANCELLED):
            self.rests[self.key[request]] = self.now + self.pause_ms
        self.passed(request)
        last = request in self.answers or request in self.over
        self.feed(policy.AttemptEnded(request, number, engine, verdict, self.now - sent, last, 0.0, 0.0, ()))

    def run(self, until):
        while self.due and self.due[0][0] <= until:
            self.now, _, what = heapq.heappop(self.due)
            if isinstance(what, tuple):
                self.end(*what)
            elif callable(what):
                what()
            else:
                self.feed(policy.TimerFired(what))
        self.now = until

    def leave(self, request):
        if request not in self.answers:
            self.over.add(request)
            self.passed(request)  # if nothing of it is out, the next of its key may go with the same word
            self.feed(policy.ClientDisconnected(request))


def test_ten_thousand_keys_with_ten_requests_each_go_one_at_a_time_in_order():
    audit = Audit(1, engines=32)
    number = 0
    for _ in range(20):  # in waves of keys, so that no more are open than sockets allow; within one all are interleaved
        keys = range(1 + number // 10, 501 + number // 10)
        asked = [key for key in keys for _ in range(10)]
        audit.draw.shuffle(asked)
        for key in asked:
            number += 1
            left = audit.draw.uniform(300, 6000)
            audit.at(audit.draw.uniform(0, 3500), lambda n=number, k=key, left=left: audit.take(n, k, left))
            if audit.draw.random() < 0.05:
                audit.at(audit.draw.uniform(3500, 5000), lambda n=number: audit.leave(n))
        audit.run(audit.now + 12_000)
    audit.run(audit.now + 10_000)
    served = sum(answer == AttemptOutcome.OK for answer in audit.answers.values())
    assert number == 100_000 == len(audit.answers) + len(audit.over) and served > 60_000
    assert (
        not audit.out
        and not any(audit.lines.values())
        and not (audit.c.key_order.lines or audit.c.requests or audit.c.key_order.cooldowns)
    )


def test_requests_behind_one_that_may_still_run_wait_until_their_own_deadlines():
    audit = Audit(2)
    audit.draw = unittest.mock.Mock(random=lambda: 1.0, uniform=lambda a, b: b)  # all are silent
    audit.take(1, 7, 20_000.0)
    for request in range(2, 11):
        audit.take(request, 7, 500.0 + 40 * request)
    audit.run(audit.now + 1_200)
    assert list(audit.out) == [1]  # nothing of the nine was ever sent, and each has its harmless answer
    assert (
        all(isinstance(audit.answers[request], policy.RejectRequest) for request in range(2, 11))
        and 1 not in audit.answers
    )


# Among processes.


class Scheduled:
    """Lets one thread at a time take one step at the cells, in the order of a schedule."""

    def __init__(self, count, schedule):
        self.turn, self.left = [threading.Semaphore(0) for _ in range(count)], set(range(count))
        self.schedule = schedule
        self.back, self.steps = threading.Semaphore(0), 0

    def step(self, me):
        self.back.release()
        self.turn[me].acquire()

    def run(self, workers):
        threads = [threading.Thread(target=self._work, args=(me, work)) for me, work in enumerate(workers)]
        for thread in threads:
            thread.start()
        for _ in threads:
            self.back.acquire()
        while self.left:
            self.steps += 1
            me = next(self.schedule)
            if me in self.left:
                self.turn[me].release()
                self.back.acquire()
        for thread in threads:
            thread.join()

    def _work(self, me, work):
        self.step(me)
        work()
        self.left.discard(me)
        self.back.release()


def play(schedule, count, draws=True, looks=True):
    """Processes that each want one turn with one key; who was in, and whether two were in at once."""
    cells, inside, order, both = [{} for _ in range(count)], [], [], []
    plan = Scheduled(count, schedule)

    class InterleavedCells:
        cell_count = 4

        def __init__(self, me):
            self.me = me

        def write_cell(self, cell, key, stamp):
            plan.step(self.me)
            if stamp == 1 and not draws:
                return
            cells[self.me][cell] = key, stamp

    def others(me):
        def of(key):
            plan.step(me)
            return [
                QueuePosition(stamp, n) for n in range(count) if n != me for k, stamp in cells[n].values() if k == key
            ]

        return of

    def worker(me):
        def work():
            queue = KeyQueue(me, InterleavedCells(me), others(me))
            if not (queue.enter(1, 5, 100) or not looks):
                while not queue.pop_ready():
                    pass
            inside.append(me)
            both.extend([list(inside)] if len(inside) > 1 else [])
            order.append(me)
            plan.step(me)
            inside.remove(me)
            queue.leave(1)

        return work

    plan.run([worker(me) for me in range(count)])
    assert sorted(order) == list(range(count))
    return both


def schedules(count, seed):
    draw = random.Random(seed)
    while True:  # runs of one process, long and short: what goes wrong does so between two of its steps
        yield from [draw.randrange(count)] * draw.choice((1, 1, 1, 2, 3, 5))


@pytest.mark.parametrize("count", [2, 3])
def test_no_interleaving_puts_two_processes_at_the_head_at_once(count):
    for seed in range(150):
        assert not play(schedules(count, seed), count), seed


@pytest.mark.parametrize("broken", [{"draws": False}, {"looks": False}])
def test_two_at_the_head_are_noticed_if_the_drawing_mark_or_the_wait_is_left_out(broken):
    assert any(play(schedules(2, seed), 2, **broken) for seed in range(250))


HOLDER = """
import sys, time
from pathlib import Path
from frostspindle.order.shared_cells import SharedCellFolder
from frostspindle.order.key_queue import KeyQueue
sheets = SharedCellFolder(Path(sys.argv[1]), lambda: 0.0, 1e9)
queue = KeyQueue(sheets.own_file.owner, sheets.own_file, sheets.positions)
for line in sys.stdin:
    what, request, key = line.split()
    print(queue.enter(int(request), int(key), int(time.time() * 1e6)) if what == "enter" else queue.leave(int(request)),
          flush=True)
"""


class Holder:
    """Another process with a cell file in the same folder."""

    def __init__(self, folder):
        self.process = subprocess.Popen(
            [sys.executable, "-c", HOLDER, folder],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=Path(__file__).parent.parent,
        )

    def say(self, *words):
        self.process.stdin.write(" ".join(map(str, words)) + "\n")
        self.process.stdin.flush()
        return self.process.stdout.readline().strip()

    def end(self, how=signal.SIGKILL):
        self.process.send_signal(how)
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()


@pytest.fixture
def two(tmp_path):
    clock = [0.0]
    mine, holder = SharedCellFolder(tmp_path, lambda: clock[0], 2100.0), Holder(str(tmp_path))
    queue = KeyQueue(mine.own_file.owner, mine.own_file, mine.positions)
    yield queue, holder, clock, tmp_path
    holder.process.send_signal(signal.SIGCONT)
    if holder.process.poll() is None:
        holder.end()
    mine.close(True)


def now():
    return int(time.time() * 1e6)


def test_position_of_another_process_counts_until_it_is_left(two):
    queue, holder, _, _ = two
    assert holder.say("enter", 1, 77) == "True" and queue.enter(1, 77, now()) is False
    assert queue.enter(2, 78, now()) is True and holder.say("enter", 2, 77) == "False"
    assert queue.pop_ready() == []
    holder.say("over", 1, 0)
    assert queue.pop_ready() == [1] and queue.waiting_count == 0  # the later position there now waits for this one


def test_stopped_process_keeps_its_position_and_a_killed_one_for_the_retention_time(two):
    queue, holder, clock, folder = two
    holder.say("enter", 1, 77)
    holder.process.send_signal(signal.SIGSTOP)
    assert queue.enter(1, 77, now()) is False
    clock[0] += 60_000.0
    assert queue.pop_ready() == []  # it will wake, and what it sent may be out
    holder.end()
    assert queue.pop_ready() == []
    clock[0] += 2_099.0
    assert queue.pop_ready() == [] and len(list(folder.iterdir())) == 2
    clock[0] += 2.0
    assert queue.pop_ready() == [1] and len(list(folder.iterdir())) == 1


def test_start_after_a_crash_waits_for_positions_of_the_dead_process(tmp_path):
    holder = Holder(str(tmp_path))
    holder.say("enter", 1, 77)
    holder.end()
    clock = [0.0]
    mine = SharedCellFolder(tmp_path, lambda: clock[0], 2100.0)
    queue = KeyQueue(mine.own_file.owner, mine.own_file, mine.positions)
    assert queue.enter(1, 77, now()) is False and queue.enter(2, 78, now()) is True
    clock[0] = 2_101.0
    assert queue.pop_ready() == [1]
    mine.close(True)
    assert list(tmp_path.iterdir()) == []


def test_unreadable_files_are_ignored_and_a_full_cell_file_is_reported(tmp_path):
    (tmp_path / "turns-1-a").write_bytes(b"short")
    (tmp_path / "turns-2-b").write_bytes(os.urandom(shared_cells.FILE_BYTES))
    (tmp_path / "turns-3-c").mkdir()
    with unittest.mock.patch.object(shared_cells.OwnCellFile, "cell_count", 3):
        mine = SharedCellFolder(tmp_path, lambda: 0.0, 2100.0)
        queue = KeyQueue(mine.own_file.owner, mine.own_file, mine.positions)
        assert [queue.enter(n, 77, 5) for n in range(4)] == [True, True, True, None]
        queue.leave(1)
        assert queue.enter(4, 77, 5) is True and mine.unreadable_files == 3
    mine.close(True)


async def until(release):
    """An engine's answer to a query that runs until then: a note each while."""
    try:
        async with asyncio.timeout(0.2):
            await release.wait()
    except TimeoutError:
        return web.Response(status=202, headers={"X-Remark": "pct", "X-Value": "0.5"})
    return page("a\t1\tx\n")


class Sides(UpgradeCase):
    """An upgrade with one key open on both sides."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        document = json.loads(self.config.read_text())
        document["settings"]["categories"][1] |= {"inOrder": True, "promise": 60000.0, "hardLimit": 60000.0}
        self.config.write_text(json.dumps(document))

    async def keyed(self, session, number, key):
        headers = {"X-Request-Id": f"{number:016x}", "X-Timeout-Ms": "50000", "X-Cost-Ms": "50", "X-Object": key}
        async with session.post(f"/call/{LOAD_CLASS}", data=SQL, headers=headers) as response:
            body = await response.json()
        while "next" in body:
            async with session.get(body["next"]) as response:
                body = await response.json()
        return body

    async def sides(self):
        """Both processes, a connection at each, and a request of a key that the first has out."""
        self.release, self.sent, self.times = asyncio.Event(), [], []

        def script(request, body):
            if request.method == "POST":
                self.sent.append(request.headers["X-Ticket"][-1])
                self.times.append(time.monotonic())
            if f"{1:016x}" in request.headers.get("X-Ticket", request.path):
                return until(self.release)
            return None

        self.engine.script = script
        old, first = self.run_one(), self.session()
        await old.event("coordinator_started")
        one = asyncio.create_task(self.keyed(first, 1, "k"))
        await self.engine.seen("POST")
        new = self.run_one()
        await new.event("coordinator_started")
        old.process.send_signal(signal.SIGTERM)  # from here on the new one alone accepts
        await old.event("shutdown_started")
        return old, new, one, self.session()

    async def test_upgrade_sends_only_after_requests_of_the_other_side_are_over(self):
        old, _, one, later = await self.sides()
        two = asyncio.create_task(self.keyed(later, 2, "k"))
        self.assertIn("rows", await self.keyed(self.session(), 3, "other"))  # a further key waits for nobody
        for number in range(4, 7):  # and what comes meanwhile is served
            await self.keyed(self.session(), number, f"k{number}")
        self.assertEqual(self.sent, ["1", "3", "4", "5", "6"])
        self.release.set()
        self.assertIn("rows", await one)
        self.assertIn("rows", await two)
        self.assertEqual(self.sent[-1], "2")
        self.assertEqual(await asyncio.to_thread(old.process.wait, 60), 0)

    async def test_killed_side_of_an_upgrade_holds_its_key_while_its_query_may_run(self):
        old, _, one, later = await self.sides()
        killed = time.monotonic()
        old.process.kill()
        await asyncio.to_thread(old.process.wait, 60)
        self.assertIn("rows", await self.keyed(later, 2, "k"))
        self.assertEqual(self.sent, ["1", "2"])
        # So long the killed one's query may run on, as nobody polls it.
        self.assertGreater(self.times[1] - killed, UNPOLLED_QUERY_EXPIRY_MS / 1000.0)
        one.cancel()


class Workers(FleetCase):
    async def test_one_key_at_several_workers_is_sent_one_at_a_time_in_order_of_arrival(self):
        engine = await HttpEngine().start()
        self.addCleanup(engine.server.close)
        running, most, sent, release = set(), [0], [], asyncio.Event()

        async def script(request, body):
            ticket = request.headers.get("X-Ticket") or request.path.split("/")[3]
            if request.method == "POST":
                running.add(ticket)
                most[0] = max(most[0], len(running))
                sent.append(int(ticket, 16))
            answer = await until(release)
            if answer.status == 200:
                running.discard(ticket)
            return answer

        engine.script = script
        config = document([host("s-00000001", engine.port)])
        config["settings"]["categories"][2] |= {"inOrder": True, "promise": 60000.0, "hardLimit": 60000.0}
        self.coordinator = await Coordinator(self, config, "[cores]\nworkers = 3\n").ready()

        def post(client, number):
            status, body = client.ask(
                "POST",
                "/call/load",
                SQL,
                **{"X-Request-Id": f"{number:016x}", "X-Timeout-Ms": "50000", "X-Cost-Ms": "50", "X-Object": "k"},
            )
            while "next" in body:
                status, body = client.ask("GET", body["next"])
            return status

        answers = []
        while len(answers) < 12 or sum(count > 0 for count in self.taken()) < 2:
            self.assertLess(len(answers), 30, "all came to one worker")  # connections go to who accepts first
            client, number = self.client(), len(answers) + 1
            await self.in_thread(client.ask, "GET", "/ping")
            answers.append(asyncio.create_task(self.in_thread(post, client, number)))
            await self.until(lambda n=number: sum(self.taken()) == n)  # taken before the next is written
        release.set()
        self.assertEqual(set(await asyncio.gather(*answers)), {200})
        self.assertEqual((most[0], sent), (1, list(range(1, len(answers) + 1))))

    def taken(self):
        """How many positions each worker's cell file has."""
        for path in Path(self.coordinator.folder).glob("*/turns-*"):
            words = memoryview(path.read_bytes()).cast("Q")[shared_cells.HEADER_BYTES // 8 :]
            yield sum(key > 0 for key in words[::2].tolist())


# Guards against: a process was killed by SIGBUS as it wrote a cell after its disk had become full.
def test_cell_file_has_room_on_the_disk_for_all_its_cells(tmp_path):
    folder = SharedCellFolder(tmp_path, lambda: 0.0, 2100.0)
    status = folder.own_file.path.stat()
    assert status.st_size == shared_cells.FILE_BYTES <= status.st_blocks * 512
    folder.close(clean=True)


# Guards against: a full disk at the start left a file behind, or ended in anything but an OSError.
def test_cell_file_without_room_is_an_error_and_leaves_nothing(tmp_path):
    full = OSError(28, "no space left on device")
    with unittest.mock.patch("os.posix_fallocate", side_effect=full), pytest.raises(OSError):
        SharedCellFolder(tmp_path, lambda: 0.0, 2100.0)
    assert list(tmp_path.iterdir()) == []


class Edge(EdgeCase):
    async def test_silent_engine_holds_the_key_until_its_query_can_not_run_any_more(self):
        classes = settings()["categories"]
        classes[1] = classes[1] | {"inOrder": True, "hardLimit": 700.0}
        (engine,) = await self.start(1, categories=classes)
        hang, clock, asked, sent = asyncio.Event(), asyncio.get_running_loop().time, [], []

        def script(request, body):
            ticket = request.headers.get("X-Ticket") or request.path.split("/")[3]
            if request.method == "POST":
                sent.append(int(ticket, 16))
            if request.method != "DELETE" and int(ticket, 16) == 1 or request.method == "POST":
                asked.append(clock())
            return hang.wait() if not hang.is_set() else None

        engine.script = script
        with unittest.mock.patch("frostspindle.pools.UNPOLLED_QUERY_EXPIRY_MS", 1500.0):
            first = await self.ask(LOAD_CLASS, 1, 900.0, **{"X-Object": "k"})
            self.assertEqual(first[0], 502)  # its answer comes in time; its key is not free yet
            nine = await asyncio.gather(
                *(self.ask(LOAD_CLASS, 2 + n, 300.0 + 20 * n, **{"X-Object": "k"}) for n in range(9))
            )
            self.assertEqual(({status for status, _, _ in nine}, sent), ({503}, [1]))
            hang.set()
            answer = await self.ask(LOAD_CLASS, 30, 3000.0, **{"X-Object": "k"})
            while "next" in answer[1]:  # its key may be held for longer than a POST is
                answer = await self.call("GET", answer[1]["next"])
            self.assertEqual((answer[0], answer[1].get("rows")), (200, [["a", "1", "x"]]))
            self.assertEqual(sent, [1, 30])
            # Not before the engine has forgotten what it may run, and at once then: 1.5 s after the last poll, which
            # an engine may hold for 0.25 s; the rest is for the steps of the wait and a busy machine.
            self.assertGreater(asked[-1] - asked[-2], 1.5)
            self.assertLess(asked[-1] - asked[-2], 2.1)

    # Guards against: a folder that failed at the start left the keys of an upgrade without an order for ever.
    async def test_order_begins_once_its_folder_can_be_used_with_the_requests_that_are_open(self):
        classes = settings()["categories"]
        classes[1] = classes[1] | {"inOrder": True}
        real, failures = os.posix_fallocate, [OSError(28, "no space"), OSError(5, "input/output error")]

        def fallocate(*arguments):
            if failures:
                raise failures.pop()
            return real(*arguments)

        (engine,) = await self.engines()
        go = asyncio.Event()
        engine.script = at_work(go)
        with (
            unittest.mock.patch("os.posix_fallocate", fallocate),
            unittest.mock.patch("frostspindle.components.http_requests.RETRY_INTERVAL_S", 0.3),
        ):
            await self.coordinator([host("s-00000000", engine.port)], categories=classes)
            self.assertIsNone(self.program.order)
            asked = asyncio.create_task(self.ask(LOAD_CLASS, 1, **{"X-Object": "k"}))
            await engine.seen("POST")
            await self.until(lambda: self.program.order is not None, 3.0)
        other = SharedCellFolder(self.program.shared.order, lambda: 0.0, 2100.0)
        self.addCleanup(other.close, True)
        self.assertEqual(len(other.positions(key_number(1, b"k"))), 1)
        go.set()
        self.assertEqual((await asked)[0], 200)
        await self.until(lambda: not other.positions(key_number(1, b"k")))

    async def test_position_exists_exactly_while_its_request_may_run(self):
        classes = settings()["categories"]
        classes[1] = classes[1] | {"inOrder": True}
        (engine,) = await self.start(1, categories=classes)
        core, places, answered = self.program.core, set(), asyncio.Event()
        core.key_order = unittest.mock.Mock(
            enter=lambda number, key: places.add(number) or True, on_request_finished=places.discard
        )
        handlers = core.controller.handlers

        async def freed():
            await answered.wait()

        engine.script = lambda request, body: (
            freed() if request.method == "DELETE" else at_work(asyncio.Event())(request, body)
        )

        def broken(now, event):
            raise RuntimeError("a fault of the module's")

        for number, (case, kind) in enumerate(
            (
                ("a fault before it is sent", policy.RequestArrived),
                ("left", None),
                ("a fault while it runs", policy.ProgressReported),
                ("left, and a fault at the end", policy.AttemptEnded),
            )
        ):
            with self.subTest(case), unittest.mock.patch.dict(handlers, {kind: broken} if kind else {}):
                asked = asyncio.create_task(self.ask(LOAD_CLASS, number, **{"X-Object": "k"}))
                if number:
                    await engine.seen("POST", number)
                if kind in (policy.RequestArrived, policy.ProgressReported):
                    self.assertEqual((await asked)[0], 502)
                asked.cancel()
                if number:
                    await engine.seen("DELETE", number)  # not answered yet
                    self.assertEqual((len(places), core.open), (1, 0))
                answered.set()
                await self.until(lambda: not places, 5.0)
                answered.clear()
        self.assertEqual(len(engine.of("POST")), 3)

    @unittest.mock.patch("frostspindle.pools.UNPOLLED_QUERY_EXPIRY_MS", 100.0)
    async def test_other_processes_wait_while_a_key_rests(self):
        classes = settings()["categories"]
        classes[1] = classes[1] | {"inOrder": True}
        for pause_ms, stands in ((60_000.0, True), (50.0, False)):
            (engine,) = await self.start(1, categories=classes, rules=settings()["rules"] | {"orderPause": pause_ms})
            engine.script = lambda request, body: "kill" if request.method == "POST" else web.Response(status=500)
            other = SharedCellFolder(self.program.shared.order, lambda: 0.0, 2100.0)
            self.addCleanup(other.close, True)

            def places(other=other):
                return other.positions(key_number(1, b"k"))

            self.assertEqual((await self.ask(LOAD_CLASS, 1, **{"X-Object": "k"}))[0], 502)
            await self.until(lambda: not self.program.core.ledger.entries)  # answered, and no attempt is out
            self.assertTrue(places() or not stands)
            await self.until(lambda stands=stands, places=places: stands or not places())
            order = self.program.order
            self.assertIsInstance(
                order, KeyOrderService
            )  # imported above, so not under the patch of UNPOLLED_QUERY_EXPIRY_MS
            # The positions of a process that was killed count for the pause, too.
            self.assertEqual(order.cell_folder.retention_ms, UNPOLLED_QUERY_EXPIRY_MS + pause_ms)
            self.assertEqual((len(places()), order.queue.entry_count), (int(stands), int(stands)))

    async def test_request_that_ends_after_close_does_not_use_the_cells(self):
        classes = settings()["categories"]
        classes[1] = classes[1] | {"inOrder": True}
        (engine,) = await self.start(1, categories=classes)
        go = asyncio.Event()
        engine.script = at_work(go)
        asked = asyncio.create_task(self.ask(LOAD_CLASS, 1, **{"X-Object": "k"}))
        await engine.seen("POST")
        self.program.order.close()
        go.set()
        self.assertEqual(((await asked)[0], self.count("faults")), (200, 0))

    async def test_request_without_a_free_cell_is_rejected_and_never_sent(self):
        classes = settings()["categories"]
        classes[1] = classes[1] | {"inOrder": True}
        (engine,) = await self.start(1, categories=classes)
        self.program.core.key_order = unittest.mock.Mock(enter=lambda number, key: None)
        status, body, _ = await self.ask(LOAD_CLASS, 1, **{"X-Object": "k"})
        self.assertEqual((status, body["failure"], engine.of("POST"), self.program.core.open), (503, "Busy", [], 0))
        self.assertEqual((await self.ask(LOAD_CLASS, 2))[0], 200)  # without a key there is no position to draw


def test_order_package_is_loaded_only_where_a_class_keeps_order():
    code = (
        "import sys; from frostspindle import program; "
        "print(any(m.startswith('frostspindle.order') for m in sys.modules))"
    )
    said = subprocess.run(
        [sys.executable, "-c", code], cwd=Path(__file__).parent.parent, capture_output=True, text=True
    )
    assert said.stdout.strip() == "False"
