"""`saffronstack day`: the click commands."""

from __future__ import annotations

import sys

import click


@click.group("day")
def day_group() -> None:
    """Run scenarios with fault injection."""


@day_group.command("run")
@click.argument("path", type=click.Path())
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seconds", type=float, default=None, help="Duration in seconds, in place of the file's.")
@click.option(
    "--keep", type=click.Path(file_okay=False), help="Directory to keep configurations and traffic logs in."
)
@click.option(
    "--membership",
    type=click.Choice(["signal", "file"]),
    default=None,
    help="How gateways learn of workers, in place of the file's.",
)
def day_run(path: str, seed: int, seconds: float | None, keep: str | None, membership: str | None) -> None:
    """Run a scenario with real gateways and check five rules on its traffic; exits with 1 if one fails."""
    from saffronstack.harness.scenario.runner import run

    sys.exit(run(path, seed, seconds, keep, membership))
