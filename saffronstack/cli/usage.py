"""`saffronstack usage`: sums up and checks the usage logs of gateways, without locking them."""

from __future__ import annotations

import pathlib
from collections.abc import Callable

import click

from saffronstack.durable.errors import JournalError, RunDamagedError
from saffronstack.metering.merged_accounts import MergedAccounts, merge_accounts
from saffronstack.metering.usage_log import read_usage_log
from saffronstack.metering.usage_report import FORMATTERS, summarize_usage

MAX_ATTEMPTS = 5  # a running gateway may replace files while they are read


class FilesChangedError(Exception):
    """Files were replaced while they were read."""


def _list_log_directories(directories: tuple[str, ...]) -> list[str]:
    """Return the directories of gateways and of their other processes; JournalError if one is missing."""
    found = []
    for directory in directories:
        path = pathlib.Path(directory)
        if not path.is_dir():
            raise JournalError(f"{directory}: no such directory")
        found.append(directory)
        others = (other for other in sorted(path.glob("process-*")) if any(other.glob("usage-*.seg")))
        found += map(str, others)
    return found


def _read_logs(directories: tuple[str, ...]) -> tuple[MergedAccounts, list[str]]:
    """Return the merged logs, and notes on damage in them; JournalError if a log can't be read."""
    accounts = []
    notes = []
    for directory in _list_log_directories(directories):
        path = pathlib.Path(directory)
        try:
            account, damage = read_usage_log(path)
        except JournalError as error:
            if isinstance(error.__cause__, FileNotFoundError):
                raise FilesChangedError(str(error)) from error
            raise
        if not account.gateway:
            raise JournalError(f"{directory}: holds no usage log")
        notes += [f"{directory}/{line}" for line in damage]
        accounts.append(account)
    merged = merge_accounts(accounts)
    return merged, [*notes, *merged.notes]


def _retry_on_change(read_and_print: Callable[[], int]) -> int:
    """Read logs, and retry if files changed meanwhile.

    Returns:
        The exit status: that of ``read_and_print``, or 2 if the logs can't be read.
    """
    for attempts_left in reversed(range(MAX_ATTEMPTS)):
        try:
            return read_and_print()
        except (FilesChangedError, FileNotFoundError) as error:
            if not attempts_left:
                click.echo(f"{error}: the files change faster than they are read", err=True)
        except (JournalError, RunDamagedError, ValueError, OSError) as error:
            click.echo(str(error), err=True)
            break
    return 2


def show(
    directories: tuple[str, ...], by: tuple[str, ...], output_format: str, tenant: str | None = None
) -> int:
    """Print usage sums; return the exit status, 0 or 2 if a log can't be read or a column is unknown."""

    def read_and_print() -> int:
        merged, notes = _read_logs(directories)
        text = FORMATTERS[output_format](summarize_usage(merged, by, tenant), by)
        click.echo(text)
        for line in notes:
            click.echo(line, err=True)
        return 0

    return _retry_on_change(read_and_print)


def report(directories: tuple[str, ...], output: str) -> int:
    """Write an HTML page with charts.

    Returns:
        The exit status: 0, or 2 if a log can't be read, the page can't be written or matplotlib is missing.
    """
    try:
        from saffronstack.metering.html_report import render_html_report
    except ImportError as error:
        click.echo(f"charts need matplotlib: {error}; pip install 'saffronstack[charts]'", err=True)
        return 2

    def read_and_print() -> int:
        merged, notes = _read_logs(directories)
        content = render_html_report(merged, notes)
        pathlib.Path(output).write_text(content)
        click.echo(f"{output}: {len(content)} bytes")
        return 0

    return _retry_on_change(read_and_print)


def verify(directories: tuple[str, ...]) -> int:
    """Check that shares sum up to the memory held, and that the logs are complete.

    Returns:
        The exit status: 0, 1 with the problems, or 2 if a log can't be read.
    """

    def read_and_print() -> int:
        damaged = []
        for directory in _list_log_directories(directories):
            damaged += read_usage_log(pathlib.Path(directory))[0].find_archive_damage()
        if damaged:
            for line in damaged:
                click.echo(line)
            click.echo(f"{len(damaged)} parts of archives can't be read: NOT in balance")
            return 1
        merged, notes = _read_logs(directories)
        problems = [f"unbalanced: {line}" for line in merged.find_imbalances()]
        if merged.in_doubt:
            problems.append("records of a log are lost: sums may miss some")
        for line in [*notes, *problems]:
            click.echo(line)
        workers = len({worker for worker, _ in merged.read_occupancy()})
        click.echo(
            f"{merged.confirmed} records confirmed, {merged.unconfirmed} not yet, {len(merged.provisional)} "
            f"provisional charges, {workers} workers: {'NOT ' if problems else ''}in balance"
        )
        return 1 if problems else 0

    return _retry_on_change(read_and_print)
