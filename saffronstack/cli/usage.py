"""`saffronstack usage`: what gateways' usage logs add up to, read without locking them."""

from __future__ import annotations

import pathlib

import click

from saffronstack.durable.journal import JournalError, read_back
from saffronstack.metering.account import Account, Merged, merge
from saffronstack.metering.meter import CODEC
from saffronstack.metering.report import FORMS, rows


def _read(directories: tuple[str, ...]) -> tuple[Merged, list[str]]:
    """The logs merged, and what was wrong with them; JournalError where one can't be read."""
    accounts = []
    lines = []
    for directory in directories:
        path = pathlib.Path(directory)
        if not path.is_dir():
            raise JournalError(f"{directory}: no such directory")
        account = Account()
        found = read_back(path, account, CODEC)
        if not account.gateway:
            raise JournalError(f"{directory}: holds no usage log")
        lines += [f"{directory}/{line}" for line in found.lines]
        accounts.append(account)
    merged = merge(accounts)
    return merged, [*lines, *merged.notes]


def show(directories: tuple[str, ...], by: tuple[str, ...], form: str) -> int:
    """Print sums; 0, or 2 where a log can't be read or a column is unknown."""
    try:
        merged, lines = _read(directories)
        click.echo(FORMS[form](rows(merged.account, by), by))
    except (JournalError, ValueError) as error:
        click.echo(str(error), err=True)
        return 2
    for line in lines:
        click.echo(line, err=True)
    return 0


def verify(directories: tuple[str, ...]) -> int:
    """Check that shares sum up to what was held and that the logs are whole; 0, 1 with reasons, 2 unread."""
    try:
        merged, lines = _read(directories)
    except JournalError as error:
        click.echo(str(error), err=True)
        return 2
    account = merged.account
    problems = [f"unbalanced: {line}" for line in account.unbalanced()]
    if account.in_doubt:
        problems.append("records of a log are lost: sums may miss some")
    for line in [*lines, *problems]:
        click.echo(line)
    confirmed = sum(high - low + 1 for ranges in account.confirmed.values() for low, high in ranges.spans)
    click.echo(
        f"{confirmed} records confirmed, {len(account.unconfirmed)} not yet, {len(account.provisional)} "
        f"provisional charges, {len(account.occupied)} workers: {'NOT ' if problems else ''}in balance"
    )
    return 1 if problems else 0
