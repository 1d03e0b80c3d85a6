"""`saffronstack rollout check`, `status` and operators' words: what needs no leader."""

from __future__ import annotations

import click
import msgspec

from saffronstack.cli.control import CommandError
from saffronstack.cli.leases import NO_MAJORITY, UNUSABLE, open_client
from saffronstack.config.fleet import FleetFile, load_fleet
from saffronstack.config.load import ConfigError, convert, read_text
from saffronstack.fleet.control.errors import UnusableReleaseError
from saffronstack.fleet.control.messages import LEADER_LEASE, OPERATOR_REQUEST_LEASE
from saffronstack.fleet.control.releases import read_release
from saffronstack.fleet.leases.reading import read_leases
from saffronstack.fleet.rollout.controller import Record
from saffronstack.fleet.rollout.plan import Gateway, Plan, problems
from saffronstack.fleet.rollout.records import Said, decode, encode

WORD_S = 5.0


def gateways_of(fleet: FleetFile) -> list[Gateway]:
    """As a plan sees them."""
    return [
        Gateway(name=one.name, zone=one.zone, group=one.group)
        for daemon in fleet.daemons for one in daemon.gateways
    ]  # fmt: skip


def say(path: str, what: str) -> int:
    """Leave a word for whoever leads: 0 once a majority has it; who leads takes it within seconds."""
    try:
        fleet = load_fleet(path)
        record = recorded(fleet)
        if record is None or record.over:
            raise CommandError(UNUSABLE, "no rollout is under way")
        client = open_client(fleet)
        try:
            held = client.acquire(OPERATOR_REQUEST_LEASE, WORD_S)
            if held is None:
                raise CommandError(NO_MAJORITY, f"the word was not left: {client.troubles()}")
            said = Said(record.plan.name, what, held.token)
            stored = held.put(msgspec.json.encode(said), WORD_S)
            held.release()
        finally:
            client.close()
        if not stored:
            raise CommandError(NO_MAJORITY, "the word may or may not have been left: say it again")
    except ConfigError as error:
        click.echo(str(error), err=True)
        return UNUSABLE
    except (CommandError, ValueError) as error:
        click.echo(f"saffronstack rollout {what}: {error}", err=True)
        return error.status if isinstance(error, CommandError) else UNUSABLE
    click.echo(f"{record.plan.name}: {what} is left for the leader")
    return 0


def status(path: str, as_json: bool) -> int:
    """The rollout as it is recorded; 0, 1 where there is none, 2, or 69 without a majority."""
    try:
        fleet = load_fleet(path)
        record = recorded(fleet)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return UNUSABLE
    except (CommandError, ValueError) as error:
        click.echo(f"saffronstack rollout status: {error}", err=True)
        return error.status if isinstance(error, CommandError) else UNUSABLE
    if record is None:
        click.echo("no rollout was ever recorded", err=True)
        return 1
    if as_json:
        click.echo(encode(record).decode())
        return 0
    click.echo(line_of(record))
    for note in record.notes:
        click.echo(f"  {note}")
    return 0


def check(path: str, plan_path: str, to: str, old_from: str) -> int:
    """What stands in a plan's way, as far as files tell: 0, or 1 with a line each."""
    try:
        fleet = load_fleet(path)
        plan = convert(read_text(plan_path), Plan, plan_path)
        new, old = read_release(to).release, read_release(old_from).release
    except (ConfigError, UnusableReleaseError) as error:
        click.echo(str(error), err=True)
        return 1
    lines = problems(plan, gateways_of(fleet), old, new)
    for line in lines:
        click.echo(f"{plan_path}: {line}", err=True)
    if not lines:
        click.echo(f"{plan_path}: good: {len(plan.stages)} stages, {old.version} to {new.version}")
    return 1 if lines else 0


def recorded(fleet: FleetFile) -> Record | None:
    """The rollout as a majority of keepers shows it; CommandError without one."""
    reading = read_leases(fleet.addresses(), fleet.wait_s)
    if not reading.majority:
        raise CommandError(NO_MAJORITY, f"no majority of keepers answers: {reading.troubles}")
    shown = reading.leases.get(LEADER_LEASE)
    return decode(shown.value.content) if shown is not None else None


def line_of(record: Record) -> str:
    """One line."""
    stage = f"stage {record.stage + 1} of {len(record.plan.stages)}"
    how = "paused, " if record.paused else ""
    why = f": {record.why}" if record.why else ""
    versions = f"{record.old.version} to {record.new.version}"
    return f"{record.plan.name}: {how}{record.way}, {stage}, {versions}{why}"
