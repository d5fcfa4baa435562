"""The commands of `lab`: one experiment each, and what they have in common.

Owns their options, how a bad script or a missing library is told, and how figures are printed. It must never compute a
figure: the emulators do, and are imported only by the command that plays them.
"""

from __future__ import annotations

import functools
import importlib.util
import json
from collections.abc import Callable
from typing import Any

import click

from frostspindle.lab.faults.script import InvalidScriptError, parse

Played = tuple[dict[str, Any], Callable[[str], str]]  # the figures; what writes a page into a folder and names it
COMMANDS: dict[str, click.Command] = {}


def experiment(
    name: str, nodes: int, most: int, seconds: float, least: float, longest: float, example: str
) -> Callable[[Callable[..., Played]], click.Command]:
    """Return a decorator that makes a command of a function: it plays a run of so many coordinators under a script
    of faults and prints the figures. A script that can't be read, or a missing plot library, is a usage error."""
    options = (
        click.option("--nodes", default=nodes, show_default=True, type=click.IntRange(1, most), help="Coordinators."),
        click.option("--seed", default=1, show_default=True, help="The same seed gives the same run."),
        click.option("--faults", default="", help=f"A script, as in {example}."),
        click.option(
            "--seconds", default=seconds, show_default=True, type=click.FloatRange(least, longest), help="Simulated."
        ),
        click.option("--json", "as_json", is_flag=True, help="Print one JSON object."),
        click.option("--report", type=click.Path(), help="Write a page with plots there (needs the extra `plot`)."),
    )

    def made(play: Callable[..., Played]) -> click.Command:
        @functools.wraps(play)
        def run(as_json: bool, report: str | None, **said: Any) -> None:
            if report and importlib.util.find_spec("matplotlib") is None:
                raise click.UsageError("--report needs the extra: pip install -e '.[plot]'")
            try:
                figures, write = play(**said)
            except InvalidScriptError as error:
                raise click.BadParameter(str(error), param_hint="--faults") from None
            if report:
                click.echo(f"wrote {write(report)}", err=True)
            if as_json:
                click.echo(json.dumps(figures))
                return
            for key, value in figures.items():
                click.echo(f"{key:<22}{value}")

        for option in reversed(options):
            run = option(run)
        COMMANDS[name] = click.command(name)(run)
        return COMMANDS[name]

    return made


@experiment("fleet", 9, 10_000, 60.0, 1.0, 36_000.0, "'10-40 cut 0-3|4-8; 20 kill 2; 0- loss 0.3'")
@click.option("--units", type=click.IntRange(1), help="The budget in each second; else 20 a coordinator.")
@click.option("--demand", default=1.5, show_default=True, help="Wanted, as a part of the budget.")
@click.option("--hot", default=10.0, show_default=True, help="The first coordinator wants so many times the others'.")
@click.option("--settle", is_flag=True, help="From the last fault on nothing is wanted; measure when sums agree.")
def fleet(
    nodes: int, seed: int, faults: str, seconds: float, units: int | None, demand: float, hot: float, settle: bool
) -> Played:
    """Play a fleet's shared state under faults, on a simulated network and clocks."""
    from frostspindle.lab import fleet as emulating
    from frostspindle.lab.fleet_report import write

    whole = units or 20 * nodes
    emulator = emulating.Emulator(
        nodes,
        seed,
        parse(faults, nodes),
        seconds,
        whole,
        demand=lambda n: (hot if n == 0 else 1.0) * whole * demand / (nodes - 1 + hot),
    )
    if settle:
        emulating.settle(emulator)
    emulator.run()
    figures = emulating.measure(emulator)
    return figures, lambda folder: str(write(emulator, figures, folder))


@experiment("power", 9, 999, 45.0, 20.0, 600.0, "'10-20 cut 0-3|4-8; 0- loss 0.1; 16 kill 2', besides the loss itself")
@click.option("--naive/--no-naive", default=True, help="Play the start without recovery too, on the same seed.")
def power(nodes: int, seed: int, faults: str, seconds: float, naive: bool) -> Played:
    """Play a fleet's return from a loss of power, on a simulated network, engines and stores."""
    from frostspindle.lab import power as emulating
    from frostspindle.lab.power_report import write

    figures, world, other = emulating.compare(nodes, seed, parse(faults, nodes), seconds, naive=naive)
    return figures, lambda folder: str(write(figures, world, other, folder))


