"""The command line.

Defines the commands with their options, output and exit codes; serving itself is in serving.py. No command may print
a password or an SNMP community. The module is loaded only when the program has arguments.

Exit codes of `call`: 0 served, 3 refused, 4 failed, 5 coordinator unreachable; for other commands 2 is a bad
configuration.
"""

from __future__ import annotations

import asyncio
import http.client
import importlib.util
import json
import os
import secrets
import sys
import time
from collections.abc import Iterable
from typing import Any

import click

from frostspindle import __version__
from frostspindle import config as configuration
from frostspindle.config import ConfigError
from frostspindle.effective_config import effective_values
from frostspindle.operator_client import EXIT_BAD_CALL, EXIT_UNREACHABLE, call_operator, send_query
from frostspindle.operator_client import fetch_figures as figures_of
from frostspindle.operator_tables import fleet_lines, owner_lines, stat_lines

# Exit codes of `call`; operator_client has the others.
EXIT_SERVED = 0
EXIT_REJECTED = 3
EXIT_FAILED = 4
_FILE_OPTIONS = [
    click.option("--config", "config_file", type=click.Path(), help="The JSON file; else LB_CONFIG names it."),
    click.option(
        "--operator",
        "operator_file",
        type=click.Path(),
        help="The operator's TOML; else FROSTSPINDLE_OPERATOR names it.",
    ),
    click.option("--workers", type=int, help="So many processes; else cores.workers of the operator's file."),
]


def file_options(command: Any) -> Any:
    """Add the options `--config`, `--operator` and `--workers` to a click command; used as a decorator."""
    for option in reversed(_FILE_OPTIONS):
        command = option(command)
    return command


def environment_with(config_file: str | None, operator_file: str | None, workers: int | None) -> dict[str, str]:
    """Return the process's environment with the given options set in it."""
    overrides = {
        "LB_CONFIG": config_file,
        "FROSTSPINDLE_OPERATOR": operator_file,
        "FROSTSPINDLE_WORKERS": None if workers is None else str(workers),
    }
    return {**os.environ, **{key: value for key, value in overrides.items() if value is not None}}


def _print_lines(lines: Iterable[str]) -> None:
    for line in lines:
        click.echo(line)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="frostspindle")
def cli() -> None:
    """The coordinator between query clients and a pool of shared engines.

    Without a command it serves as LB_CONFIG and FROSTSPINDLE_OPERATOR say.
    """


@cli.command()
@file_options
def serve(config_file: str | None, operator_file: str | None, workers: int | None) -> None:
    """Serve until SIGTERM or Ctrl-C."""
    from frostspindle import serving

    sys.exit(serving.serve(environment_with(config_file, operator_file, workers)))


@cli.command()
@file_options
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check(config_file: str | None, operator_file: str | None, workers: int | None, as_json: bool) -> None:
    """Read both files and print the values in effect; exit 2 and one line naming the key if one is bad."""
    try:
        config = configuration.read(environment_with(config_file, operator_file, workers))
    except ConfigError as error:
        click.echo(f"frostspindle: {error}", err=True)
        sys.exit(EXIT_BAD_CALL)
    values = effective_values(config)
    if as_json:
        click.echo(json.dumps(values, indent=2))
        return
    width = max(map(len, values))
    for key, value in values.items():
        click.echo(f"{key:<{width}}  {value}")


