"""`saffronstack day`: the commands, on click."""

from __future__ import annotations

import sys

import click


@click.group("day")
def day_group() -> None:
    """Scripted days with trouble."""


@day_group.command("run")
@click.argument("path", type=click.Path())
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seconds", type=float, default=None, help="Length in place of the file's.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep configurations and traffic logs here.")
@click.option(
    "--membership", type=click.Choice(["signal", "file"]), default=None, help="In place of the file's."
)
def day_run(path: str, seed: int, seconds: float | None, keep: str | None, membership: str | None) -> None:
    """Play a day with real gateways and judge the five rules from the traffic; 1 if one is broken."""
    from saffronstack.harness.scenario.runner import run

    sys.exit(run(path, seed, seconds, keep, membership))
