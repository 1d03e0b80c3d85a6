"""The click option for the fleet file."""

from __future__ import annotations

from collections.abc import Callable

import click


def fleet_option(command: Callable[..., None]) -> Callable[..., None]:
    """Add the required option ``--fleet`` to a command, as its parameter ``path``."""
    text = "Fleet file, which all processes of the fleet share."
    return click.option("--fleet", "path", required=True, type=click.Path(dir_okay=False), help=text)(command)