@cli.command()
@click.argument("cls", metavar="CLASS")
@click.argument("sql")
@click.option("--at", default="127.0.0.1:6565", show_default=True, help="Where the coordinator listens.")
@click.option("--timeout-ms", default=7500.0, show_default=True, help="How long the whole answer may take.")
@click.option("--cost-ms", default=300.0, show_default=True, help="The estimate of the work.")
@click.option("--memory", default=96.0, show_default=True, help="The estimate of the memory, in MB.")
@click.option("--id", "ticket", help="16 hex digits; else drawn.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def call(
    cls: str, sql: str, at: str, timeout_ms: float, cost_ms: float, memory: float, ticket: str | None, as_json: bool
) -> None:
    """Send one request, follow it to its last page and show the rows.

    Exit code: 0 served, 3 refused (trying again is harmless), 4 failed, 5 nobody there.
    """
    started = time.monotonic()
    try:
        outcome, rows, wait_ms = send_query(at, cls, sql, ticket or secrets.token_hex(8), timeout_ms, cost_ms, memory)
    except (OSError, http.client.HTTPException) as error:
        click.echo(f"frostspindle: {at}: {error}", err=True)
        sys.exit(EXIT_UNREACHABLE)
    took_ms = (time.monotonic() - started) * 1000.0
    if as_json:
        click.echo(json.dumps({"how": outcome, "rows": rows, "retry_after_ms": wait_ms, "ms": round(took_ms, 1)}))
    else:
        for row in rows:
            click.echo("\t".join(row))
        note = f"; come back in {wait_ms:g} ms" if wait_ms else ""
        click.echo(f"{outcome}: {len(rows)} rows in {took_ms:.0f} ms{note}", err=True)
    sys.exit({"served": EXIT_SERVED, "refused": EXIT_REJECTED}.get(outcome, EXIT_FAILED))


