"""The commands of `frostspindle settings`.

Exit codes: 0 done, 2 an invalid file or call, 3 rejected, withdrawn or rolled back, 5 no coordinator reached or no
outcome in time. A push succeeds only once its version is active. No secret is printed.
"""

from __future__ import annotations

import base64
import json
import secrets
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from frostspindle.operator_client import EXIT_BAD_CALL, EXIT_UNREACHABLE, fetch_figures
from frostspindle.settings.document import json_schema, parse_document
from frostspindle.settings.schema import InvalidSettingsError
from frostspindle.settings.version_encoding import pack_changes, split_into_pieces

EXIT_REJECTED = 3
PIECE_BYTES = 32_768  # raw bytes in one call; base64-encoded they must fit into its line of 64 KiB
POLL_INTERVAL_S = 0.1
UNDECIDED_STATES = ("coming", "drafted", "published")
ACTIVE_STATES = ("live", "proven")
FAILED_STATES = ("turned down", "withdrawn", "rolled back")
COMMANDS: dict[str, click.Command] = {}


def _command(name: str) -> Callable[[Callable[..., None]], click.Command]:
    def register(function: Callable[..., None]) -> click.Command:
        function = click.option("--json", "as_json", is_flag=True, help="Print JSON.")(function)
        function = click.option(
            "--at", default="127.0.0.1:6566", show_default=True, help="The operators' address of any coordinator."
        )(function)
        COMMANDS[name] = click.command(name)(function)
        return COMMANDS[name]

    return register


def _follow_push(at: str, name: str, wait_s: float, as_json: bool) -> None:
    """Poll the outcome of a push until it is decided or the time limit passes, print it and exit accordingly."""
    deadline = time.monotonic() + wait_s
    outcome: dict[str, Any] = {"state": "drafted", "version": 0, "why": ""}
    while outcome["state"] in UNDECIDED_STATES and time.monotonic() < deadline:
        outcome = fetch_figures(at, f"settings-outcome {name}")
        time.sleep(POLL_INTERVAL_S)
    if as_json:
        click.echo(json.dumps(outcome))
    else:
        state = f"version {outcome['version']}: {outcome['state']}" if outcome["version"] else outcome["state"]
        reason = f": {outcome['why']}" if outcome["why"] else ""
        click.echo(f"{state}{reason}")
    if outcome["state"] not in ACTIVE_STATES:
        sys.exit(EXIT_REJECTED if outcome["state"] in FAILED_STATES else EXIT_UNREACHABLE)


@_command("push")
@click.argument("file", type=click.Path())
@click.option("--wait", "wait_s", default=20.0, show_default=True, help="Seconds until the version must be live.")
@click.option("--check", is_flag=True, help="Only read and check the file.")
def push(file: str, wait_s: float, check: bool, at: str, as_json: bool) -> None:
    """Make a file the next version: checked here, then by all coordinators, then live."""
    try:
        rules = parse_document(Path(file).read_bytes())
    except (OSError, InvalidSettingsError) as error:
        click.echo(f"frostspindle: {file}: {error}", err=True)
        sys.exit(EXIT_BAD_CALL)
    if check:
        click.echo(f"{file}: {len(rules)} entries, good")
        return
    name = secrets.token_hex(8)
    pieces = split_into_pieces(pack_changes(rules), PIECE_BYTES)
    for number, piece in enumerate(pieces):
        fetch_figures(at, f"settings-push {name} {number}/{len(pieces)} {base64.b64encode(piece).decode()}")
    _follow_push(at, name, wait_s, as_json)


@_command("rollback")
@click.argument("version", type=click.IntRange(1), required=False)
@click.option("--wait", "wait_s", default=20.0, show_default=True, help="Seconds until it must be live.")
def rollback(version: int | None, wait_s: float, at: str, as_json: bool) -> None:
    """Make the rules of an earlier version live again, under a new number; without one, of the version before."""
    name = secrets.token_hex(8)
    fetch_figures(at, f"settings-rollback {name} {version or 0}")
    _follow_push(at, name, wait_s, as_json)


@_command("status")
def status(at: str, as_json: bool) -> None:
    """Who runs which version, who turned one down and why, who is on the meet."""
    reply = fetch_figures(at, "show-settings")
    if as_json:
        click.echo(json.dumps(reply, indent=2))
        return
    numbers = ", ".join(map(str, reply["versions"]))
    reason = f" ({reply['why']})" if reply["why"] else ""
    click.echo(
        f"{reply['name']}: {reply['mode']} of {numbers}{reason}, "
        f"{reply['entries']} entries; lease {reply['left_ms']:.0f} ms more"
    )
    trial = " (on trial)" if reply["on_trial"] else ""
    click.echo(f"live {reply['live']}{trial}, proven {reply['proven']}, pending {reply['pending'] or '-'}")
    click.echo(f"\n{'coordinator':<24}{'acts on':>10}{'acknowledged':>14}  turned down")
    for name, row in reply["members"].items():
        refused = f"{row['refused']}: {row['why']}" if row["refused"] else ""
        click.echo(f"{name:<24}{row['acting'] or 'meet':>10}{row['acked']:>14}  {refused}")


@_command("history")
def history(at: str, as_json: bool) -> None:
    """The versions that are kept, and what happened to them."""
    reply = fetch_figures(at, "settings-history")
    if as_json:
        click.echo(json.dumps(reply, indent=2))
        return
    click.echo(f"{'version':>8}{'entries':>9}{'changes':>9}  {'digest':<34}by")
    for row in reply["versions"]:
        click.echo(f"{row['version']:>8}{row['entries']:>9}{row['changes']:>9}  {row['digest']:<34}{row['by']}")
    click.echo("")
    for row in reply["news"]:
        click.echo(f"{row['version'] or '-':>8}  {row['what']:<12}{row['why']}")


@_command("diff")
@click.argument("one", type=click.IntRange(0))
@click.argument("two", type=click.IntRange(0))
def difference(one: int, two: int, at: str, as_json: bool) -> None:
    """What leads from one kept version to another."""
    reply = fetch_figures(at, f"settings-diff {one} {two}")
    if as_json:
        click.echo(json.dumps(reply, indent=2))
        return
    for key, entry in reply["shown"].items():
        click.echo(f"- {key}" if entry is None else f"+ {key}  {json.dumps(entry)}")
    if reply["changes"] > len(reply["shown"]):
        click.echo(f"and {reply['changes'] - len(reply['shown'])} more")


@_command("schema")
def print_schema(at: str, as_json: bool) -> None:
    """Print the JSON Schema of the file."""
    click.echo(json.dumps(json_schema(), indent=2))
