"""`saffronstack serve`: a gateway in the foreground, its logs and signals."""

from __future__ import annotations

import json
import os
import queue
import signal
import socket
import tempfile
import threading
from dataclasses import dataclass, field

import click
import structlog

from saffronstack import config as configs
from saffronstack.cli.cpu_affinity import DEFAULT_CPUS, choose_allowed_cpus, choose_idle_cpus, pin_threads
from saffronstack.cli.fleet_services import FleetServices
from saffronstack.cli.ledger_ownership import LedgerOwnership, own_ledger
from saffronstack.cli.logs import set_up_logs
from saffronstack.cli.parent_process import (
    announce,
    offer_listener,
    send_heartbeats,
    terminate_with_parent,
    wait_in_standby,
)
from saffronstack.cli.process_signals import ignore_signals, receive_signals
from saffronstack.cli.serve_options import Options, member_config, override
from saffronstack.cli.starvation_guard import StarvationGuard
from saffronstack.config.schema import Config
from saffronstack.daemon.process_group import ProcessGroup
from saffronstack.daemon.processor_choice import CPU_SAMPLE_INTERVAL_S
from saffronstack.durable.errors import JournalError
from saffronstack.gateway import Gateway
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.fleet import StandInFleet, sample

log = structlog.get_logger("saffronstack.serve")
SIGNAL_POLL_S = CPU_SAMPLE_INTERVAL_S
FINISH_POLL_S = 0.1


@dataclass
class GatewayParts:
    """What runs beside the gateway in this process, as far as its options ask for it."""

    standins: StandInFleet | None = None
    ownership: LedgerOwnership | None = None
    fleet: FleetServices | None = None
    members: ProcessGroup | None = None
    listener: socket.socket | None = None
    cpus: set[int] = field(default_factory=set)  # to keep to once it serves; none for no choice
    turn: int = 0  # spreads processes over processors

    def stop(self, is_clean: bool) -> bool:
        """Stop them after the gateway.

        Args:
            is_clean: Whether the gateway ended cleanly.

        Returns:
            Whether all did.
        """
        if self.standins is not None:
            self.standins.stop()
        if self.ownership is not None:
            self.ownership.close(is_clean)
        if self.fleet is not None:
            is_clean = self.fleet.stop() and is_clean
        return is_clean


def run(options: Options) -> int:
    """Serve until a signal says stop; 0 after a clean end, 1 after an unclean one, 2 where it can't start."""
    set_up_logs(options.log_form, options.log_level)
    signals = receive_signals()
    stopping = threading.Event()
    parts = GatewayParts()
    try:
        gateway = _make_gateway(options, parts)
        if gateway is None:
            return 0
        host, port = gateway.start()
        unused_cpus = pin_threads(choose_idle_cpus(options.cpus, parts.cpus, parts.turn))
    except (configs.ConfigError, JournalError, OSError, ValueError) as error:
        click.echo(f"saffronstack serve: {error}", err=True)
        parts.stop(is_clean=False)
        return 2
    listener_handover = offer_listener(parts.listener)
    announce(f"saffronstack takes calls on http://{host}:{port}")
    if parts.members is not None:
        terminate_with_parent(signals)
        start_thread("heartbeats", lambda: send_heartbeats(gateway, stopping))
    if parts.ownership is not None:
        start_thread("ledger-ownership", parts.ownership.watch)
    guard = _guard_processors(options, unused_cpus)
    number = _wait_for_signal(gateway, options, signals, guard)
    log.info("stopping", signal=signal.Signals(number).name)
    stopping.set()
    if guard is not None:
        guard.stop()
    if parts.fleet is not None:
        parts.fleet.request_stop()  # while calls drain: a successor waits for the end of this process
    is_clean = gateway.stop()
    if listener_handover is not None:
        listener_handover.stop()
    is_clean = parts.stop(is_clean)
    log.info("stopped", clean=is_clean)
    ignore_signals()
    return 0 if is_clean else 1


def _make_gateway(options: Options, parts: GatewayParts) -> Gateway | None:
    """The gateway that the options ask for, not started, and what runs beside it in ``parts``; None where it
    stood by and was not told to go. ConfigError, JournalError, OSError, ValueError.
    """
    if options.path is None:
        config = _sample_config(options, parts)
    else:
        whole = override(configs.load(options.path), options)
        config, parts.members = member_config(whole, options.member)
        # With stand-ins in the same process there would be more to run.
        parts.turn = parts.members.index if parts.members is not None else os.getpid()
        parts.cpus = choose_allowed_cpus(options.cpus, parts.turn)
    if options.listen_fd >= 0:
        parts.listener = socket.socket(fileno=options.listen_fd)
    if options.standby and not wait_in_standby():
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
        decision_record_path=options.record_to,
        process_group=parts.members,
        files=parts.ownership.files if parts.ownership is not None else None,
        owns_ledger=parts.ownership.is_current if parts.ownership is not None else None,
        listener=parts.listener,
    )


def _sample_config(options: Options, parts: GatewayParts) -> Config:
    """Without a configuration: a gateway before workers that are emulated in this process."""
    parts.standins = StandInFleet(4)
    directory = options.ledger or tempfile.mkdtemp(prefix="saffronstack-ledger-")
    listen = options.listen or "127.0.0.1:9000"
    return configs.parse(json.dumps(sample(parts.standins.entries(), listen, directory)), "sample")


def _guard_processors(options: Options, unused_cpus: set[int]) -> StarvationGuard | None:
    """A guard where the process keeps to one processor by default; processors that an operator chose stay."""
    if options.cpus != DEFAULT_CPUS or not unused_cpus:
        return None
    return StarvationGuard(unused_cpus | os.sched_getaffinity(0))


def _wait_for_signal(
    gateway: Gateway, options: Options, signals: queue.SimpleQueue[int], guard: StarvationGuard | None
) -> int:
    """The signal to end by; SIGHUP rereads the configuration. One that only finishes what is open ends by
    itself.
    """
    while True:
        try:
            number = signals.get(timeout=FINISH_POLL_S if options.finish else SIGNAL_POLL_S)
        except queue.Empty:
            if guard is not None:
                guard.check()
            if options.finish and gateway.deferred is not None and not gateway.deferred.open_calls:
                return signal.SIGTERM
            continue
        if number != signal.SIGHUP:
            return number
        if options.path is not None:
            _reload(gateway, options)


def _reload(gateway: Gateway, options: Options) -> None:
    """A file that can't be used changes nothing."""
    assert options.path is not None
    try:
        config, _ = member_config(override(configs.load(options.path), options), options.member)
    except configs.ConfigError as error:
        log.error("configuration kept as it was", why=str(error))
        return
    left = gateway.reload(config)
    log.info("configuration reread", workers=len(config.workers), needs_restart=left)
