"""The commands of `lab`, one per experiment, with their common options and output.

The emulators compute the figures. Each command imports its emulator only when it runs.
"""

from __future__ import annotations

import functools
import importlib.util
import json
from collections.abc import Callable
from typing import Any

import click

from frostspindle.lab.faults.script import InvalidScriptError, parse

Result = tuple[dict[str, Any], Callable[[str], str]]  # figures; a function that writes a report and returns its path
COMMANDS: dict[str, click.Command] = {}


def experiment(
    name: str, nodes: int, max_nodes: int, seconds: float, min_seconds: float, max_seconds: float, example: str
) -> Callable[[Callable[..., Result]], click.Command]:
    """Return a decorator that turns a function into a command, which runs an experiment and prints its figures.

    `nodes` and `seconds` are defaults, the other numbers their limits; `example` is a script of faults for the help. A
    script that can't be parsed and a missing plot library are usage errors.
    """
    options = (
        click.option(
            "--nodes", default=nodes, show_default=True, type=click.IntRange(1, max_nodes), help="Coordinators."
        ),
        click.option("--seed", default=1, show_default=True, help="The same seed gives the same run."),
        click.option("--faults", default="", help=f"A script, as in {example}."),
        click.option(
            "--seconds",
            default=seconds,
            show_default=True,
            type=click.FloatRange(min_seconds, max_seconds),
            help="Simulated.",
        ),
        click.option("--json", "as_json", is_flag=True, help="Print one JSON object."),
        click.option("--report", type=click.Path(), help="Write a page with plots there (needs the extra `plot`)."),
    )

    def decorate(experiment_function: Callable[..., Result]) -> click.Command:
        @functools.wraps(experiment_function)
        def run(as_json: bool, report: str | None, **arguments: Any) -> None:
            if report and importlib.util.find_spec("matplotlib") is None:
                raise click.UsageError("--report needs the extra: pip install -e '.[plot]'")
            try:
                figures, write_report = experiment_function(**arguments)
            except InvalidScriptError as error:
                raise click.BadParameter(str(error), param_hint="--faults") from None
            if report:
                click.echo(f"wrote {write_report(report)}", err=True)
            if as_json:
                click.echo(json.dumps(figures))
                return
            for key, value in figures.items():
                click.echo(f"{key:<22}{value}")

        for option in reversed(options):
            run = option(run)
        COMMANDS[name] = click.command(name)(run)
        return COMMANDS[name]

    return decorate


@experiment("fleet", 9, 10_000, 60.0, 1.0, 36_000.0, "'10-40 cut 0-3|4-8; 20 kill 2; 0- loss 0.3'")
@click.option("--units", type=click.IntRange(1), help="The budget in each second; else 20 a coordinator.")
@click.option("--demand", default=1.5, show_default=True, help="Wanted, as a part of the budget.")
@click.option("--hot", default=10.0, show_default=True, help="The first coordinator wants so many times the others'.")
@click.option("--settle", is_flag=True, help="From the last fault on nothing is wanted; measure when sums agree.")
def fleet(
    nodes: int, seed: int, faults: str, seconds: float, units: int | None, demand: float, hot: float, settle: bool
) -> Result:
    """Play a fleet's shared state under faults, on a simulated network and clocks."""
    from frostspindle.lab import fleet as fleet_emulator
    from frostspindle.lab.fleet_report import write

    total_units = units or 20 * nodes
    emulator = fleet_emulator.Emulator(
        nodes,
        seed,
        parse(faults, nodes),
        seconds,
        total_units,
        demand=lambda n: (hot if n == 0 else 1.0) * total_units * demand / (nodes - 1 + hot),
    )
    if settle:
        fleet_emulator.settle(emulator)
    emulator.run()
    figures = fleet_emulator.measure(emulator)
    return figures, lambda folder: str(write(emulator, figures, folder))


@experiment("power", 9, 999, 45.0, 20.0, 600.0, "'10-20 cut 0-3|4-8; 0- loss 0.1; 16 kill 2', besides the loss itself")
@click.option("--naive/--no-naive", default=True, help="Play the start without recovery too, on the same seed.")
def power(nodes: int, seed: int, faults: str, seconds: float, naive: bool) -> Result:
    """Play a fleet's return from a loss of power, on a simulated network, engines and stores."""
    from frostspindle.lab import power as power_emulator
    from frostspindle.lab.power_report import write

    figures, world, naive_world = power_emulator.compare(nodes, seed, parse(faults, nodes), seconds, naive=naive)
    return figures, lambda folder: str(write(figures, world, naive_world, folder))


