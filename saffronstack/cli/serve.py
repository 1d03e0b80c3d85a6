"""`saffronstack serve`: the daemon in the foreground, its logs and signals."""

from __future__ import annotations

import json
import os
import queue
import signal
import socket
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from types import FrameType

import click
import msgspec
import structlog

from saffronstack import config as configs
from saffronstack.cli.fleet_services import FleetServices
from saffronstack.cli.ledger_ownership import LedgerOwnership, own_ledger
from saffronstack.cli.logs import set_up_logs
from saffronstack.config.schema import Config, Ledger
from saffronstack.daemon.errors import StartupError
from saffronstack.daemon.heartbeat_monitor import HEARTBEAT_INTERVAL_S, STOPPED_TIMEOUT_S
from saffronstack.daemon.listener_handover import MARK_VARIABLE, ListenerHandover
from saffronstack.daemon.process_group import ProcessGroup
from saffronstack.daemon.standby import wait_until_allowed
from saffronstack.daemon.state_directories import find_stranded_ledgers, process_directory
from saffronstack.daemon.supervisor import Supervisor, gateway_command
from saffronstack.durable.errors import JournalError
from saffronstack.gateway import Gateway
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.fleet import StandInFleet, sample

log = structlog.get_logger("saffronstack.serve")
FINISH_LOOK_S = 0.1
ACCEPTS_S = 2.0  # the accepting thread looks up every half second without anything to accept


def choose_cpus(wanted: str, allowed: set[int], turn: int) -> set[int]:
    """The processors to run on; ValueError where ``wanted`` is none of the forms or not allowed here.

    One is the default: only one thread holds the interpreter's lock at a time, and handing it over between
    processors costs more than the work between two of them (docs/results.md). ``turn`` spreads gateways.
    """
    if wanted == "all":
        return allowed
    if wanted == "one":
        return {sorted(allowed)[turn % len(allowed)]}
    chosen = {int(part) for part in wanted.split(",")}
    if not chosen <= allowed:
        raise ValueError(f"--cpus: {sorted(chosen - allowed)} are not allowed here, only {sorted(allowed)}")
    return chosen


@dataclass(frozen=True, slots=True)
class Options:
    """What the command line says."""

    path: str | None
    listen: str | None
    ledger: str | None
    record_to: str
    cpus: str
    log_form: str
    log_level: str
    member: str = ""  # INDEX/COUNT of a process under a supervisor
    stopped_s: float = (
        STOPPED_TIMEOUT_S  # silence after which the supervisor replaces a stopped process; 0: never
    )
    fleet: str = ""  # the fleet's file, where the ledger may be taken over
    name: str = ""  # this gateway's in the fleet
    ledger_home: str = ""  # in place of fleet and name: a home that was entered under this token
    ledger_token: int = 0
    finish: bool = False  # end once no deferred call is open
    listen_fd: int = -1  # of a bound socket that a daemon holds
    standby: bool = False  # prepare, then wait for a word on standard input


def _pin(wanted: str, turn: int) -> None:
    if hasattr(os, "sched_setaffinity"):
        os.sched_setaffinity(0, choose_cpus(wanted, set(os.sched_getaffinity(0)), turn))


def _signals() -> queue.SimpleQueue[int]:
    """Signals as they come. The handler only queues: it may run between any two instructions."""
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()

    def note(number: int, _frame: FrameType | None) -> None:
        signals.put(number)

    for wanted in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(wanted, note)
    return signals