@cli.command()
@click.option("--at", help="The operators' address, IP:PORT or a path; else that of the configuration.")
@click.option("--config", "config_file", type=click.Path(), help="The JSON file; else LB_CONFIG names it.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def stat(at: str | None, config_file: str | None, as_json: bool) -> None:
    """Ask a running coordinator for its figures."""
    try:
        operator_address = at or configuration.read(environment_with(config_file, None, None)).operator_address
        if operator_address is None:
            raise ConfigError("operator: not set, and no --at")
        if isinstance(operator_address, str) and not operator_address.startswith("/"):
            operator_address = configuration.address(operator_address, "--at")
    except ConfigError as error:
        click.echo(f"frostspindle: {error}", err=True)
        sys.exit(EXIT_BAD_CALL)
    try:
        response = call_operator(operator_address, "show-stat")
    except OSError as error:
        click.echo(f"frostspindle: {operator_address}: {error}", err=True)
        sys.exit(EXIT_UNREACHABLE)
    figures = json.loads(response.splitlines()[0])
    if as_json:
        click.echo(json.dumps(figures, indent=2))
        return
    _print_lines(stat_lines(figures))


@cli.command()
@click.option("--workers", default=2, show_default=True, help="Processes that serve.")
@click.option("--port", default=6565, show_default=True, help="Where clients connect; the operators' is the next.")
@click.option("--once", is_flag=True, help="End after the first query.")
def demo(workers: int, port: int, once: bool) -> None:
    """Toy engines, an event bus and a coordinator in one command; a first query is answered and shown."""
    from frostspindle.lab.demo import run

    sys.exit(asyncio.run(run(workers, port, once)))


@cli.command()
@click.option("--workers", default="1,2,4", show_default=True, help="Numbers of workers to compare.")
@click.option("--clients", default=3, show_default=True, help="Client processes.")
@click.option("--connections", default=64, show_default=True, help="Connections of all clients together.")
@click.option("--engines", default=4, show_default=True, help="Stand-in engines.")
@click.option("--delay-ms", default=0.0, show_default=True, help="How long each query runs.")
@click.option("--seconds", default=4.0, show_default=True, help="Length of one run.")
@click.option("--rounds", default=2, show_default=True, help="Runs of each number, in turn.")
@click.option("--cold", is_flag=True, help="Start an engine cold and drain another; show what is sent to them.")
@click.option("--out", type=click.Path(), help="Write the result as JSON there.")
@click.option("--plot", type=click.Path(), help="Draw the result there (needs the extra `plot`).")
def bench(
    workers: str,
    clients: int,
    connections: int,
    engines: int,
    delay_ms: float,
    seconds: float,
    rounds: int,
    cold: bool,
    out: str | None,
    plot: str | None,
) -> None:
    """Load a coordinator of this machine and compare numbers of workers."""
    if importlib.util.find_spec("hdrh") is None:
        raise click.UsageError("bench needs the extra: pip install -e '.[bench]'")
    from frostspindle.lab import bench as lab_bench

    try:
        worker_counts = [int(text) for text in workers.split(",")]
    except ValueError:
        raise click.BadParameter(f"not a list of integers: {workers!r}", param_hint="--workers") from None
    result = (
        lab_bench.cold(worker_counts, clients, connections, seconds)
        if cold
        else lab_bench.compare(worker_counts, clients, connections, engines, delay_ms / 1000.0, seconds, rounds)
    )
    click.echo(lab_bench.table(result))
    if out:
        with open(out, "w", encoding="utf-8") as file:
            json.dump(result, file, indent=1)
    if plot:
        lab_bench.draw(result, plot)


@cli.command()
@click.option("--at", default="127.0.0.1:6566", show_default=True, help="The operators' address.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def fleet(at: str, as_json: bool) -> None:
    """Ask a running coordinator how it sees its fleet: members, budgets, sums, judgements."""
    figures = figures_of(at, "show-fleet", "no fleet there")
    if as_json or "members" not in figures:
        click.echo(json.dumps(figures, indent=2))
        return
    _print_lines(fleet_lines(figures))


_AT = click.option("--at", default="127.0.0.1:6566", show_default=True, help="The operators' address.")


@cli.group(invoke_without_command=True)
@_AT
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def owners(ctx: click.Context, at: str, as_json: bool) -> None:
    """Who holds which task of the fleet, until when, under which token, and what was refused lately."""
    ctx.obj = at
    if ctx.invoked_subcommand is not None:
        return
    figures = figures_of(at, "show-owners", "no owners there")
    if as_json:
        click.echo(json.dumps(figures, indent=2))
        return
    _print_lines(owner_lines(figures))


@owners.command("release")
@click.argument("task")
@click.option("--wait-s", default=5.0, show_default=True, help="For it to come to be.")
@click.pass_obj
def release_owner(at: str, task: str, wait_s: float) -> None:
    """Take a task from its holder; another gets it, at the latest when the lease is over. Exit 3: not within the
    time."""
    released = figures_of(at, f"release-owner {task}", "not released")
    deadline = time.monotonic() + wait_s
    while time.monotonic() < deadline:
        rows = {row["task"]: row for row in figures_of(at, "show-owners", "no owners there")["owners"]}
        row = rows.get(task)
        if row is None or row["token"] != released["token"] or row["forced"]:
            current = "nobody" if row is None else f"{row['holder']} ({row['token']})"
            click.echo(f"{task}: {released['holder']} ({released['token']}) is released; now {current}")
            return
        time.sleep(0.05)
    click.echo(f"frostspindle: {task}: not released within {wait_s:g} s", err=True)
    sys.exit(EXIT_REJECTED)


class _Settings(click.Group):
    """Loads the commands for agreed settings only when `settings` is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        if importlib.util.find_spec("immutables") is None:
            raise click.UsageError("settings needs the extra: pip install -e '.[settings]'")
        from frostspindle.settings.cli_commands import COMMANDS

        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        self.list_commands(ctx)
        from frostspindle.settings.cli_commands import COMMANDS

        return COMMANDS.get(name)


@cli.group(cls=_Settings)
def settings() -> None:
    """Settings and lists in versions that all coordinators agree on."""


class _Lab(click.Group):
    """Loads the lab's commands only when `lab` is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        from frostspindle.lab.commands import COMMANDS

        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        from frostspindle.lab.commands import COMMANDS

        return COMMANDS.get(name)


@cli.group(cls=_Lab)
def lab() -> None:
    """Try things out without serving: emulators and experiments."""
