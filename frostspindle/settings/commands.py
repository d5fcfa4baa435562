"""The commands of `frostspindle settings`.

Owns their options, how an answer is told and the exit codes: 0 done, 2 a bad file or call, 3 turned down or rolled
back, 5 no coordinator there or no word of the outcome in time. It must never print a secret, and never call a push done
before the version is live.
"""

from __future__ import annotations

import base64
import json
import secrets
import sys
import time
from pathlib import Path
from typing import Any

import click

from frostspindle.operator_client import EXIT_BAD_CALL, EXIT_UNREACHABLE, figures
from frostspindle.settings import schema
from frostspindle.settings.schema import InvalidSettingsError
from frostspindle.settings.versions import cut, pack

TURNED_DOWN = 3
PIECE = 32_768  # bytes in one call, whose line has 64 KiB
EVERY_S = 0.1
COMMANDS: dict[str, click.Command] = {}


def _command(name: str) -> Any:
    def made(function: Any) -> click.Command:
        function = click.option("--json", "as_json", is_flag=True, help="Print JSON.")(function)
        function = click.option(
            "--at", default="127.0.0.1:6566", show_default=True, help="The operators' address of any coordinator."
        )(function)
        COMMANDS[name] = click.command(name)(function)
        return COMMANDS[name]

    return made


def _follow(at: str, name: str, wait_s: float, as_json: bool) -> None:
    """Ask what became of a push until it is over."""
    until, told = time.monotonic() + wait_s, {"state": "drafted", "version": 0, "why": ""}
    while told["state"] in ("coming", "drafted", "published") and time.monotonic() < until:
        told = figures(at, f"settings-outcome {name}")
        time.sleep(EVERY_S)
    if as_json:
        click.echo(json.dumps(told))
    else:
        what = f"version {told['version']}: {told['state']}" if told["version"] else told["state"]
        click.echo(f"{what}{': ' + told['why'] if told['why'] else ''}")
    if told["state"] not in ("live", "proven"):
        sys.exit(TURNED_DOWN if told["state"] in ("turned down", "withdrawn", "rolled back") else EXIT_UNREACHABLE)


@_command("push")
@click.argument("file", type=click.Path())
@click.option("--wait", "wait_s", default=20.0, show_default=True, help="Seconds until the version must be live.")
@click.option("--check", is_flag=True, help="Only read and check the file.")
def push(file: str, wait_s: float, check: bool, at: str, as_json: bool) -> None:
    """Make a file the next version: checked here, then by all coordinators, then live."""
    try:
        rules = schema.read(Path(file).read_bytes())
    except (OSError, InvalidSettingsError) as error:
        click.echo(f"frostspindle: {file}: {error}", err=True)
        sys.exit(EXIT_BAD_CALL)
    if check:
        click.echo(f"{file}: {len(rules)} entries, good")
        return
    name, pieces = secrets.token_hex(8), cut(pack(rules), PIECE)
    for number, piece in enumerate(pieces):
        figures(at, f"settings-push {name} {number}/{len(pieces)} {base64.b64encode(piece).decode()}")
    _follow(at, name, wait_s, as_json)


@_command("rollback")
@click.argument("version", type=click.IntRange(1), required=False)
@click.option("--wait", "wait_s", default=20.0, show_default=True, help="Seconds until it must be live.")
def rollback(version: int | None, wait_s: float, at: str, as_json: bool) -> None:
    """Make the rules of an earlier version live again, under a new number; without one, of the version before."""
    name = secrets.token_hex(8)
    figures(at, f"settings-rollback {name} {version or 0}")
    _follow(at, name, wait_s, as_json)


@_command("status")
def status(at: str, as_json: bool) -> None:
    """Who runs which version, who turned one down and why, who is on the meet."""
    told = figures(at, "show-settings")
    if as_json:
        click.echo(json.dumps(told, indent=2))
        return
    numbers = ", ".join(map(str, told["versions"]))
    click.echo(
        f"{told['name']}: {told['mode']} of {numbers}{' (' + told['why'] + ')' if told['why'] else ''}, "
        f"{told['entries']} entries; lease {told['left_ms']:.0f} ms more"
    )
    trial = " (on trial)" if told["on_trial"] else ""
    click.echo(f"live {told['live']}{trial}, proven {told['proven']}, pending {told['pending'] or '-'}")
    click.echo(f"\n{'coordinator':<24}{'acts on':>10}{'acknowledged':>14}  turned down")
    for name, row in told["members"].items():
        refused = f"{row['refused']}: {row['why']}" if row["refused"] else ""
        click.echo(f"{name:<24}{row['acting'] or 'meet':>10}{row['acked']:>14}  {refused}")


@_command("history")
def history(at: str, as_json: bool) -> None:
    """The versions that are kept, and what happened to them."""
    told = figures(at, "settings-history")
    if as_json:
        click.echo(json.dumps(told, indent=2))
        return
    click.echo(f"{'version':>8}{'entries':>9}{'changes':>9}  {'digest':<34}by")
    for row in told["versions"]:
        click.echo(f"{row['version']:>8}{row['entries']:>9}{row['changes']:>9}  {row['digest']:<34}{row['by']}")
    click.echo("")
    for row in told["news"]:
        click.echo(f"{row['version'] or '-':>8}  {row['what']:<12}{row['why']}")


@_command("diff")
@click.argument("one", type=click.IntRange(0))
@click.argument("two", type=click.IntRange(0))
def difference(one: int, two: int, at: str, as_json: bool) -> None:
    """What leads from one kept version to another."""
    told = figures(at, f"settings-diff {one} {two}")
    if as_json:
        click.echo(json.dumps(told, indent=2))
        return
    for key, entry in told["shown"].items():
        click.echo(f"- {key}" if entry is None else f"+ {key}  {json.dumps(entry)}")
    if told["changes"] > len(told["shown"]):
        click.echo(f"and {told['changes'] - len(told['shown'])} more")


@_command("schema")
def print_schema(at: str, as_json: bool) -> None:
    """Print the JSON Schema of the file."""
    click.echo(json.dumps(schema.json_schema(), indent=2))
