"""Agreed settings between processes of the program: pushes, a cut, SIGSTOP over three versions, a killed publisher; one
coordinator alone: SIGHUP, 10,000 engines while requests are open, a version that harms."""

import asyncio
import base64
import json
import random
import signal
import unittest

from frostspindle.lab.faults.script import parse
from frostspindle.lab.faults.settled import Agreeing
from frostspindle.settings.schema import Ban, Class
from frostspindle.settings.version_encoding import pack_changes


def bans(*names: str) -> str:
    return "".join(f'[[ban]]\nengine = "{name}"\n' for name in names)


async def call(port: int, number: int) -> int:
    """One request; its status."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    path, method, body = "/call/lookup", "POST", b"SELECT 1"
    while True:
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: f\r\nX-Request-Id: {number:016x}\r\nX-Timeout-Ms: 7000\r\n"
            f"X-Cost-Ms: 10\r\nX-Memory: 16\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 30.0)).lower()
        text = await reader.readexactly(int(head.split(b"content-length:")[1].split(b"\r\n")[0]))
        if b'"next"' not in text:
            writer.close()
            return int(head.split()[1])
        path, method, body = json.loads(text)["next"], "GET", b""


def kind_of(number: int) -> str:
    return random.Random(number).choice(("valid", "valid", "broken", "cut", "unfit"))


async def flood(port: int, number: int) -> tuple[str, str]:
    """One push of a drawn kind, as a client makes it that stays; its kind and what was answered."""
    kind = kind_of(number)
    rules = {"ban/x": Ban("x", str(number))}
    if kind == "unfit":
        rules["class/lookup"] = Class("lookup", effect="once")  # needs a new start
    data = pack_changes(rules)
    data = {"broken": data[:-2] + b"??", "cut": data[:-5]}.get(kind, data)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"settings-push p{number} 0/1 {base64.b64encode(data).decode()}\n".encode())
    answer = (await reader.read()).decode()
    writer.close()
    return kind, answer


class Case(unittest.IsolatedAsyncioTestCase):
    async def agreeing(self, count: int, voters: int = 1, **more) -> Agreeing:
        world = Agreeing(count, voters, parse("", count), 3, **more)
        self.codes = None

        async def end() -> None:
            if self.codes is None:
                self.codes = await world.close()

        self.addAsyncCleanup(end)
        return await world.start()

    async def finish(self, world: Agreeing) -> None:
        self.codes = await world.close()
        self.assertEqual(self.codes, [0] * world.count)
        self.assertEqual(
            [x for p in world.processes for x in p.lines if x["event"] in ("exception_caught", "text")], []
        )


class FleetCase(Case):
    async def test_five_agree_through_a_stop_a_cut_and_a_killed_publisher(self):
        world = await self.agreeing(5, 3)
        c = world.processes

        async def push(at, *names):
            code, said = await c[at].command("push", world.file(bans(*names)), "--wait", "40")
            self.assertEqual(code, 0, said)

        async def plain(version, *but):
            for process in c:
                if process.number not in but:
                    await process.plain(version)

        await world.publisher()
        await push(4, "toy-1")
        await plain(1)

        # SIGSTOP over three versions: it is waited for, then wakes to act on none of them until it has heard.
        c[3].send_signal(signal.SIGSTOP)
        for name in ("toy-0", "toy-1", "toy-0"):
            await push(4, name)
        await plain(4, 3)
        marked = len(c[3].lines)
        c[3].send_signal(signal.SIGCONT)
        await plain(4)
        woke = [line for line in c[3].lines[marked:] if line["event"] == "settings_rules_activated"]
        self.assertEqual([woke[0]["mode"], woke[0]["why"]], ["meet", "alone"])
        self.assertLess(woke[0]["until_ms"], woke[0]["mono_ms"])

        # A cut: a voter and a follower hear nothing; the others agree on a version, and these on the meet meanwhile.
        publisher = await world.publisher()
        gone = next(n for n in range(3) if c[n] is not publisher)
        world.streams.cut = {gone, 3}
        await push(4, "toy-1")
        await plain(5, gone, 3)
        for n in (gone, 3):
            self.assertEqual((c[n].acts()["mode"], c[n].acts()["why"]), ("meet", "alone"))
            figures = await c[n].figures("show-settings")
            self.assertEqual((figures["mode"], figures["versions"][-1], figures["left_ms"]), ("meet", 4, 0.0))
        world.streams.cut = set()
        await plain(5)

        # A publisher that dies after its version is in the log and before all have acknowledged it.
        publisher = await world.publisher()
        held = next(p for p in c[3:] if p is not publisher)
        held.send_signal(signal.SIGSTOP)  # so that it is waited for
        other = next(p for p in c if p not in (publisher, held))
        pushed = asyncio.create_task(other.command("push", world.file(bans("toy-0", "toy-9"))))
        await publisher.until(lambda: publisher.events("settings_history_recorded", what="published", version=6))
        await publisher.kill()
        self.assertEqual(publisher.events("settings_history_recorded", what="live", version=6), [])
        held.send_signal(signal.SIGCONT)
        await world.publisher(but=publisher)
        await plain(6, publisher.number)
        await pushed
        await publisher.start()
        await publisher.until(
            lambda: [x for x in publisher.events("settings_rules_activated", life=2) if x["mode"] == "meet"]
        )
        start = publisher.events("settings_rules_activated", life=2)[0]
        self.assertEqual((start["mode"], start["why"]), ("meet", "start"))
        self.assertGreaterEqual(start["age_s"], 0.0)
        await publisher.until(lambda: publisher.events("settings_rules_activated", life=2, mode="version"))

        found = world.found()
        self.assertLessEqual(found.longest_ms, 1_000.0, found)
        history = json.loads((await c[4].command("history", "--json"))[1])
        self.assertEqual([v["version"] for v in history["versions"]], [1, 2, 3, 4, 5, 6])
        await self.finish(world)

    async def test_a_publisher_killed_while_a_harmful_version_is_on_trial_is_followed_by_one_that_rolls_it_back(self):
        world = await self.agreeing(3, 3, delay_s=0.005)
        c, ended = world.processes, asyncio.Event()
        answers = 0

        async def client(number):
            nonlocal answers
            while not ended.is_set():
                try:
                    await call(c[number % 3].http, number * 100_000 + answers)
                except (OSError, asyncio.IncompleteReadError):
                    number += 1  # of the one that was killed: its clients go to the others
                    await asyncio.sleep(0.05)
                answers += 1

        await world.publisher()
        clients = [asyncio.create_task(client(n)) for n in range(1, 13)]
        self.addAsyncCleanup(asyncio.gather, *clients)
        self.addCleanup(ended.set)
        while answers < 900:
            await asyncio.sleep(0.1)
        publisher = await world.publisher()
        pushed = asyncio.create_task(
            next(p for p in c if p is not publisher).command("push", world.file('lists = ["http"]\n'))
        )  # no engine at all
        await publisher.until(lambda: publisher.events("settings_history_recorded", what="live", version=1))
        await publisher.kill()
        self.assertEqual(publisher.events("settings_history_recorded", what="rolled back"), [])
        after = await world.publisher(but=publisher)
        back = await after.until(lambda: after.events("settings_history_recorded", what="rolled back"))
        self.assertRegex(back[0]["why"], "^(refused|failed|slow|stalled): ")
        await after.plain(2)
        await pushed
        self.assertEqual(await call(after.http, 77), 200)


class AloneCase(Case):
    async def test_sighup_reads_the_file_of_one_that_is_alone_and_a_bad_one_changes_nothing(self):
        world = Agreeing(1, 1, parse("", 1), 3, more="")
        world.terms += 'file = "FOLDER/version.toml"\n'
        c0 = world.processes[0]
        path = c0.folder / "version.toml"
        original = c0.start

        async def start():
            path.write_text(bans("toy-1"))
            await original()

        c0.start = start
        self.codes = None
        await world.start()
        self.addAsyncCleanup(world.close)
        await c0.plain(1)
        self.assertEqual(await call(c0.http, 1), 200)
        self.assertEqual([engine.posts for engine in world.engines], [1, 0])
        path.write_text(bans("toy-0"))
        c0.send_signal(signal.SIGHUP)
        await c0.plain(2)
        self.assertEqual(await call(c0.http, 2), 200)
        self.assertEqual([engine.posts for engine in world.engines], [1, 1])
        for text, word in (
            (bans("toy-0", "toy-0"), "stands there twice"),
            ('[[tenant]]\nname = "x"', "needs a new start"),
        ):
            path.write_text(text)
            c0.send_signal(signal.SIGHUP)
            await c0.until(
                lambda word=word: [x for x in c0.events("config_reload_failed") if word in x.get("error", "")]
            )
        code, said = await c0.command("push", world.file('[[class]]\nname = "lookup"\neffect = "once"\n'))
        self.assertEqual(code, 3, said)
        self.assertIn("class/lookup.effect: needs a new start", said)
        code, said = await c0.command("rollback")
        self.assertIn("version 4: live", said)
        self.assertIn("+ ban/toy-1", (await c0.command("diff", "2", "4"))[1])
        self.assertIn("c0: version of 4", (await c0.command("status"))[1])
        self.assertEqual((await c0.command("diff", "2", "99"))[0], 2)
        await c0.kill()
        await c0.start()  # a start serves from what was kept, and a restart never from a version that was turned down
        await c0.until(lambda: c0.events("settings_rules_activated", life=2))
        self.assertEqual(c0.events("settings_rules_activated", life=2)[0]["versions"][-1], 4)

    async def test_ten_thousand_engines_in_one_version_while_five_hundred_requests_are_open(self):
        world = await self.agreeing(1, delay_s=2.0, engines=40)
        c0 = world.processes[0]
        open_ = [asyncio.create_task(call(c0.http, 1_000 + n)) for n in range(500)]
        await asyncio.sleep(0)
        many = "".join(
            f'[[engine]]\nname = "toy-{n}"\ndial = "127.0.0.1:{world.engines[n].port if n < 40 else 9}"\n'
            f'state = "{"active" if n < 40 else "leaving"}"\n'
            for n in range(10_000)
        )
        # Each runs for 2 s: a machine too busy to have 400 out at once must not wait for that for ever.
        while (await c0.figures("show-stat"))["inflight"] < 400 and not all(one.done() for one in open_):
            await asyncio.sleep(0.05)
        code, said = await c0.command("push", world.file(many))
        self.assertEqual(code, 0, said)
        statuses = await asyncio.gather(*open_)  # each has its one answer; on a busy machine some are refused
        self.assertLessEqual(set(statuses), {200, 503})
        figures = await c0.figures("show-settings")
        self.assertEqual((figures["live"], figures["entries"]), (1, 10_001))
        await self.finish(world)

    async def test_a_flood_of_all_kinds_leaves_each_request_its_answer_and_no_kill_a_bad_version(self):
        world = await self.agreeing(1, delay_s=0.01)
        c0, ended, rng = world.processes[0], asyncio.Event(), random.Random(6)
        asked, statuses = 0, []

        async def client(number):
            nonlocal asked
            while not ended.is_set():
                asked += 1
                statuses.append(await call(c0.http, number * 100_000 + asked))

        clients = [asyncio.create_task(client(n)) for n in range(1, 7)]
        number, last = 0, 0
        while number < 60:
            number += 1
            kind, answer = await flood(c0.desk, number)
            if not answer.startswith("NAK"):
                last = number if kind == "valid" else last
                while (told := await c0.figures(f"settings-outcome p{number}"))["state"] in ("drafted", "published"):
                    await asyncio.sleep(0.01)
                self.assertEqual(told["state"] in ("live", "proven"), kind == "valid", (kind, told))
        ended.set()
        await asyncio.gather(*clients)
        self.assertEqual(({*statuses}, len(statuses)), ({200}, asked))
        for _ in range(4):  # killed between its check, its applying and its keeping, at whatever moment that is
            pushing = asyncio.create_task(
                asyncio.wait([asyncio.create_task(flood(c0.desk, number + n)) for n in range(1, 4)])
            )
            await asyncio.sleep(rng.uniform(0.0, 0.12))
            await c0.kill()
            await pushing
            number += 3
            await c0.start()
            first = (await c0.until(lambda: c0.events("settings_rules_activated", life=c0.lives)))[0]
            shown = (await c0.figures(f"settings-diff 0 {first['versions'][-1]}"))["shown"]
            self.assertEqual({*shown}, {"ban/x"}, "a version that can't be taken is not what a start serves")
            why = int(shown["ban/x"]["why"])
            self.assertTrue(last <= why <= number and kind_of(why) == "valid", (last, why))
            last = why

    async def test_a_version_that_harms_is_rolled_back_and_not_taken_again(self):
        world = await self.agreeing(1, delay_s=0.005)
        c0, ended = world.processes[0], asyncio.Event()
        statuses: list[int] = []

        async def client(number):
            while not ended.is_set():
                statuses.append(await call(c0.http, number * 100_000 + len(statuses)))

        clients = [asyncio.create_task(client(n)) for n in range(1, 13)]
        while len(statuses) < 900:
            await asyncio.sleep(0.1)
        harm = world.file('lists = ["http"]\n')  # no engine at all
        await c0.command("push", harm)
        back = await c0.until(lambda: c0.events("settings_history_recorded", what="rolled back"))
        self.assertRegex(back[0]["why"], "^(refused|failed|slow|stalled): ")
        await c0.plain(2)
        ended.set()
        await asyncio.gather(*clients)
        code, said = await c0.command("push", harm)
        self.assertEqual(code, 3, said)
        self.assertIn("harmful: these are the rules of version 1", said)
        self.assertEqual(await call(c0.http, 77), 200)
        await self.finish(world)
