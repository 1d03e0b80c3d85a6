"""`saffronstack keeper` and `saffronstack lease`: keepers of a fleet's leases, and work under a lease."""

from __future__ import annotations

import contextlib
import os
import queue
import secrets
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from types import FrameType

import click
import msgspec
import structlog

from saffronstack.cli.logs import set_up_logs
from saffronstack.client import Client
from saffronstack.config.fleet import FleetFile, TaskEntry, load_fleet
from saffronstack.config.load import ConfigError
from saffronstack.fleet.leases.client import LeaseClient
from saffronstack.fleet.leases.disk import AcceptorDisk
from saffronstack.fleet.leases.errors import ForeignStateError, UnknownServerError
from saffronstack.fleet.leases.lease_server import LeaseServer
from saffronstack.fleet.leases.limits import LeaseFleet, LeaseLimits
from saffronstack.fleet.leases.quorum_read import read_leases
from saffronstack.fleet.leases.store import HeldLease
from saffronstack.fleet.tasks.fleet_usage import FleetUsageTask
from saffronstack.fleet.tasks.garbage_collection import GarbageCollectionTask
from saffronstack.fleet.tasks.orphan_takeover import OrphanTakeoverTask
from saffronstack.fleet.tasks.runner import TaskRunner
from saffronstack.fleet.tasks.task import Task
from saffronstack.http1.messages import HttpError

log = structlog.get_logger("saffronstack.keeper")
NO_MAJORITY = 69  # EX_UNAVAILABLE of sysexits.h
NOT_GRANTED = 75  # EX_TEMPFAIL
LOST = 76
UNUSABLE = 2
TERM_PART = 0.4  # of the lease's time that is left when the command is asked to end
KILL_PART = 0.15  # and when it is killed: a lease lives on a renewal each third of its time
LOOK_S = 0.02


def lease_fleet_of(fleet: FleetFile) -> LeaseFleet:
    """Return the lease servers of a fleet's file, and their limits."""
    addresses = fleet.addresses()
    limits = LeaseLimits(tuple(sorted(addresses)), max_lease_s=fleet.longest_s, max_clock_drift=fleet.drift)
    return LeaseFleet(fleet.fleet, addresses, limits, fleet.wait_s)


def establish(path: str, name: str, directory: str) -> int:
    """Make a directory that of a keeper of a new fleet; 0, or 2 with the reason."""
    try:
        fleet = load_fleet(path)
        servers = lease_fleet_of(fleet).limits.servers
        if name not in servers:
            raise UnknownServerError(f"{path}: {name!r} is none of the keepers {', '.join(servers)}")
        AcceptorDisk(directory, fleet.fleet, name, servers).establish()
    except (ConfigError, OSError, ValueError) as error:
        click.echo(f"saffronstack keeper establish: {error}", err=True)
        return UNUSABLE
    click.echo(f"{directory}: keeper {name} of a new fleet {fleet.fleet}")
    return 0


def run_keeper(path: str, name: str, directory: str, log_form: str) -> int:
    """Keep leases until a signal; 0, or 2 where it can't start."""
    set_up_logs(log_form, "info")
    signals = _signals(signal.SIGTERM, signal.SIGINT)
    try:
        fleet = load_fleet(path)
        server = LeaseServer(name, lease_fleet_of(fleet), directory)
        host, port = server.start()
    except (ConfigError, ForeignStateError, OSError, ValueError) as error:
        click.echo(f"saffronstack keeper: {error}", err=True)
        return UNUSABLE
    click.echo(f"saffronstack keeper {name} of fleet {fleet.fleet} on http://{host}:{port}")
    sys.stdout.flush()
    while True:
        try:
            signals.get(timeout=1.0)
            break
        except queue.Empty:
            continue
    server.stop()
    return 0


def _ask(address: str, target: str, wait_s: float) -> object:
    client = Client(address, wait_s)
    try:
        return msgspec.json.decode(client.request("GET", target).body)
    finally:
        client.close()


