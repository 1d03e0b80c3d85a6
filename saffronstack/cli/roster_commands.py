"""`saffronstack roster`: the commands, on click."""

from __future__ import annotations

import sys
from collections.abc import Callable

import click


@click.group("roster")
def roster_group() -> None:
    """Lists of workers in watched files: check, compare, and say what operators say."""


def _exit_with(command: Callable[[], int]) -> None:
    from saffronstack.cli.roster import RosterCommandError

    try:
        sys.exit(command())
    except (RosterCommandError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(1)


def _config_option(command: Callable[..., None]) -> Callable[..., None]:
    text = "The gateway's configuration, which names the roster."
    return click.option("--config", "path", required=True, type=click.Path(dir_okay=False), help=text)(
        command
    )


@roster_group.command("check")
@click.argument("file", type=click.Path())
@click.option("--config", "path", type=click.Path(dir_okay=False), help="Check kinds and guards against it.")
def roster_check(file: str, path: str | None) -> None:
    """Check a list, file or directory: 0, or 1 with file, line and reason."""
    from saffronstack.cli.roster import check

    _exit_with(lambda: check(file, path))


@roster_group.command("diff")
@click.argument("before", type=click.Path())
@click.argument("after", type=click.Path())
def roster_diff(before: str, after: str) -> None:
    """What changes in meaning, not in spacing; 1 where something does."""
    from saffronstack.cli.roster import diff

    _exit_with(lambda: diff(before, after))


@roster_group.command("show")
@_config_option
def roster_show(path: str) -> None:
    """The list applied last."""
    from saffronstack.cli.roster import show

    _exit_with(lambda: show(path))


@roster_group.command("drain")
@click.argument("workers", nargs=-1, required=True)
@click.option("--undo", is_flag=True, help="Drain them no longer.")
@_config_option
def roster_drain(workers: tuple[str, ...], undo: bool, path: str) -> None:
    """Drain workers, whatever the lists say."""
    from saffronstack.cli.roster import drain

    _exit_with(lambda: drain(path, workers, undo))


@roster_group.command("accept")
@click.argument("digest")
@_config_option
def roster_accept(digest: str, path: str) -> None:
    """Let a held version be applied; /status and the log name its digest."""
    from saffronstack.cli.roster import accept

    _exit_with(lambda: accept(path, digest))


@roster_group.command("history")
@click.option("--back", type=int, default=None, help="Go back to the version of this number.")
@click.option("--follow", is_flag=True, help="Follow the file again.")
@_config_option
def roster_history(back: int | None, follow: bool, path: str) -> None:
    """The versions that are kept."""
    from saffronstack.cli.roster import history

    _exit_with(lambda: history(path, back, follow))