@experiment("scatter", 5, 300, 30.0, 8.0, 3_600.0, "'5-9 cut 0|1-4; 8 kill 2', or 'drawn': by the seed")
@click.option("--sites", default=4, show_default=True, type=click.IntRange(1, 64), help="Where rows are.")
def scatter(nodes: int, seed: int, faults: str, seconds: float, sites: int) -> Played:
    """Play summaries, leases and loads of many coordinators under faults, against an oracle that scans every row."""
    from frostspindle.lab import scatter as emulating

    emulator = emulating.play(nodes, seed, faults, seconds, sites=sites)
    figures = emulating.measure(emulator)
    return figures, lambda folder: str(emulating.report(emulator, figures, folder))


@experiment("subscriptions", 5, 100, 20.0, 1.0, 3_600.0, "'2-6 cut 0-1|2-4; 3 kill 2', or 'drawn': by the seed")
@click.option("--subscribers", default=6, show_default=True, type=click.IntRange(1, 500), help="They move about.")
def subscriptions(nodes: int, seed: int, faults: str, seconds: float, subscribers: int) -> Played:
    """Play subscribers that move between coordinators under faults; an oracle judges what they were told."""
    from frostspindle.lab import subscriptions as playing

    lab = playing.play(nodes, seed, None if faults == "drawn" else faults, seconds, subscribers=subscribers)
    figures = playing.measure(lab)
    return figures, lambda folder: playing.write(lab, figures, folder)


@experiment("ownership", 5, 50, 30.0, 5.0, 3_600.0, "'5-9 cut 0|1-4; 8 stop 2; 14 cont 2', or 'drawn': by the seed")
@click.option("--tasks", default=3, show_default=True, type=click.IntRange(1, 1_000), help="All want all of them.")
@click.option("--lease-ms", default=3_000, show_default=True, type=click.IntRange(300, 60_000), help="Of one lease.")
@click.option("--fenced/--unfenced", default=True, help="Whether the receiver checks tokens.")
def ownership(nodes: int, seed: int, faults: str, seconds: float, tasks: int, lease_ms: int, fenced: bool) -> Played:
    """Play leases on the replicated log under faults; a checker judges what a receiver has accepted."""
    from frostspindle.lab import ownership as playing

    lab = playing.play(nodes, seed, faults, seconds, tasks=tasks, lease_ms=lease_ms, fenced=fenced)
    return playing.measure(lab), lambda folder: "no page is drawn of this experiment"


@experiment("settings", 5, 1_000, 20.0, 4.0, 3_600.0, "'4-9 cut 0-1|2-4; 10 stop 3', or 'drawn': by the seed")
@click.option(
    "--lease-ms",
    default=2_000.0,
    show_default=True,
    type=click.FloatRange(300.0, 60_000.0),
    help="So long a coordinator acts on a version without hearing.",
)
def settings(nodes: int, seed: int, faults: str, seconds: float, lease_ms: float) -> Played:
    """Play agreed settings among coordinators under faults: did any two act on contradicting versions?"""
    if importlib.util.find_spec("immutables") is None:
        raise click.UsageError("settings needs the extra: pip install -e '.[settings]'")
    from frostspindle.lab import settings as playing
    from frostspindle.settings.member_decisions import AgreementSettings

    world = playing.play(nodes, seed, faults, seconds, settings=AgreementSettings(lease_ms, 0.01, 2.0 * lease_ms))
    figures = playing.measure(world)
    return figures, lambda folder: playing.write(world, figures, folder)


@click.command("soak")
@click.option("--seed", default=0, show_default=True, help="Of the first run.")
@click.option("--count", default=1, show_default=True, type=click.IntRange(1, 10_000), help="Runs, of seeds in turn.")
@click.option("--beside", default=1, show_default=True, type=click.IntRange(1, 16), help="Runs at the same time.")
def soak(seed: int, count: int, beside: int) -> None:
    """Play ends and restarts of real processes under faults, signals and busy clients; exit 1 if a rule breaks."""
    import asyncio

    from frostspindle.lab.soak import report
    from frostspindle.lab.soak.run import SoakResult, play_all

    def told(result: SoakResult) -> None:
        click.echo(report.summary(result))
        if result.violations:
            click.echo(report.details(result))

    results = asyncio.run(play_all(range(seed, seed + count), beside, told))
    failed = [result.seed for result in results if result.violations]
    click.echo(f"{len(results)} runs, {len(failed)} with broken rules: {failed}")
    if failed:
        raise SystemExit(1)


COMMANDS["soak"] = soak