@experiment("scatter", 5, 300, 30.0, 8.0, 3_600.0, "'5-9 cut 0|1-4; 8 kill 2', or 'drawn': by the seed")
@click.option("--sites", default=4, show_default=True, type=click.IntRange(1, 64), help="Where rows are.")
def scatter(nodes: int, seed: int, faults: str, seconds: float, sites: int) -> Result:
    """Play summaries, leases and loads of many coordinators under faults, against an oracle that scans every row."""
    from frostspindle.lab import scatter as scatter_emulator

    emulator = scatter_emulator.play(nodes, seed, faults, seconds, sites=sites)
    figures = scatter_emulator.measure(emulator)
    return figures, lambda folder: str(scatter_emulator.report(emulator, figures, folder))


@experiment("subscriptions", 5, 100, 20.0, 1.0, 3_600.0, "'2-6 cut 0-1|2-4; 3 kill 2', or 'drawn': by the seed")
@click.option("--subscribers", default=6, show_default=True, type=click.IntRange(1, 500), help="They move about.")
def subscriptions(nodes: int, seed: int, faults: str, seconds: float, subscribers: int) -> Result:
    """Play subscribers that move between coordinators under faults; an oracle judges what they were told."""
    from frostspindle.lab import subscriptions as subscriptions_emulator

    lab = subscriptions_emulator.play(
        nodes, seed, None if faults == "drawn" else faults, seconds, subscribers=subscribers
    )
    figures = subscriptions_emulator.measure(lab)
    return figures, lambda folder: subscriptions_emulator.write(lab, figures, folder)


@experiment("ownership", 5, 50, 30.0, 5.0, 3_600.0, "'5-9 cut 0|1-4; 8 stop 2; 14 cont 2', or 'drawn': by the seed")
@click.option("--tasks", default=3, show_default=True, type=click.IntRange(1, 1_000), help="All want all of them.")
@click.option("--lease-ms", default=3_000, show_default=True, type=click.IntRange(300, 60_000), help="Of one lease.")
@click.option("--fenced/--unfenced", default=True, help="Whether the receiver checks tokens.")
def ownership(nodes: int, seed: int, faults: str, seconds: float, tasks: int, lease_ms: int, fenced: bool) -> Result:
    """Play leases on the replicated log under faults; a checker judges what a receiver has accepted."""
    from frostspindle.lab import ownership as ownership_emulator

    lab = ownership_emulator.play(nodes, seed, faults, seconds, tasks=tasks, lease_ms=lease_ms, fenced=fenced)
    return ownership_emulator.measure(lab), lambda folder: "no page is drawn of this experiment"


@experiment("settings", 5, 1_000, 20.0, 4.0, 3_600.0, "'4-9 cut 0-1|2-4; 10 stop 3', or 'drawn': by the seed")
@click.option(
    "--lease-ms",
    default=2_000.0,
    show_default=True,
    type=click.FloatRange(300.0, 60_000.0),
    help="So long a coordinator acts on a version without hearing.",
)
def settings(nodes: int, seed: int, faults: str, seconds: float, lease_ms: float) -> Result:
    """Play agreed settings among coordinators under faults: did any two act on contradicting versions?"""
    if importlib.util.find_spec("immutables") is None:
        raise click.UsageError("settings needs the extra: pip install -e '.[settings]'")
    from frostspindle.lab import settings as settings_emulator
    from frostspindle.settings.member_decisions import AgreementSettings

    world = settings_emulator.play(
        nodes, seed, faults, seconds, settings=AgreementSettings(lease_ms, 0.01, 2.0 * lease_ms)
    )
    figures = settings_emulator.measure(world)
    return figures, lambda folder: settings_emulator.write(world, figures, folder)


@click.command("soak")
@click.option("--seed", default=0, show_default=True, help="Of the first run.")
@click.option("--count", default=1, show_default=True, type=click.IntRange(1, 10_000), help="Runs, of seeds in turn.")
@click.option("--beside", default=1, show_default=True, type=click.IntRange(1, 16), help="Runs at the same time.")
def soak(seed: int, count: int, beside: int) -> None:
    """Play ends and restarts of real processes under faults, signals and busy clients; exit 1 if a rule breaks."""
    import asyncio

    from frostspindle.lab.soak import report
    from frostspindle.lab.soak.run import SoakResult, play_all

    def print_result(result: SoakResult) -> None:
        click.echo(report.summary(result))
        if result.violations:
            click.echo(report.details(result))

    results = asyncio.run(play_all(range(seed, seed + count), beside, print_result))
    failed = [result.seed for result in results if result.violations]
    click.echo(f"{len(results)} runs, {len(failed)} with broken rules: {failed}")
    if failed:
        raise SystemExit(1)


COMMANDS["soak"] = soak
