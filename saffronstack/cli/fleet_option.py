"""The option that names a fleet's file."""

from __future__ import annotations

from collections.abc import Callable

import click


def fleet_option(command: Callable[..., None]) -> Callable[..., None]:
    """Give a command the required option ``--fleet``, as its parameter ``path``."""
    text = "The file that all processes of the fleet share."
    return click.option("--fleet", "path", required=True, type=click.Path(dir_okay=False), help=text)(command)
