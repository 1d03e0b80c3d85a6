"""`saffronstack rollout check`, `status`, `pause`, `resume` and `abort`: commands that lead no rollout."""

from __future__ import annotations

import click

from saffronstack.cli.control import CommandError
from saffronstack.cli.leases import INVALID_INPUT_STATUS, NO_MAJORITY_STATUS, open_client
from saffronstack.config.fleet import FleetFile, load_fleet_file
from saffronstack.config.load import ConfigError, convert, read_text
from saffronstack.fleet.control.errors import UnusableReleaseError
from saffronstack.fleet.control.messages import LEADER_LEASE, OPERATOR_REQUEST_LEASE
from saffronstack.fleet.control.releases import read_release
from saffronstack.fleet.leases.quorum_read import read_leases
from saffronstack.fleet.rollout.operator_requests import OperatorAction, OperatorRequest, encode_request
from saffronstack.fleet.rollout.plan import FleetGateway, RolloutFleet, RolloutPlan
from saffronstack.fleet.rollout.plan_validation import validate_plan
from saffronstack.fleet.rollout.record import RolloutRecord, decode_record, encode_record

STORE_TIMEOUT_S = 5.0
NO_ROLLOUT_STATUS = 1  # exit status
INVALID_PLAN_STATUS = 1  # exit status


def rollout_fleet(fleet: FleetFile) -> RolloutFleet:
    """Return the gateways of a fleet file in the form that rollouts use."""
    gateways = tuple(
        FleetGateway(name=gateway.name, zone=gateway.zone, group=gateway.group)
        for daemon in fleet.daemons for gateway in daemon.gateways
    )  # fmt: skip
    return RolloutFleet(gateways, fleet.daemons_by_gateway())


def store_operator_request(path: str, action: OperatorAction) -> int:
    """Store a request for the rollout leader, which reads it within seconds.

    Returns:
        The exit status: 0 if a majority of lease servers stored it, 2 if no rollout is in progress or the
        fleet file is invalid, 69 without a majority.
    """
    try:
        fleet = load_fleet_file(path)
        record = read_record(fleet)
        if record is None or record.is_finished:
            raise CommandError(INVALID_INPUT_STATUS, "no rollout is in progress")
        _store_request(fleet, record.plan.name, action)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return INVALID_INPUT_STATUS
    except (CommandError, ValueError) as error:
        click.echo(f"saffronstack rollout {action}: {error}", err=True)
        return error.status if isinstance(error, CommandError) else INVALID_INPUT_STATUS
    click.echo(f"{record.plan.name}: {action} is left for the leader")
    return 0


def _store_request(fleet: FleetFile, rollout: str, action: OperatorAction) -> None:
    client = open_client(fleet)
    try:
        held = client.acquire(OPERATOR_REQUEST_LEASE, STORE_TIMEOUT_S)
        if held is None:
            raise CommandError(NO_MAJORITY_STATUS, f"the request was not stored: {client.link_errors()}")
        request = OperatorRequest(rollout, action, held.token)
        is_stored = held.put(encode_request(request), STORE_TIMEOUT_S)
        held.release()
    finally:
        client.close()
    if not is_stored:
        raise CommandError(NO_MAJORITY_STATUS, "the request may or may not have been stored: repeat it")


def show_status(path: str, as_json: bool) -> int:
    """Print the recorded rollout.

    Returns:
        The exit status: 0, 1 if there is none, 2 for an invalid fleet file, or 69 without a majority.
    """
    try:
        fleet = load_fleet_file(path)
        record = read_record(fleet)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return INVALID_INPUT_STATUS
    except (CommandError, ValueError) as error:
        click.echo(f"saffronstack rollout status: {error}", err=True)
        return error.status if isinstance(error, CommandError) else INVALID_INPUT_STATUS
    if record is None:
        click.echo("no rollout was ever recorded", err=True)
        return NO_ROLLOUT_STATUS
    if as_json:
        click.echo(encode_record(record).decode())
        return 0
    click.echo(summarize(record))
    for line in record.history:
        click.echo(f"  {line}")
    return 0


def check(path: str, plan_path: str, new_directory: str, old_directory: str) -> int:
    """Check a plan against the fleet file and both releases.

    Returns:
        The exit status: 0, or 1 with a line for each problem.
    """
    try:
        fleet = load_fleet_file(path)
        plan = convert(read_text(plan_path), RolloutPlan, plan_path)
        new, old = read_release(new_directory).release, read_release(old_directory).release
    except (ConfigError, UnusableReleaseError) as error:
        click.echo(str(error), err=True)
        return INVALID_PLAN_STATUS
    problems = validate_plan(plan, rollout_fleet(fleet).gateways, old, new)
    for problem in problems:
        click.echo(f"{plan_path}: {problem}", err=True)
    if problems:
        return INVALID_PLAN_STATUS
    click.echo(f"{plan_path}: good: {len(plan.stages)} stages, {old.version} to {new.version}")
    return 0


def read_record(fleet: FleetFile) -> RolloutRecord | None:
    """Return the rollout that a majority of lease servers shows; None if none was ever recorded.

    Raises:
        CommandError: No majority responds.
        RecordError: The record has the format of another version.
    """
    quorum_read = read_leases(fleet.lease_server_addresses(), fleet.wait_s)
    if not quorum_read.has_majority:
        raise CommandError(NO_MAJORITY_STATUS, f"no majority of lease servers responds: {quorum_read.errors}")
    lease = quorum_read.leases.get(LEADER_LEASE)
    return decode_record(lease.value.content) if lease is not None else None


def summarize(record: RolloutRecord) -> str:
    """Return a rollout's state as one line."""
    stage = f"stage {record.stage + 1} of {len(record.plan.stages)}"
    paused = "paused, " if record.is_paused else ""
    reason = f": {record.reason}" if record.reason else ""
    versions = f"{record.old_release.version} to {record.new_release.version}"
    return f"{record.plan.name}: {paused}{record.phase}, {stage}, {versions}{reason}"