def _deaf() -> None:
    """All is done: a signal that comes while the interpreter ends must not make a failure of the exit
    status.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


def _end_with_parent(signals: queue.SimpleQueue[int]) -> None:
    """Standard input is a pipe of the supervisor's: its end is the supervisor's, however that came."""

    def watch() -> None:
        while os.read(0, 1024):
            continue
        signals.put(signal.SIGTERM)

    start_thread("parent", watch)


def _announce(line: str) -> None:
    """Tell whoever started this process, which may have ended meanwhile: what is served goes on without."""
    try:
        click.echo(line)
        sys.stdout.flush()
    except BrokenPipeError:
        with open(os.devnull, "wb") as nowhere:  # what is still buffered would fail again at the exit
            os.dup2(nowhere.fileno(), sys.stdout.fileno())


def _wait_in_standby() -> bool:
    """Report that all is loaded and nothing opened, and wait; whether this process may serve."""
    _announce("saffronstack is prepared")
    return wait_until_allowed(sys.stdin.fileno())


def _hand_over(listener: socket.socket | None) -> ListenerHandover | None:
    """The daemon that made this socket may be replaced; the next one asks for it."""
    mark = os.environ.get(MARK_VARIABLE, "")
    if listener is None or not mark:
        return None
    try:
        return ListenerHandover(mark, listener)
    except OSError as error:
        log.warning("a daemon that comes anew gets no socket from this gateway", error=str(error))
        return None


def _show_life(gateway: Gateway, leaving: threading.Event) -> None:
    """A line for the supervisor while the threads that matter come round: accepting and decisions. One that
    was told to end has its own bounds for that.
    """
    pause = threading.Event()
    while True:
        decided = threading.Event()
        gateway.engine.inspect(lambda now, router, decided=decided: decided.set())  # type: ignore[misc]
        while not decided.wait(0.2) and not leaving.is_set():
            continue
        if gateway.server.accepting(ACCEPTS_S) or leaving.is_set():
            try:
                os.write(1, b"alive\n")
            except OSError:
                return  # the supervisor is gone, and so will this process be
        pause.wait(HEARTBEAT_INTERVAL_S)


@dataclass
class _Parts:
    """What runs beside the gateway in this process, as far as its options ask for it."""

    standins: StandInFleet | None = None
    ownership: LedgerOwnership | None = None
    fleet: FleetServices | None = None
    members: ProcessGroup | None = None
    listener: socket.socket | None = None

    def stop(self, clean: bool) -> bool:
        """Stop them after the gateway; ``clean``: whether that one ended cleanly. Whether all did."""
        if self.standins is not None:
            self.standins.stop()
        if self.ownership is not None:
            self.ownership.close(clean)
        if self.fleet is not None:
            clean = self.fleet.stop() and clean
        return clean


def run(options: Options) -> int:
    """Serve until a signal says stop; 0 after a clean end, 1 after an unclean one, 2 where it can't start."""
    set_up_logs(options.log_form, options.log_level)
    signals = _signals()
    leaving = threading.Event()
    parts = _Parts()
    try:
        gateway = _gateway(options, parts)
        if gateway is None:
            return 0
        host, port = gateway.start()
    except (configs.ConfigError, JournalError, OSError, ValueError) as error:
        click.echo(f"saffronstack serve: {error}", err=True)
        parts.stop(clean=False)
        return 2
    handing = _hand_over(parts.listener)
    _announce(f"saffronstack takes calls on http://{host}:{port}")
    if parts.members is not None:
        _end_with_parent(signals)
        start_thread("life", lambda: _show_life(gateway, leaving))
    if parts.ownership is not None:
        start_thread("ledger-ownership", parts.ownership.watch)
    number = _wait_for_end(gateway, options, signals)
    log.info("stopping", signal=signal.Signals(number).name)
    leaving.set()
    clean = gateway.stop()
    if handing is not None:
        handing.stop()
    clean = parts.stop(clean)
    log.info("stopped", clean=clean)
    _deaf()
    return 0 if clean else 1


def _gateway(options: Options, parts: _Parts) -> Gateway | None:
    """The gateway that the options ask for, not started, and what runs beside it in ``parts``; None where it
    stood by and was not told to go. ConfigError, JournalError, OSError, ValueError.
    """
    if options.path is None:
        config = _sample(options, parts)
    else:
        whole = _overridden(configs.load(options.path), options)
        config, parts.members = _member(whole, options.member)
        # With stand-ins in the same process there would be more to run.
        _pin(options.cpus, parts.members.index if parts.members is not None else os.getpid())
    if options.listen_fd >= 0:
        parts.listener = socket.socket(fileno=options.listen_fd)
    if options.standby and not _wait_in_standby():
        return None
    parts.ownership = own_ledger(
        options.fleet, options.name, options.ledger_home, options.ledger_token, config
    )
    if parts.ownership is not None:
        config = parts.ownership.config
    if config.fleet is not None and not options.finish:
        if parts.members is not None:
            raise configs.ConfigError("fleet: goes with one process, and not with --processes")
        parts.fleet = FleetServices(config.fleet)
    return Gateway(
        config,
        record_to=options.record_to,
        members=parts.members,
        files=parts.ownership.files if parts.ownership is not None else None,
        owns_ledger=parts.ownership.is_current if parts.ownership is not None else None,
        listener=parts.listener,
    )


