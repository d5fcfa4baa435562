"""When bytes can have come that are read after the process stood still: a client's time counts from its last byte."""

import asyncio
import signal
import time
from types import SimpleNamespace

import pytest
from test_client_departure import follow, post, running_site

from frostspindle.core import ArrivalClock, clock
from frostspindle.lab.engines import host

TICKET = "00000000000000e5"


def clock_with_polls_of(length_s):
    """An arrival clock whose polls take so long, whatever they are asked for."""

    def select(timeout):
        time.sleep(length_s)
        return []

    return ArrivalClock(SimpleNamespace(_selector=SimpleNamespace(select=select)))


def test_bytes_that_end_a_wait_count_from_its_end():
    arrivals = clock_with_polls_of(0.05)
    arrivals._poll(1.0)
    assert clock() - arrivals.earliest_ms(0, arrivals.poll_returned_ms) < 20.0


# Guards against: engines were told by 0.33 to 0.7 s more than their clients waited, after a poll that returned late.
def test_bytes_that_are_read_after_a_late_poll_may_have_come_at_its_begin():
    arrivals = clock_with_polls_of(0.2)
    arrivals._poll(0.05)
    assert clock() - arrivals.earliest_ms(0, arrivals.poll_returned_ms) >= 199.0
    # That poll found nothing, as one does that a stop of the process interrupts: the next finds what lay there.
    arrivals._select = lambda timeout: ["bytes"]
    arrivals._poll(0.05)
    assert clock() - arrivals.earliest_ms(0, arrivals.poll_returned_ms) >= 199.0
    arrivals._poll(0.05)  # this one is in time again
    assert clock() - arrivals.earliest_ms(0, arrivals.poll_returned_ms) < 20.0


# Guards against the same with a real process that is stopped while a request comes.
@pytest.mark.parametrize("stopped_s", [0.4, 1.0])
def test_an_engine_is_told_no_more_than_the_client_waits_after_a_stop(tmp_path, stopped_s):
    async def play():
        async with running_site(tmp_path) as site:
            site.bus.say(host(site.engine.name, site.engine.port))
            await site.process.until(lambda: site.process.events("engine_updated"))
            reader, writer = await site.open()
            writer.write(post("00000000000000f6"))
            assert (await follow(reader, writer))[0] == 200
            await asyncio.sleep(0.3)  # it waits for its sockets
            site.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.05)
            writer.write(post(TICKET, timeout_ms=5000))
            written_s = time.time()
            await asyncio.sleep(stopped_s)
            site.process.send_signal(signal.SIGCONT)
            async with asyncio.timeout(8.0):
                assert (await follow(reader, writer))[0] == 200
            begun_s, _, told_ms = next(entry for entry in site.engine.sent if entry[1] == TICKET)
            left_ms = 5000.0 - 1000.0 * (begun_s - written_s)
            assert told_ms <= left_ms + 50.0
            writer.close()

    asyncio.run(play())
