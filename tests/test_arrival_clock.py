"""The estimated arrival time of bytes that are read after the process was stopped or the event loop was late."""

import asyncio
import signal
import time
from types import SimpleNamespace

import pytest
from test_client_departure import follow, post, running_site

from frostspindle.core import ArrivalClock, clock
from frostspindle.lab.engines import host_entry

TICKET = "00000000000000e5"


def clock_with_poll_duration(duration_s):
    """Return an arrival clock whose polls always take `duration_s` and find nothing, whatever their timeout."""

    def select(timeout):
        time.sleep(duration_s)
        return []

    return ArrivalClock(SimpleNamespace(_selector=SimpleNamespace(select=select)))


def test_bytes_that_end_a_poll_arrived_at_its_end():
    arrivals = clock_with_poll_duration(0.05)
    arrivals._poll(1.0)
    assert clock() - arrivals.earliest_ms(0, arrivals.poll_returned_ms) < 20.0


# Guards against: after a poll that returned late, the timeout sent to an engine was 0.33 to 0.7 s longer than the time
# that its client still waited.
def test_bytes_that_are_read_after_a_late_poll_may_have_arrived_at_its_start():
    arrivals = clock_with_poll_duration(0.2)
    arrivals._poll(0.05)
    assert clock() - arrivals.earliest_ms(0, arrivals.poll_returned_ms) >= 199.0
    # That poll found nothing, like one that a stop of the process interrupts. The next poll returns the pending bytes.
    arrivals._select = lambda timeout: ["bytes"]
    arrivals._poll(0.05)
    assert clock() - arrivals.earliest_ms(0, arrivals.poll_returned_ms) >= 199.0
    arrivals._poll(0.05)  # not late
    assert clock() - arrivals.earliest_ms(0, arrivals.poll_returned_ms) < 20.0


# Guards against the same fault, with a real process that is stopped while a request arrives.
@pytest.mark.parametrize("stopped_s", [0.4, 1.0])
def test_engine_timeout_after_a_stop_does_not_exceed_the_clients_remaining_time(tmp_path, stopped_s):
    async def run():
        async with running_site(tmp_path) as site:
            site.bus.say(host_entry(site.engine.name, site.engine.port))
            await site.process.until(lambda: site.process.events("engine_updated"))
            reader, writer = await site.open()
            writer.write(post("00000000000000f6"))
            assert (await follow(reader, writer))[0] == 200
            await asyncio.sleep(0.3)  # let the process wait in a poll
            site.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.05)
            writer.write(post(TICKET, timeout_ms=5000))
            written_s = time.time()
            await asyncio.sleep(stopped_s)
            site.process.send_signal(signal.SIGCONT)
            async with asyncio.timeout(8.0):
                assert (await follow(reader, writer))[0] == 200
            started_s, _, engine_timeout_ms = next(entry for entry in site.engine.sent if entry[1] == TICKET)
            remaining_ms = 5000.0 - 1000.0 * (started_s - written_s)
            assert engine_timeout_ms <= remaining_ms + 50.0
            writer.close()

    asyncio.run(run())
