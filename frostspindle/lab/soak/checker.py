"""Checks the records of a run against the rules, and reports each violation with the history of its request.

The limits are those of the platform, plus the time that a busy machine took from the processes (`lag_s`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from frostspindle.lab.crowd import is_of_crowd
from frostspindle.lab.soak.clients import Client, KeyPacer
from frostspindle.lab.soak.engines import QUERY_EXPIRY_S, FaultyEngine
from frostspindle.lab.soak.plan import CROWD_MEMORY_MB
from frostspindle.lab.soak.processes import SoakProcess
from frostspindle.lab.soak.records import Drain, EngineRun, Request, RequestClass

ANSWER_SLACK_S = 0.5  # a response up to this long after the deadline is allowed
LEFT_SLACK_S = 0.1  # an attempt may start up to this long after its client left
DRAIN_GRACE_S = 0.25 + 0.05  # a draining engine may be sent new queries for this long after the announcement
MAX_LOG_LINES = 30  # last lines of a process's log that are reported where it did not exit cleanly
MAX_LINE_LENGTH = 400
DEADLINE_SLACK_S = 0.15  # an engine's deadline may exceed that of its client by this


@dataclass(slots=True)
class Records:
    """The records of all clients, engines and processes of one run."""

    clients: list[Client]
    engines: list[FaultyEngine]
    processes: list[SoakProcess]
    pacer: KeyPacer
    drains: list[Drain]
    lag_s: float = 0.0
    peak_mb: float = 0.0  # of all processes of the coordinator together, in a run with a crowd


@dataclass(slots=True)
class Violation:
    """One violated rule, with the history of the request."""

    rule: str
    text: str
    ticket: str = ""
    other: str = ""  # ticket of the other request involved
    history: list[str] = field(default_factory=list)


def find_violations(records: Records) -> list[Violation]:
    """Return all violations in a run."""
    requests = {request.ticket: request for client in records.clients for request in client.requests}
    runs = sorted((run for engine in records.engines for run in engine.runs), key=lambda run: run.started_at)
    violations = [
        *_check_answers(requests.values(), records),
        *_check_runs(requests, runs, records.lag_s),
        *_check_overlaps(runs),
        *_check_order(requests, runs, records.pacer),
        *_check_drains(runs, records),
        *_check_processes(records.processes),
        *_check_memory(records.peak_mb),
    ]
    for violation in violations:
        if violation.rule == "exit":
            violation.history = _last_log_lines(records.processes)
        else:
            violation.history = _request_history(violation.ticket, requests, runs, records.processes)
            violation.history += _request_history(violation.other, requests, runs, records.processes)
    return violations


def _check_answers(requests: Iterable[Request], records: Records) -> Iterable[Violation]:
    for request in requests:
        if not request.written_at or request.left_at is not None or request.never_accepted:
            continue
        if request.lost_reason:
            yield Violation("lost", request.lost_reason, request.ticket)
        elif len(request.answers) != 1:
            yield Violation("lost", f"{len(request.answers)} final answers", request.ticket)
        elif request.answers[0][0] > request.deadline_at + ANSWER_SLACK_S + records.lag_s:
            late_s = request.answers[0][0] - request.deadline_at
            yield Violation("late", f"answered {late_s:.3f} s after its deadline", request.ticket)
        if not request.rows_are_own:
            yield Violation("rows", "served with the rows of another request", request.ticket)
    for client in records.clients:
        for text in client.surplus:
            yield Violation("surplus", text)


def _check_runs(requests: dict[str, Request], runs: list[EngineRun], lag_s: float) -> Iterable[Violation]:
    run_counts = Counter(run.ticket for run in runs)
    for ticket, count in run_counts.items():
        request = requests.get(ticket)
        if request is None and is_of_crowd(ticket):
            continue
        if request is None:
            yield Violation("unknown", f"an engine received a query with ticket {ticket}, which no client sent")
        elif request.request_class is RequestClass.LOAD and count > 1:
            yield Violation("duplicate", f"a load ran {count} times", ticket)
    for run in runs:
        request = requests.get(run.ticket)
        if request is None:
            continue
        if request.left_at is not None and run.started_at > request.left_at + LEFT_SLACK_S + lag_s:
            after_s = run.started_at - request.left_at
            yield Violation("sent", f"sent {after_s:.3f} s after its client left", run.ticket)
        remaining_s = request.deadline_at - run.started_at
        if request.written_at and run.max_ms / 1000.0 > remaining_s + DEADLINE_SLACK_S + lag_s:
            yield Violation(
                "deadline", f"sent with a limit of {run.max_ms:.0f} ms and {remaining_s:.3f} s left", run.ticket
            )


def _check_overlaps(runs: list[EngineRun]) -> Iterable[Violation]:
    """Check that no attempt of a request came to an engine while an earlier one could still run."""
    latest: dict[str, EngineRun] = {}
    for run in sorted(runs, key=lambda run: run.received_at):
        earlier = latest.get(run.ticket)
        if earlier is not None and not is_of_crowd(run.ticket):
            overlap_s = earlier.may_run_until(QUERY_EXPIRY_S) - run.received_at
            if overlap_s > 0.0:
                text = f"sent to {run.engine} {overlap_s:.3f} s before its attempt at {earlier.engine} had ended"
                yield Violation("overlap", text, run.ticket)
        latest[run.ticket] = run


def _check_order(requests: dict[str, Request], runs: list[EngineRun], pacer: KeyPacer) -> Iterable[Violation]:
    """Check that the requests of a key run one at a time, in the order in which they were written."""
    for key, tickets in pacer.written.items():
        position = {ticket: number for number, ticket in enumerate(tickets)}
        earlier: EngineRun | None = None
        for run in (run for run in runs if run.ticket in position):
            if earlier is not None and run.ticket != earlier.ticket:
                if position[run.ticket] < position[earlier.ticket]:
                    text = f"{key}: sent after {earlier.ticket}, which was written later"
                    yield Violation("order", text, run.ticket, earlier.ticket)
                ends_at = earlier.may_run_until(QUERY_EXPIRY_S)
                if run.started_at < ends_at:
                    text = f"{key}: sent {ends_at - run.started_at:.3f} s before {earlier.ticket} had ended"
                    yield Violation("order", text, run.ticket, earlier.ticket)
            earlier = run


def _check_drains(runs: list[EngineRun], records: Records) -> Iterable[Violation]:
    for drain in records.drains:
        until = drain.announced_at + DRAIN_GRACE_S + records.lag_s
        for run in runs:
            if run.engine == drain.engine and until < run.started_at < drain.replaced_at:
                after_s = run.started_at - drain.announced_at
                yield Violation(
                    "drain", f"sent to {run.engine} {after_s:.3f} s after its drain was announced", run.ticket
                )


def _check_memory(peak_mb: float) -> Iterable[Violation]:
    if peak_mb > CROWD_MEMORY_MB:
        yield Violation("memory", f"{peak_mb:.1f} MB of {CROWD_MEMORY_MB:.0f}")


def _check_processes(processes: list[SoakProcess]) -> Iterable[Violation]:
    for process in processes:
        if process.exit_code is None:
            yield Violation("exit", f"process {process.number} was still running when it was killed")
        elif process.exit_code != 0:
            yield Violation("exit", f"process {process.number} exited with {process.exit_code}")
        for line in process.lines:
            if line.get("event") in ("exception_caught", "text"):
                yield Violation("log", f"process {process.number}: {line}"[:600])


def _request_history(
    ticket: str, requests: dict[str, Request], runs: list[EngineRun], processes: list[SoakProcess]
) -> list[str]:
    """Return the recorded events of a request: client, engines, then log lines."""
    if not ticket:
        return []
    request = requests[ticket]
    lines = [f"{request.request_class} key={request.key or '-'} timeout={request.timeout_s} s", *request.history]
    for run in (run for run in runs if run.ticket == ticket):
        ended = f"{run.ended_at:.3f}" if run.ended_at else "-"
        lines.append(
            f"{run.started_at:.3f} runs at {run.engine}, last polled {run.polled_at:.3f}, ended {ended} {run.ending}"
        )
    for process in processes:
        lines += [_format_log_line(process, line) for line in process.lines if line.get("ticket") == ticket]
    return lines


def _last_log_lines(processes: list[SoakProcess]) -> list[str]:
    lines = []
    for process in processes:
        lines.append(f"process {process.number}: SIGTERM {process.terminated_at}, exit {process.exited_at}")
        lines += [_format_log_line(process, line)[:MAX_LINE_LENGTH] for line in process.lines[-MAX_LOG_LINES:]]
    return lines


def _format_log_line(process: SoakProcess, line: dict[str, Any]) -> str:
    fields = {name: value for name, value in line.items() if name not in ("ts", "node", "life", "ticket")}
    return f"{line.get('ts', 0.0):.3f} log of process {process.number}: {fields}"
