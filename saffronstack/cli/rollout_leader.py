"""`saffronstack rollout start` and `lead`: processes that lead a rollout, with its canary analysis."""

from __future__ import annotations

import queue
import threading

import click

from saffronstack.cli.control import CommandError, daemon_client, run_as_leader
from saffronstack.cli.leases import INVALID_INPUT_STATUS, NO_MAJORITY_STATUS, open_client, queue_signals
from saffronstack.cli.logs import configure_logging
from saffronstack.cli.rollout import STORE_TIMEOUT_S, read_record, rollout_fleet, summarize
from saffronstack.config.fleet import FleetFile, load_fleet_file
from saffronstack.config.load import ConfigError, convert, read_text
from saffronstack.fleet.control.daemon_answers import merge_responses
from saffronstack.fleet.control.daemon_client import DaemonClient
from saffronstack.fleet.control.errors import UnusableReleaseError
from saffronstack.fleet.control.messages import LEADER_LEASE
from saffronstack.fleet.control.releases import read_release
from saffronstack.fleet.leases.quorum_read import read_leases
from saffronstack.fleet.leases.store import HeldLease
from saffronstack.fleet.rollout.leader import RolloutLeader
from saffronstack.fleet.rollout.plan import Release, RolloutPlan
from saffronstack.fleet.rollout.plan_validation import validate_plan
from saffronstack.fleet.rollout.record import (
    RolloutPhase,
    RolloutRecord,
    create_record,
    decode_record,
    encode_record,
)
from saffronstack.runtime.threads import start_thread

# Exit status of a leader, by the phase in which it left the rollout.
EXIT_STATUS_BY_PHASE = {RolloutPhase.COMPLETED: 0, RolloutPhase.ROLLED_BACK: 1}
NOT_FINISHED_STATUS = 3  # the rollout is on hold, or another leader continues it
RETRY_INTERVAL_S = 1.0


def start(
    path: str, plan_path: str, new_directory: str, old_directory: str, log_format: str, wait_s: float
) -> int:
    """Check a plan, record it and lead it.

    Returns:
        The exit status: 0 if the rollout completed, 1 if it was rolled back, 2 if it can't be started, 3 if
        it is not finished.
    """
    configure_logging(log_format, "info")
    stopping = _stop_on_signals()
    try:
        fleet = load_fleet_file(path)
        plan = convert(read_text(plan_path), RolloutPlan, plan_path)
        new, old = read_release(new_directory).release, read_release(old_directory).release
        return run_as_leader(fleet, wait_s, lambda held: _start(fleet, held, plan, old, new, stopping))
    except (ConfigError, UnusableReleaseError, ValueError) as error:
        click.echo(f"saffronstack rollout start: {error}", err=True)
        return INVALID_INPUT_STATUS
    except CommandError as error:
        click.echo(f"saffronstack rollout start: {error}", err=True)
        return error.status


def _start(
    fleet: FleetFile,
    held: HeldLease,
    plan: RolloutPlan,
    old: Release,
    new: Release,
    stopping: threading.Event,
) -> int:
    daemons = daemon_client(fleet, held)
    problems = _plan_problems(fleet, held, plan, old, new) + _fleet_problems(daemons, plan)
    if problems:
        raise CommandError(INVALID_INPUT_STATUS, "; ".join(problems))
    record = create_record(plan, old, new)
    if not held.put(encode_record(record), STORE_TIMEOUT_S):
        raise CommandError(NO_MAJORITY_STATUS, "the plan could not be stored; the rollout was not started")
    return _lead(fleet, held, daemons, record, stopping)


def _plan_problems(
    fleet: FleetFile, held: HeldLease, plan: RolloutPlan, old: Release, new: Release
) -> list[str]:
    record = decode_record(held.value)
    running = [record.plan.name] if record is not None and not record.is_finished else []
    return validate_plan(plan, rollout_fleet(fleet).gateways, old, new, running)


def _fleet_problems(daemons: DaemonClient, plan: RolloutPlan) -> list[str]:
    """Return the daemons that do not respond, and the gateways that do not run the plan's base release."""
    polled = merge_responses(daemons.poll())
    unavailable = [
        f"fleet: daemon {name} does not respond: {why}" for name, why in polled.unavailable.items()
    ]
    return unavailable + [
        f"fleet: {name} runs {status.running_release or 'nothing'}, not {plan.base_digest}"
        for name, status in polled.gateways.items() if status.running_release != plan.base_digest
    ]  # fmt: skip


def _lead(
    fleet: FleetFile, held: HeldLease, daemons: DaemonClient, record: RolloutRecord, stopping: threading.Event
) -> int:
    leader = RolloutLeader(
        rollout_fleet(fleet), daemons, held,
        lambda: read_leases(fleet.lease_server_addresses(), fleet.wait_s), _ProgressPrinter().show,
    )  # fmt: skip
    last_record = leader.lead(record, stopping)
    return EXIT_STATUS_BY_PHASE.get(last_record.phase, NOT_FINISHED_STATUS)


class _ProgressPrinter:
    """Prints the state of a rollout whenever it changes."""

    def __init__(self) -> None:
        self._last_line = ""

    def show(self, record: RolloutRecord, awaited: str) -> None:
        waits = f"; waits for {awaited}" if awaited and not record.is_finished else ""
        line = summarize(record) + waits
        if line != self._last_line:
            self._last_line = line
            click.echo(line)


def lead(path: str, log_format: str) -> int:
    """Stand by to lead any recorded rollout, until a signal.

    Returns:
        The exit status: 0, or 2 for an invalid fleet file.
    """
    configure_logging(log_format, "info")
    stopping = _stop_on_signals()
    try:
        fleet = load_fleet_file(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return INVALID_INPUT_STATUS
    client = open_client(fleet)
    click.echo("saffronstack stands by to lead")
    try:
        while not stopping.is_set():
            # Read first: that costs the lease servers no write, but a request for a lease does.
            held = client.acquire(LEADER_LEASE, RETRY_INTERVAL_S) if _has_open_rollout(fleet) else None
            if held is not None:
                _lead_recorded(fleet, held, stopping)
            stopping.wait(RETRY_INTERVAL_S)
    finally:
        client.close()
    return 0


def _lead_recorded(fleet: FleetFile, held: HeldLease, stopping: threading.Event) -> None:
    """Lead the rollout that the lease's value records, then release the lease."""
    try:
        record = decode_record(held.value)
        if record is not None and not record.is_finished:
            _lead(fleet, held, daemon_client(fleet, held), record, stopping)
    except ValueError as error:
        click.echo(f"saffronstack rollout lead: {error}", err=True)
    finally:
        held.release()


def _has_open_rollout(fleet: FleetFile) -> bool:
    try:
        record = read_record(fleet)
    except (CommandError, ValueError):
        return False  # the record can't be read now; the caller tries again
    return record is not None and not record.is_finished


def _stop_on_signals() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set."""
    signals, stopping = queue_signals("SIGTERM", "SIGINT"), threading.Event()

    def watch() -> None:
        while not stopping.is_set():
            try:
                signals.get(timeout=RETRY_INTERVAL_S)
                stopping.set()
            except queue.Empty:
                continue

    start_thread("signals", watch)
    return stopping
