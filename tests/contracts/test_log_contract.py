"""What every replicated log promises: one order everywhere, answered proposals kept, refused ones never applied."""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from logs import COUNT, LOGS, Book

from frostspindle.replica.base import MAX_COMMAND_BYTES, AppliedEntry, LogUnavailableError, OutcomeUnknownError

each = pytest.mark.parametrize("kind", LOGS, ids=lambda kind: kind.__name__)
commands = st.lists(
    st.tuples(
        st.integers(0, COUNT - 1), st.binary(max_size=40) | st.just(b"\x80\x04.") | st.just(b"x" * MAX_COMMAND_BYTES)
    ),
    min_size=1,
    max_size=12,
)


def play(kind, call):
    async def run():
        one = kind()
        await one.start()
        try:
            async with asyncio.timeout(60.0):
                await call(one)
        finally:
            await one.close()

    asyncio.run(run())


@each
@settings(max_examples=3, deadline=None, suppress_health_check=list(HealthCheck))
@given(sent=commands)
def test_all_members_apply_the_same_entries_in_the_same_order(kind, sent):
    async def call(one):
        told = []
        one.logs[0].watch("t", lambda *entry: told.append(entry))
        answers = await one.finish(*(one.logs[n].propose("t", command, 20.0) for n, command in sent))
        floor = await one.finish(one.logs[1].barrier(20.0))
        await one.settle()
        assert all(isinstance(answer, AppliedEntry) for answer in answers), answers
        for book in one.books:
            assert book.entries == one.books[0].entries
        indexes = [index for index, _ in one.books[0].entries]
        assert indexes == sorted(set(indexes)) and floor[0] > max(indexes)
        held = dict(one.books[0].entries)
        for (_, command), answer in zip(sent, answers, strict=True):
            assert held[answer.index] == command and answer.result == b"did " + command[:32]
        assert len(held) == len(sent)
        assert told == [(index, command, b"did " + command[:32]) for index, command in one.books[0].entries]
        assert all(log.index >= floor[0] and log.leader for log in one.logs)

    play(kind, call)


@each
def test_what_is_too_long_or_of_no_known_topic_is_refused_and_leaves_nothing(kind):
    async def call(one):
        for topic, command in (("t", b"x" * (MAX_COMMAND_BYTES + 1)), ("", b"x"), ("t" * 33, b"x"), ("u", b"x")):
            assert isinstance((await one.finish(one.logs[0].propose(topic, command, 5.0)))[0], ValueError)
        await one.finish(one.logs[0].barrier(20.0))
        assert one.books[0].entries == []
        with pytest.raises((ValueError, RuntimeError)):
            one.logs[0].attach("t", Book())

    play(kind, call)


@each
def test_without_a_leader_a_proposal_is_unavailable_and_never_applied(kind):
    async def call(one):
        await one.finish(one.logs[0].propose("t", b"before", 20.0))
        one.set_leader(False)
        answers = await one.finish(*(log.propose("t", b"lost", 0.3) for log in one.logs))
        assert all(isinstance(answer, LogUnavailableError | OutcomeUnknownError) for answer in answers)
        one.set_leader(True)
        await one.finish(one.logs[0].propose("t", b"after", 30.0))
        assert all(isinstance(i, int) for i in await one.finish(*(log.barrier(30.0) for log in one.logs)))
        times = [command for _, command in one.books[0].entries].count(b"lost")
        assert times <= sum(isinstance(answer, OutcomeUnknownError) for answer in answers)
        assert all(book.entries == one.books[0].entries for book in one.books)

    play(kind, call)


@each
def test_open_proposals_are_bounded(kind):
    async def call(one):
        one.behind(2, True)
        answers = await one.finish(*(one.logs[2].propose("t", b"%d" % n, 0.5) for n in range(one.open + 20)))
        assert sum(isinstance(a, LogUnavailableError) for a in answers) >= 20
        one.behind(2, False)
        assert all(isinstance(i, int) for i in await one.finish(*(log.barrier(30.0) for log in one.logs)))
        refused = {b"%d" % n for n, answer in enumerate(answers) if isinstance(answer, LogUnavailableError)}
        assert not refused & {command for _, command in one.books[2].entries}
        assert one.books[2].entries == one.books[0].entries

    play(kind, call)


@each
def test_a_member_far_behind_is_restored_to_what_replay_gives(kind):
    async def call(one):
        told = []
        one.logs[2].watch("t", lambda *entry: told.append(entry))
        one.behind(2, True)
        for n in range(0, 1_500, 250):
            await one.finish(*(one.logs[0].propose("t", b"%d" % m, 30.0) for m in range(n, n + 250)))
        one.behind(2, False)
        assert all(isinstance(i, int) for i in await one.finish(*(log.barrier(30.0) for log in one.logs)))
        assert one.books[2].restored and one.books[2].sum == one.books[0].sum
        assert (one.books[2].restored, b"", b"") in told
        assert [e for e in one.books[0].entries if e[0] > one.books[2].restored] == one.books[2].entries

    play(kind, call)