def _sample(options: Options, parts: _Parts) -> Config:
    """Without a configuration: a gateway before workers that are emulated in this process."""
    parts.standins = StandInFleet(4)
    directory = options.ledger or tempfile.mkdtemp(prefix="saffronstack-ledger-")
    listen = options.listen or "127.0.0.1:9000"
    return configs.parse(json.dumps(sample(parts.standins.entries(), listen, directory)), "sample")


def _wait_for_end(gateway: Gateway, options: Options, signals: queue.SimpleQueue[int]) -> int:
    """The signal to end by; SIGHUP rereads the configuration. One that only finishes what is open ends by
    itself.
    """
    while True:
        try:
            number = signals.get(timeout=FINISH_LOOK_S if options.finish else 1.0)
        except queue.Empty:
            if options.finish and gateway.deferred is not None and not gateway.deferred.open_calls:
                return signal.SIGTERM
            continue
        if number != signal.SIGHUP:
            return number
        if options.path is not None:
            _reread(gateway, options)


def supervise(options: Options, count: int) -> int:
    """Serve with several processes on one address, each a front end of its own to the module."""
    set_up_logs(options.log_form, options.log_level)
    signals = _signals()
    assert options.path is not None
    try:
        config = _overridden(configs.load(options.path), options)
        left = find_stranded_ledgers(config.ledger.directory, count) if config.ledger is not None else []
        if left:
            raise ValueError(
                f"deferred calls may be open in {', '.join(left)}: start as many processes as before, "
                "or let a gateway of its own finish them (--ledger)"
            )
        host, _, port = config.listen.rpartition(":")
        arguments = [
            "serve",
            "--config",
            options.path,
            "--cpus",
            options.cpus,
            "--log",
            options.log_form,
            "--log-level",
            options.log_level,
        ]
        if options.ledger:
            arguments += ["--ledger", options.ledger]
        supervisor = Supervisor(
            gateway_command(arguments), count, host, int(port), stopped_timeout_s=options.stopped_s
        )
        supervisor.start()
    except (configs.ConfigError, StartupError, OSError, ValueError) as error:
        click.echo(f"saffronstack serve: {error}", err=True)
        return 2
    _announce(f"saffronstack takes calls on http://{supervisor.host}:{supervisor.port}")
    number = supervisor.run_until_signal(signals)
    log.info("stopping", signal=signal.Signals(number).name)
    longest_s = max(cls.deadline_s for cls in config.classes) + config.limits.write_timeout_s + 15.0
    status = supervisor.stop(longest_s)
    _deaf()
    return 0 if status == 0 else 1


def _member(config: Config, member: str) -> tuple[Config, ProcessGroup | None]:
    """One process's own configuration: its place among all front ends, its ledger, its seed."""
    if not member:
        return config, None
    index, count = (int(part) for part in member.split("/"))
    operations = config.operations
    state = config.ledger or config.metering
    directory = state.directory if state is not None else (operations.directory if operations else None)
    directory = directory or ""  # where processes find each other
    ledger = config.ledger
    if ledger is not None:
        ledger = msgspec.structs.replace(ledger, directory=process_directory(directory, index))
    metering = config.metering
    if metering is not None:
        metering = msgspec.structs.replace(metering, directory=process_directory(metering.directory, index))
    if operations is not None and operations.directory is not None:
        place = process_directory(operations.directory, index)
        operations = msgspec.structs.replace(operations, directory=place)
    own = msgspec.structs.replace(
        config,
        operations=operations,
        ledger=ledger,
        metering=metering,
        instances=config.instances * count,
        self_index=config.self_index * count + index,
        seed=config.seed * count + index,
    )
    return own, ProcessGroup(index, count, directory, time.monotonic)


def _overridden(config: Config, options: Options) -> Config:
    listen, ledger = options.listen, options.ledger
    if listen:
        config = msgspec.structs.replace(config, listen=listen)
    if ledger:
        kept = config.ledger or Ledger(directory=ledger)
        config = msgspec.structs.replace(config, ledger=msgspec.structs.replace(kept, directory=ledger))
    return config


def _reread(gateway: Gateway, options: Options) -> None:
    """A file that can't be used changes nothing."""
    assert options.path is not None
    try:
        config, _ = _member(_overridden(configs.load(options.path), options), options.member)
    except configs.ConfigError as error:
        log.error("configuration kept as it was", why=str(error))
        return
    left = gateway.reread(config)
    log.info("configuration reread", workers=len(config.workers), needs_restart=left)


__all__ = ["run"]
