"""`saffronstack rollout start` and `lead`: the processes that lead a rollout, with the judge's statistics."""

from __future__ import annotations

import queue
import threading

import click

from saffronstack.cli.control import RefusedError, daemons_of, under_lead
from saffronstack.cli.leases import NO_MAJORITY, UNUSABLE, open_client, signals_of
from saffronstack.cli.logs import set_up_logs
from saffronstack.cli.rollout import WORD_S, gateways_of, line_of, recorded
from saffronstack.config.fleet import FleetFile, load_fleet
from saffronstack.config.load import ConfigError, convert, read_text
from saffronstack.fleet.control import releases
from saffronstack.fleet.control.daemon_client import Daemons
from saffronstack.fleet.control.messages import LEAD
from saffronstack.fleet.control.status_client import flat
from saffronstack.fleet.leases.reading import read_leases
from saffronstack.fleet.leases.store import Held
from saffronstack.fleet.rollout.controller import Record, first
from saffronstack.fleet.rollout.leader import Leader
from saffronstack.fleet.rollout.plan import Plan, Release, problems
from saffronstack.fleet.rollout.records import decode, encode
from saffronstack.runtime.threads import start_thread

WENT_BACK = 1  # exit status of a rollout that returned
HELD = 3
AGAIN_S = 1.0


def start(path: str, plan_path: str, to: str, old_from: str, log_form: str, wait_s: float) -> int:
    """Check a plan, record it and lead it: 0 done, 1 it went back, 3 it is held, 2 it can't be started."""
    set_up_logs(log_form, "info")
    stopping = _stopping()
    try:
        fleet = load_fleet(path)
        plan = convert(read_text(plan_path), Plan, plan_path)
        new, old = releases.read(to).release, releases.read(old_from).release

        def act(held: Held) -> int:
            return _start(fleet, held, plan, old, new, stopping)

        return under_lead(fleet, wait_s, act)
    except (ConfigError, releases.UnusableError, ValueError) as error:
        click.echo(f"saffronstack rollout start: {error}", err=True)
        return UNUSABLE
    except RefusedError as error:
        click.echo(f"saffronstack rollout start: {error}", err=True)
        return error.status


def _start(
    fleet: FleetFile, held: Held, plan: Plan, old: Release, new: Release, stopping: threading.Event
) -> int:
    record = decode(held.value)
    running = [record.plan.name] if record is not None and not record.over else []
    lines = problems(plan, gateways_of(fleet), old, new, running)
    daemons = daemons_of(fleet, held)
    states, silent = flat(daemons.look())
    lines += [f"fleet: daemon {name} gives no answer: {why}" for name, why in silent.items()]
    lines += [
        f"fleet: {name} runs {state.runs or 'nothing'}, not {plan.base}"
        for name, state in states.items() if state.runs != plan.base
    ]  # fmt: skip
    if lines:
        raise RefusedError(UNUSABLE, "; ".join(lines))
    begun = first(plan, old, new)
    if not held.put(encode(begun), WORD_S):
        raise RefusedError(NO_MAJORITY, "the plan could not be stored: nothing was begun")
    return _lead(fleet, held, daemons, begun, stopping)


def _lead(fleet: FleetFile, held: Held, daemons: Daemons, record: Record, stopping: threading.Event) -> int:
    shown = ""

    def show(now: Record, waits: str) -> None:
        nonlocal shown
        line = line_of(now) + (f"; waits for {waits}" if waits and not now.over else "")
        if line != shown:
            shown = line
            click.echo(line)

    leader = Leader(
        gateways_of(fleet), fleet.daemon_of(), daemons, held,
        lambda: read_leases(fleet.addresses(), fleet.wait_s), show,
    )  # fmt: skip
    ended = leader.lead(record, stopping)
    return {"done": 0, "returned": WENT_BACK}.get(ended.way, HELD)


def lead(path: str, log_form: str) -> int:
    """Stand by to lead whatever rollout is recorded, until a signal; 0, or 2 for a bad file."""
    set_up_logs(log_form, "info")
    stopping = _stopping()
    try:
        fleet = load_fleet(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return UNUSABLE
    client = open_client(fleet)
    click.echo("saffronstack stands by to lead")
    try:
        while not stopping.is_set():
            # A look costs keepers no write; asking for a lease does.
            held = client.acquire(LEAD, AGAIN_S) if _to_lead(fleet) else None
            if held is None:
                stopping.wait(AGAIN_S)
                continue
            try:
                record = decode(held.value)
                if record is not None and not record.over:
                    _lead(fleet, held, daemons_of(fleet, held), record, stopping)
            except ValueError as error:
                click.echo(f"saffronstack rollout lead: {error}", err=True)
            finally:
                held.release()
            stopping.wait(AGAIN_S)
    finally:
        client.close()
    return 0


def _to_lead(fleet: FleetFile) -> bool:
    try:
        record = recorded(fleet)
    except (RefusedError, ValueError):
        return False
    return record is not None and not record.over


def _stopping() -> threading.Event:
    signals, stopping = signals_of("SIGTERM", "SIGINT"), threading.Event()

    def watch() -> None:
        while not stopping.is_set():
            try:
                signals.get(timeout=AGAIN_S)
                stopping.set()
            except queue.Empty:
                continue

    start_thread("signals", watch)
    return stopping
