"""`saffronstack fleet`: the daemon of a machine, and one tool for many gateways."""

from __future__ import annotations

import queue
import sys
import time
from collections.abc import Callable, Mapping, Sequence

import click
import msgspec

from saffronstack.cli.leases import NO_MAJORITY, NOT_GRANTED, UNUSABLE, open_client, signals_of
from saffronstack.cli.logs import set_up_logs
from saffronstack.config.fleet import FleetFile, load_fleet
from saffronstack.config.load import ConfigError
from saffronstack.fleet.control import releases
from saffronstack.fleet.control.daemon import Daemon, Entry
from saffronstack.fleet.control.daemon_client import Daemons
from saffronstack.fleet.control.messages import LEAD, GatewayState, Order
from saffronstack.fleet.control.status_client import ask_status, flat
from saffronstack.fleet.leases.quorum_read import QuorumRead, read_leases
from saffronstack.fleet.leases.store import HeldLease
from saffronstack.fleet.rollout.records import decode

LOOK_S = 0.2
SILENT = 1  # exit status: some daemon or gateway is not as asked


def run_daemon(path: str, name: str, log_form: str) -> int:
    """Keep a machine's gateways until a signal. SIGTERM leaves them serving, SIGINT ends them too; 2 where it
    can't start."""
    set_up_logs(log_form, "info")
    signals = signals_of("SIGTERM", "SIGINT")
    try:
        fleet = load_fleet(path)
        entry = next((one for one in fleet.daemons if one.name == name), None)
        if entry is None:
            raise ConfigError(f"{path}: daemons: none is named {name!r}")
        daemon = Daemon(
            fleet.fleet, name, entry.address,
            [Entry(one.name, one.listen, one.config, one.drain_s) for one in entry.gateways],
            entry.releases, entry.state_directory,
            lambda: read_leases(fleet.addresses(), fleet.wait_s), went_back,
        )  # fmt: skip
    except (ConfigError, OSError, ValueError) as error:
        click.echo(f"saffronstack fleet daemon: {error}", err=True)
        return UNUSABLE
    daemon.start()
    host, port = daemon.address
    click.echo(f"saffronstack daemon {name} of fleet {fleet.fleet} on http://{host}:{port}")
    sys.stdout.flush()
    while True:
        try:
            number = signals.get(timeout=1.0)
            break
        except queue.Empty:
            continue
    return 0 if daemon.stop(end_gateways=number == 2) else 1


def went_back(reading: QuorumRead) -> dict[str, str]:
    """Which release takes which one's place by a rollout that is on its way back."""
    shown = reading.leases.get(LEAD)
    try:
        record = decode(shown.value.content) if shown is not None else None
    except ValueError:
        return {}
    if record is None or record.way != "back":
        return {}
    return {record.new.digest: record.old.digest}


class RefusedError(Exception):
    """A command can't be carried out; the text and the exit status say why."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def under_lead(fleet: FleetFile, wait_s: float, act: Callable[[HeldLease], int]) -> int:
    """Do something as the fleet's only leader; its status, or why it could not be."""
    client = open_client(fleet)
    try:
        held = client.acquire(LEAD, wait_s)
        if held is None:
            troubles = client.link_errors()
            if sum(not trouble for trouble in troubles.values()) <= len(fleet.keepers) // 2:
                lines = "; ".join(f"{keeper}: {why}" for keeper, why in troubles.items() if why)
                raise RefusedError(NO_MAJORITY, f"no majority of keepers answers: {lines}")
            raise RefusedError(
                NOT_GRANTED, f"{LEAD} was not granted within {wait_s:g} s: a rollout is being led"
            )
        try:
            return act(held)
        finally:
            held.release()
    finally:
        client.close()


def daemons_of(fleet: FleetFile, held: HeldLease) -> Daemons:
    """The daemons, to be asked under a lease."""
    addresses = {one.name: one.address for one in fleet.daemons}
    return Daemons(fleet.fleet, addresses, held.token, lambda: held.remaining_s() > 0)


