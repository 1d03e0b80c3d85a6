"""`saffronstack roster`: the click commands."""

from __future__ import annotations

import sys
from collections.abc import Callable

import click


@click.group("roster")
def roster_group() -> None:
    """Check and compare worker lists in watched files, and override them."""


def _exit_with(command: Callable[[], int]) -> None:
    from saffronstack.cli.roster import RosterCommandError

    try:
        sys.exit(command())
    except (RosterCommandError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(1)


def _config_option(command: Callable[..., None]) -> Callable[..., None]:
    text = "Gateway configuration, which has the roster."
    return click.option("--config", "path", required=True, type=click.Path(dir_okay=False), help=text)(
        command
    )


@roster_group.command("check")
@click.argument("file", type=click.Path())
@click.option(
    "--config",
    "path",
    type=click.Path(dir_okay=False),
    help="Gateway configuration to check kinds and guards against.",
)
def roster_check(file: str, path: str | None) -> None:
    """Check a list, file or directory; exits with 0, or with 1 and file, line and reason."""
    from saffronstack.cli.roster import check

    _exit_with(lambda: check(file, path))


@roster_group.command("diff")
@click.argument("before", type=click.Path())
@click.argument("after", type=click.Path())
def roster_diff(before: str, after: str) -> None:
    """Print changes in meaning, not in spacing; exits with 1 if there are any."""
    from saffronstack.cli.roster import diff

    _exit_with(lambda: diff(before, after))


@roster_group.command("show")
@_config_option
def roster_show(path: str) -> None:
    """Print the last applied list."""
    from saffronstack.cli.roster import show

    _exit_with(lambda: show(path))


@roster_group.command("drain")
@click.argument("workers", nargs=-1, required=True)
@click.option("--undo", is_flag=True, help="Stop draining them.")
@_config_option
def roster_drain(workers: tuple[str, ...], undo: bool, path: str) -> None:
    """Drain workers, whatever their lists say."""
    from saffronstack.cli.roster import drain

    _exit_with(lambda: drain(path, workers, undo))


@roster_group.command("accept")
@click.argument("digest")
@_config_option
def roster_accept(digest: str, path: str) -> None:
    """Accept a held version, to be applied; /status and the log have its digest."""
    from saffronstack.cli.roster import accept

    _exit_with(lambda: accept(path, digest))


@roster_group.command("history")
@click.option("--back", type=int, default=None, help="Pin the version with this number.")
@click.option("--follow", is_flag=True, help="Follow the file again.")
@_config_option
def roster_history(back: int | None, follow: bool, path: str) -> None:
    """Print the versions that are kept."""
    from saffronstack.cli.roster import history

    _exit_with(lambda: history(path, back, follow))
