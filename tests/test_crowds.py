"""Crowds of clients that send partial or unwanted input, against real processes at the least limits of a deployment."""

import asyncio
import socket

import pytest

from frostspindle.lab.crowd import CrowdKind
from frostspindle.lab.crowd_run import CrowdRun
from frostspindle.lab.faults.runner import free_port

MEMORY_MB = 64.0
DESCRIPTORS = 1024
CROWD = 600  # more connections than there are places for
SECONDS = 2.0
WANTED_S = 1.5  # within which a lookup is wanted
TDS = """
[tds]
listen = "127.0.0.1:{port}"
max_batch_bytes = 65536
max_result_bytes = 65536
[[tds.login]]
class = "lookup"
[[tds.engine]]
name = "t-1"
dial = "127.0.0.1:9"
"""


def play(folder, crowds, seconds=SECONDS, operator="", memory_mb=MEMORY_MB, port=0):
    """Play crowds of (kind, connections) at a port, the HTTP front's if it is 0, beside usual HTTP clients.

    Return the peak memory in MB, what the usual clients were answered, and the ended process.
    """

    async def run():
        async with CrowdRun(folder, memory_mb, DESCRIPTORS, operator) as played:
            ended = asyncio.Event()
            usual = asyncio.create_task(played.usual_clients(ended))
            target = port or played.process.http
            peak_mb = await played.peak_mb([(target, *crowd) for crowd in crowds], seconds)
            ended.set()
            answers = await usual
            assert played.process.is_running
        return peak_mb, answers, played.process

    return asyncio.run(run())


# Guards against: a process was killed for memory by clients that did not finish sending their requests.
@pytest.mark.parametrize(
    "kind",
    [
        CrowdKind.HALF_BODY,
        CrowdKind.SMALL_CHUNKS,
        CrowdKind.SLOW_BODY,
        CrowdKind.SHORT_FIELDS,
        CrowdKind.SAME_FIELDS,
        CrowdKind.WIDE_HEAD,
        CrowdKind.SILENT,
    ],
)
def test_memory_stays_within_its_limit_under_partly_sent_requests(kind, tmp_path):
    check(*play(tmp_path, [(kind, CROWD)]))


# Guards against: clients that sent small or unsound calls at full speed kept the event loop from all others.
@pytest.mark.parametrize(
    "kind, connections",
    [
        (CrowdKind.PING_FLOOD, 4),
        (CrowdKind.POST_FLOOD, 4),
        (CrowdKind.UNREAD_FLOOD, 100),
        (CrowdKind.INVALID_FLOOD, 20),
    ],
)
def test_calls_at_full_speed_delay_other_clients_little(kind, connections, tmp_path):
    check(*play(tmp_path, [(kind, connections)]))


# Guards against: the same at the TDS front, with packets without content and with log-ins that do not end.
@pytest.mark.parametrize("kind, connections", [(CrowdKind.TDS_EMPTY_PACKETS, 60), (CrowdKind.TDS_HALF_LOGIN, 300)])
def test_tds_input_is_bounded_and_delays_other_clients_little(kind, connections, tmp_path):
    port = free_port(socket.SOCK_STREAM)
    check(*play(tmp_path, [(kind, connections)], operator=TDS.format(port=port), port=port))


def check(peak_mb, answers, process):
    assert peak_mb < process.memory_mb
    assert answers.unserved == []
    assert max(answers.served_s) < WANTED_S
    assert not process.events("exception_caught")