def order(path: str, names: Sequence[str], what: str, release: str, wait_s: float, as_json: bool) -> int:
    """Start, stop or reload gateways (all, without names) and wait until they are so: 0, 1 where some are
    not, 2 for bad words, 69 and 75 as for leases."""
    try:
        fleet = load_fleet(path)
        wanted = _wanted(fleet, names)
        digest = releases.read(release).release.digest if release else ""

        def act(held: HeldLease) -> int:
            return _order(fleet, held, wanted, what, digest, wait_s, as_json)

        return under_lead(fleet, wait_s, act)
    except (ConfigError, releases.UnusableError, ValueError) as error:
        click.echo(str(error), err=True)
        return UNUSABLE
    except RefusedError as error:
        click.echo(f"saffronstack fleet {what}: {error}", err=True)
        return error.status


def _wanted(fleet: FleetFile, names: Sequence[str]) -> list[str]:
    known = fleet.daemon_of()
    unknown = [name for name in names if name not in known]
    if unknown:
        raise ValueError(f"no gateway of the fleet: {', '.join(unknown)}")
    return list(names) or list(known)


def _order(
    fleet: FleetFile, held: HeldLease, wanted: list[str], what: str, digest: str, wait_s: float, as_json: bool
) -> int:
    record = decode(held.value)
    if record is not None and not record.over:
        raise RefusedError(NOT_GRANTED, f"rollout {record.plan.name!r} is not over: abort it, or let it end")
    daemons, daemon_of = daemons_of(fleet, held), fleet.daemon_of()
    states, silent = flat(daemons.look())
    orders: dict[str, list[Order]] = {}
    aims: dict[str, str] = {}
    for name in wanted:
        if daemon_of[name] in silent:
            continue
        state = states[name]
        aims[name] = digest if what == "start" else "" if what == "stop" else state.wanted
        if what == "start" and not digest:
            raise RefusedError(UNUSABLE, "start needs --release")
        orders.setdefault(daemon_of[name], []).append(Order(name, aims[name], what == "reload"))
    refused = {name: why for name, why in daemons.ask(orders).items() if isinstance(why, str)}
    until_s = time.monotonic() + wait_s
    while True:
        states, silent = flat(daemons.look())
        late = [name for name in wanted if not _as(states.get(name), aims.get(name))]
        if not late or time.monotonic() >= until_s or held.remaining_s() <= 0:
            break
        time.sleep(LOOK_S)
    show(fleet, states, silent | refused, as_json)
    return SILENT if late or silent or refused else 0


def _as(state: GatewayState | None, aim: str | None) -> bool:
    if state is None or aim is None:
        return False
    return state.wanted == aim and state.runs == aim and state.state in (("up",) if aim else ("none", "down"))


def status(path: str, as_json: bool) -> int:
    """How each gateway stands, by its daemon: 0, or 1 where a daemon is silent or a gateway not as wanted."""
    try:
        fleet = load_fleet(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return UNUSABLE
    addresses = {one.name: one.address for one in fleet.daemons}
    states, silent = flat(ask_status(addresses, fleet.wait_s))
    show(fleet, states, silent, as_json)
    return SILENT if silent or any(one.wanted != one.runs for one in states.values()) else 0


def show(
    fleet: FleetFile, states: Mapping[str, GatewayState], silent: Mapping[str, str], as_json: bool
) -> None:
    """A line for each gateway."""
    for name, daemon in fleet.daemon_of().items():
        state = states.get(name)
        if as_json:
            told = msgspec.to_builtins(state) if state is not None else {"silent": silent.get(daemon, "")}
            click.echo(msgspec.json.encode({"gateway": name, "daemon": daemon, **told}).decode())
        elif state is None:
            click.echo(f"{name:<20} {daemon}: no answer: {silent.get(daemon, 'unknown there')}")
        else:
            runs = state.runs[:12] or "-"
            wanted = "" if state.wanted == state.runs else f", wanted {state.wanted[:12] or 'none'}"
            why = f", {state.why}" if state.why and (state.refused or state.state != "up") else ""
            click.echo(
                f"{name:<20} {daemon}: {state.state}, runs {runs}{wanted}, pid {state.pid}, "
                f"{state.restarts} restarts{why}"
            )


def release_digest(directory: str) -> int:
    """A release's version and digest; 0, or 2 where it is none."""
    try:
        found = releases.read(directory)
    except releases.UnusableError as error:
        click.echo(str(error), err=True)
        return UNUSABLE
    click.echo(f"{found.release.digest}  {found.release.version}")
    return 0
