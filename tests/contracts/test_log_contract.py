"""Contract of every replicated log: adapter order everywhere, applied proposals kept, rejected ones never applied."""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from logs import COUNT, LOGS, RecordingMachine

from frostspindle.replica.base import MAX_COMMAND_BYTES, AppliedEntry, LogUnavailableError, OutcomeUnknownError

each = pytest.mark.parametrize("kind", LOGS, ids=lambda kind: kind.__name__)
commands = st.lists(
    st.tuples(
        st.integers(0, COUNT - 1), st.binary(max_size=40) | st.just(b"\x80\x04.") | st.just(b"x" * MAX_COMMAND_BYTES)
    ),
    min_size=1,
    max_size=12,
)


def run_test(kind, call):
    """Run a test's coroutine with a started adapter of this kind."""

    async def run():
        adapter = kind()
        await adapter.start()
        try:
            async with asyncio.timeout(60.0):
                await call(adapter)
        finally:
            await adapter.close()

    asyncio.run(run())


@each
@settings(max_examples=3, deadline=None, suppress_health_check=list(HealthCheck))
@given(sent=commands)
def test_all_members_apply_the_same_entries_in_the_same_order(kind, sent):
    async def call(adapter):
        notified = []
        adapter.logs[0].watch("t", lambda *entry: notified.append(entry))
        outcomes = await adapter.finish(*(adapter.logs[n].propose("t", command, 20.0) for n, command in sent))
        floor = await adapter.finish(adapter.logs[1].barrier(20.0))
        await adapter.settle()
        assert all(isinstance(outcome, AppliedEntry) for outcome in outcomes), outcomes
        for machine in adapter.machines:
            assert machine.entries == adapter.machines[0].entries
        indexes = [index for index, _ in adapter.machines[0].entries]
        assert indexes == sorted(set(indexes)) and floor[0] > max(indexes)
        applied = dict(adapter.machines[0].entries)
        for (_, command), outcome in zip(sent, outcomes, strict=True):
            assert applied[outcome.index] == command and outcome.result == b"did " + command[:32]
        assert len(applied) == len(sent)
        assert notified == [(index, command, b"did " + command[:32]) for index, command in adapter.machines[0].entries]
        assert all(log.index >= floor[0] and log.leader for log in adapter.logs)

    run_test(kind, call)


@each
def test_oversized_command_or_unknown_topic_is_rejected_without_effect(kind):
    async def call(adapter):
        for topic, command in (("t", b"x" * (MAX_COMMAND_BYTES + 1)), ("", b"x"), ("t" * 33, b"x"), ("u", b"x")):
            assert isinstance((await adapter.finish(adapter.logs[0].propose(topic, command, 5.0)))[0], ValueError)
        await adapter.finish(adapter.logs[0].barrier(20.0))
        assert adapter.machines[0].entries == []
        with pytest.raises((ValueError, RuntimeError)):
            adapter.logs[0].attach("t", RecordingMachine())

    run_test(kind, call)


@each
def test_without_a_leader_a_proposal_is_unavailable_and_never_applied(kind):
    async def call(adapter):
        await adapter.finish(adapter.logs[0].propose("t", b"before", 20.0))
        adapter.set_leader(False)
        outcomes = await adapter.finish(*(log.propose("t", b"lost", 0.3) for log in adapter.logs))
        assert all(isinstance(outcome, LogUnavailableError | OutcomeUnknownError) for outcome in outcomes)
        adapter.set_leader(True)
        await adapter.finish(adapter.logs[0].propose("t", b"after", 30.0))
        assert all(isinstance(i, int) for i in await adapter.finish(*(log.barrier(30.0) for log in adapter.logs)))
        occurrences = [command for _, command in adapter.machines[0].entries].count(b"lost")
        assert occurrences <= sum(isinstance(outcome, OutcomeUnknownError) for outcome in outcomes)
        assert all(machine.entries == adapter.machines[0].entries for machine in adapter.machines)

    run_test(kind, call)


@each
def test_open_proposals_are_bounded(kind):
    async def call(adapter):
        adapter.set_lagging(2, True)
        outcomes = await adapter.finish(
            *(adapter.logs[2].propose("t", b"%d" % n, 0.5) for n in range(adapter.max_open + 20))
        )
        assert sum(isinstance(a, LogUnavailableError) for a in outcomes) >= 20
        adapter.set_lagging(2, False)
        assert all(isinstance(i, int) for i in await adapter.finish(*(log.barrier(30.0) for log in adapter.logs)))
        rejected = {b"%d" % n for n, outcome in enumerate(outcomes) if isinstance(outcome, LogUnavailableError)}
        assert not rejected & {command for _, command in adapter.machines[2].entries}
        assert adapter.machines[2].entries == adapter.machines[0].entries

    run_test(kind, call)


@each
def test_member_far_behind_is_restored_to_the_state_of_a_replay(kind):
    async def call(adapter):
        notified = []
        adapter.logs[2].watch("t", lambda *entry: notified.append(entry))
        adapter.set_lagging(2, True)
        for n in range(0, 1_500, 250):
            await adapter.finish(*(adapter.logs[0].propose("t", b"%d" % m, 30.0) for m in range(n, n + 250)))
        adapter.set_lagging(2, False)
        assert all(isinstance(i, int) for i in await adapter.finish(*(log.barrier(30.0) for log in adapter.logs)))
        assert adapter.machines[2].restored and adapter.machines[2].sum == adapter.machines[0].sum
        assert (adapter.machines[2].restored, b"", b"") in notified
        assert [e for e in adapter.machines[0].entries if e[0] > adapter.machines[2].restored] == adapter.machines[
            2
        ].entries

    run_test(kind, call)
