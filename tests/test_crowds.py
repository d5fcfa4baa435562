"""Crowds of clients that send partial or unwanted input, against real processes at the least limits of a deployment."""

import asyncio

import pytest

from frostspindle.lab.crowd import CrowdKind
from frostspindle.lab.crowd_run import CrowdRun

MEMORY_MB = 64.0
DESCRIPTORS = 1024
CROWD = 600  # more connections than there are places for
SECONDS = 3.0
WANTED_S = 1.5  # within which a lookup is wanted


def play(folder, crowds, seconds=SECONDS, operator="", memory_mb=MEMORY_MB):
    """Play crowds of (kind, connections) at the HTTP front; return peak MB, the usual clients' answers, log lines."""

    async def run():
        async with CrowdRun(folder, memory_mb, DESCRIPTORS, operator) as played:
            ended = asyncio.Event()
            usual = asyncio.create_task(played.usual_clients(ended))
            port = played.process.http
            peak_mb = await played.peak_mb([(port, *crowd) for crowd in crowds], seconds)
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
    peak_mb, answers, process = play(tmp_path, [(kind, CROWD)])
    assert peak_mb < MEMORY_MB
    assert answers.unserved == []
    assert max(answers.served_s) < WANTED_S
    assert not process.events("exception_caught")