def keeper_status(path: str, as_json: bool) -> int:
    """How each keeper stands; 0 where a majority votes, 69 where not, 2 for a bad file."""
    try:
        fleet = load_fleet(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return UNUSABLE
    votes = 0
    for name, address in fleet.addresses().items():
        try:
            told = _ask(address, "/status", fleet.wait_s)
            state = dict(told) if isinstance(told, dict) else {"error": "no status"}
        except (OSError, HttpError, msgspec.MsgspecError) as error:
            state = {"error": str(error) or type(error).__name__}
        votes += bool(state.get("votes"))
        if as_json:
            click.echo(msgspec.json.encode({"keeper": name, "address": address, **state}).decode())
        elif "error" in state:
            click.echo(f"{name} {address}: no answer: {state['error']}")
        else:
            how = "votes" if state["votes"] else "does not vote"
            if state["disk"] == "replaced":
                how += ": another came in its place; stop it, and give it an empty directory if it is the one"
            elif not state["votes"]:
                how += (
                    f" for {state['votes_in_s']} s"
                    if state["votes_in_s"]
                    else ": others must tell it what they hold"
                )
            trouble = f", disk: {state['trouble']}" if state["trouble"] else ""
            click.echo(f"{name} {address}: {how}, disk {state['disk']}, {state['leases']} leases{trouble}")
    majority = len(fleet.keepers) // 2 + 1
    if votes < majority:
        click.echo(f"no majority: {votes} of {len(fleet.keepers)} vote, {majority} are needed", err=True)
        return NO_MAJORITY
    return 0


def lease_list(path: str, only: str, as_json: bool) -> int:
    """What a majority of keepers shows of each lease; 0, 1 for an unknown one, 69 without a majority."""
    try:
        fleet = load_fleet(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return UNUSABLE
    reading = read_leases(fleet.addresses(), fleet.wait_s)
    for keeper, trouble in reading.errors.items():
        click.echo(f"{fleet.addresses()[keeper]}: no answer: {trouble}", err=True)
    if not reading.has_majority:
        answered = len(fleet.keepers) - len(reading.errors)
        click.echo(f"no majority: {answered} of {len(fleet.keepers)} answered", err=True)
        return NO_MAJORITY
    if only and only not in reading.leases:
        click.echo(f"{only}: no keeper knows it", err=True)
        return 1
    for lease, shown in sorted(reading.leases.items()):
        if only and lease != only:
            continue
        if as_json:
            told = {
                "lease": lease, "holder": shown.holder, "token": shown.token, "held": bool(shown.holder),
                "granted_by": shown.granted_by, "left_s": shown.remaining_s, "value": shown.value,
            }  # fmt: skip
            click.echo(msgspec.json.encode(told).decode())
        elif shown.holder:
            click.echo(f"{lease}: held by {shown.holder}, token {shown.token}, {shown.remaining_s} s left")
        else:
            click.echo(f"{lease}: free, last token {shown.token}")
    return 0


def run_tasks(path: str, log_form: str) -> int:
    """Run the tasks of the fleet's file until a signal; 0, 1 where a run did not end, 2 for a bad file."""
    set_up_logs(log_form, "info")
    signals = _signals(signal.SIGTERM, signal.SIGINT)
    try:
        fleet = load_fleet(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return UNUSABLE
    client = open_client(fleet)
    runners = [
        TaskRunner(task.name, job_of(task, client), task.period_s, task.budget_s, client)
        for task in fleet.tasks
    ]
    for runner in runners:
        runner.start()
    click.echo(f"saffronstack runs {', '.join(runner.name for runner in runners) or 'no task'}")
    sys.stdout.flush()
    while True:
        try:
            signals.get(timeout=1.0)
            break
        except queue.Empty:
            continue
    clean = all([runner.stop() for runner in runners])
    client.close()
    return 0 if clean else 1


def job_of(task: TaskEntry, client: LeaseClient) -> Task:
    """What a task of the file does."""
    if task.kind == "usage":
        return FleetUsageTask(task.usage, task.output)
    if task.kind == "takeover":
        return OrphanTakeoverTask(task.ledgers, task.config, client)
    return GarbageCollectionTask(task.outputs, task.ledgers)


def _signals(*wanted: int) -> queue.SimpleQueue[int]:
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()

    def note(number: int, _frame: FrameType | None) -> None:
        signals.put(number)

    for number in wanted:
        signal.signal(number, note)
    return signals


def signals_of(*names: str) -> queue.SimpleQueue[int]:
    """Signals by name, as they come."""
    return _signals(*(signal.Signals[name] for name in names))


def open_client(fleet: FleetFile) -> LeaseClient:
    """This process's leases."""
    return LeaseClient(lease_fleet_of(fleet), process_name(), fleet.lease_s, secrets.randbits(31))


def process_name() -> str:
    """A name for this life of this process."""
    return f"{socket.gethostname()}-{os.getpid()}-{secrets.token_hex(4)}"


def lease_run(path: str, lease: str, wait_s: float, command: Sequence[str]) -> int:
    """Run a command while the lease is held; its exit status, or one of those above."""
    set_up_logs("console", "warning")
    signals = _signals(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    try:
        fleet = load_fleet(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return UNUSABLE
    client = open_client(fleet)
    try:
        held = client.acquire(lease, wait_s)
        if held is None:
            reached = sum(not trouble for trouble in client.link_errors().values())
            if reached < len(fleet.keepers) // 2 + 1:
                troubles = client.link_errors().items()
                lines = "; ".join(f"{keeper}: {trouble}" for keeper, trouble in troubles if trouble)
                click.echo(f"saffronstack lease run: no majority of keepers answers: {lines}", err=True)
                return NO_MAJORITY
            click.echo(f"saffronstack lease run: {lease} was not granted within {wait_s:g} s", err=True)
            return NOT_GRANTED
        return _run_under(held, fleet.lease_s, command, signals)
    finally:
        client.close()


def _run_under(
    held: HeldLease, lease_s: float, command: Sequence[str], signals: queue.SimpleQueue[int]
) -> int:
    environment = {**os.environ, "SAFFRON_LEASE": held.lease, "SAFFRON_LEASE_TOKEN": str(held.token)}
    try:
        process = subprocess.Popen(list(command), env=environment, start_new_session=True)
    except OSError as error:
        click.echo(f"saffronstack lease run: {command[0]}: {error.strerror}", err=True)
        return 127 if isinstance(error, FileNotFoundError) else 126
    asked = False
    while True:
        try:
            status = process.wait(LOOK_S)
        except subprocess.TimeoutExpired:
            status = None
        if status is not None and not asked:
            held.release()
            return status if status >= 0 else 128 - status
        if status is not None:
            click.echo(f"saffronstack lease run: {held.lease} was lost; the command was ended", err=True)
            return LOST
        with contextlib.suppress(queue.Empty):
            _signal(process, signals.get_nowait())
        # Renewed each third of its time, it never has so little left while a majority answers.
        left_s = held.remaining_s()
        if left_s < KILL_PART * lease_s:
            _signal(process, signal.SIGKILL)
            asked = True
        elif left_s < TERM_PART * lease_s and not asked:
            _signal(process, signal.SIGTERM)
            asked = True


def _signal(process: subprocess.Popen[bytes], number: int) -> None:
    """To all of its group: what it started acts under the lease too."""
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, number)
