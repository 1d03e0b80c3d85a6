"""`saffronstack rollout`: a change of release in stages, led under a lease."""

from __future__ import annotations

import queue
import threading

import click
import msgspec

from saffronstack.cli.control import Refused, daemons_of, under_lead
from saffronstack.cli.leases import NO_MAJORITY, UNUSABLE, open_client, signals_of
from saffronstack.cli.logs import set_up_logs
from saffronstack.config.fleet import FleetFile, load_fleet
from saffronstack.config.load import ConfigError, convert, read_text
from saffronstack.core.threads import spawn
from saffronstack.fleet.control import releases
from saffronstack.fleet.control.asking import flat
from saffronstack.fleet.control.words import LEAD, WORDS
from saffronstack.fleet.leases.reading import read_leases
from saffronstack.fleet.leases.store import Held
from saffronstack.fleet.rollout.controller import Record, first
from saffronstack.fleet.rollout.leader import Daemons, Leader, Said, decode, encode
from saffronstack.fleet.rollout.plan import Gateway, Plan, Release, problems

WENT_BACK = 1  # exit status of a rollout that returned
HELD = 3
WORD_S = 5.0
AGAIN_S = 1.0


def gateways_of(fleet: FleetFile) -> list[Gateway]:
    """As a plan sees them."""
    return [
        Gateway(name=one.name, zone=one.zone, group=one.group)
        for daemon in fleet.daemons for one in daemon.gateways
    ]  # fmt: skip


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
    except (ConfigError, releases.Unusable, ValueError) as error:
        click.echo(f"saffronstack rollout start: {error}", err=True)
        return UNUSABLE
    except Refused as error:
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
        raise Refused(UNUSABLE, "; ".join(lines))
    begun = first(plan, old, new)
    if not held.put(encode(begun), WORD_S):
        raise Refused(NO_MAJORITY, "the plan could not be stored: nothing was begun")
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
        record = _recorded(fleet)
    except (Refused, ValueError):
        return False
    return record is not None and not record.over


def say(path: str, what: str) -> int:
    """Leave a word for whoever leads: 0 once a majority has it; who leads takes it within seconds."""
    try:
        fleet = load_fleet(path)
        record = _recorded(fleet)
        if record is None or record.over:
            raise Refused(UNUSABLE, "no rollout is under way")
        client = open_client(fleet)
        try:
            held = client.acquire(WORDS, WORD_S)
            if held is None:
                raise Refused(NO_MAJORITY, f"the word was not left: {client.troubles()}")
            said = Said(record.plan.name, what, held.token)
            stored = held.put(msgspec.json.encode(said), WORD_S)
            held.release()
        finally:
            client.close()
        if not stored:
            raise Refused(NO_MAJORITY, "the word may or may not have been left: say it again")
    except ConfigError as error:
        click.echo(str(error), err=True)
        return UNUSABLE
    except (Refused, ValueError) as error:
        click.echo(f"saffronstack rollout {what}: {error}", err=True)
        return error.status if isinstance(error, Refused) else UNUSABLE
    click.echo(f"{record.plan.name}: {what} is left for the leader")
    return 0


def status(path: str, as_json: bool) -> int:
    """The rollout as it is recorded; 0, 1 where there is none, 2, or 69 without a majority."""
    try:
        fleet = load_fleet(path)
        record = _recorded(fleet)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return UNUSABLE
    except (Refused, ValueError) as error:
        click.echo(f"saffronstack rollout status: {error}", err=True)
        return error.status if isinstance(error, Refused) else UNUSABLE
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
        new, old = releases.read(to).release, releases.read(old_from).release
    except (ConfigError, releases.Unusable) as error:
        click.echo(str(error), err=True)
        return 1
    lines = problems(plan, gateways_of(fleet), old, new)
    for line in lines:
        click.echo(f"{plan_path}: {line}", err=True)
    if not lines:
        click.echo(f"{plan_path}: good: {len(plan.stages)} stages, {old.version} to {new.version}")
    return 1 if lines else 0


def _recorded(fleet: FleetFile) -> Record | None:
    reading = read_leases(fleet.addresses(), fleet.wait_s)
    if not reading.majority:
        raise Refused(NO_MAJORITY, f"no majority of keepers answers: {reading.troubles}")
    shown = reading.leases.get(LEAD)
    return decode(shown.value.content) if shown is not None else None


def line_of(record: Record) -> str:
    """One line."""
    stage = f"stage {record.stage + 1} of {len(record.plan.stages)}"
    how = "paused, " if record.paused else ""
    why = f": {record.why}" if record.why else ""
    versions = f"{record.old.version} to {record.new.version}"
    return f"{record.plan.name}: {how}{record.way}, {stage}, {versions}{why}"


def _stopping() -> threading.Event:
    signals, stopping = signals_of("SIGTERM", "SIGINT"), threading.Event()

    def watch() -> None:
        while not stopping.is_set():
            try:
                signals.get(timeout=AGAIN_S)
                stopping.set()
            except queue.Empty:
                continue

    spawn("signals", watch)
    return stopping
