"""`saffronstack serve`: runs a gateway in the foreground, with its logs and signals."""

from __future__ import annotations

import json
import os
import queue
import signal
import socket
import tempfile
import threading
from dataclasses import dataclass, field
from functools import partial

import click
import structlog

from saffronstack import config as configs
from saffronstack.cli.cpu_affinity import DEFAULT_CPUS, choose_allowed_cpus, choose_idle_cpus, pin_threads
from saffronstack.cli.fleet_services import FleetServices
from saffronstack.cli.ledger_ownership import TAKEN_OVER_STATUS, LedgerOwnership, acquire_ledger_ownership
from saffronstack.cli.logs import configure_logging
from saffronstack.cli.parent_process import (
    announce,
    offer_listener,
    send_heartbeats,
    terminate_with_parent,
    wait_in_standby,
)
from saffronstack.cli.process_signals import ignore_signals, receive_signals
from saffronstack.cli.serve_options import ServeOptions, apply_overrides, process_config
from saffronstack.cli.starvation_guard import StarvationGuard
from saffronstack.config.schema import Config
from saffronstack.daemon.process_group import ProcessGroup
from saffronstack.daemon.processor_choice import CPU_SAMPLE_INTERVAL_S
from saffronstack.durable.errors import JournalError
from saffronstack.gateway import Gateway
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.fleet import StubWorkerFleet, sample_config

log = structlog.get_logger("saffronstack.serve")
SIGNAL_POLL_S = CPU_SAMPLE_INTERVAL_S
OPEN_CALLS_POLL_S = 0.1


@dataclass
class ProcessResources:
    """What this process has besides the gateway, as its options require."""

    stub_workers: StubWorkerFleet | None = None
    ownership: LedgerOwnership | None = None
    fleet: FleetServices | None = None
    process_group: ProcessGroup | None = None
    listener: socket.socket | None = None
    cpus: set[int] = field(default_factory=set)  # to pin the process to once it serves; empty: none
    process_number: int = 0  # spreads processes over CPUs

    def stop(self, is_clean: bool) -> bool:
        """Stop these services, after the gateway.

        Args:
            is_clean: Whether the gateway shut down cleanly.

        Returns:
            Whether the gateway and all services shut down cleanly.
        """
        if self.stub_workers is not None:
            self.stub_workers.stop()
        if self.ownership is not None:
            self.ownership.close(is_clean)
        if self.fleet is not None:
            is_clean = self.fleet.stop() and is_clean
        return is_clean


def run(options: ServeOptions) -> int:
    """Serve until a signal ends the process.

    Returns:
        The exit status: 0 after a clean shutdown, 1 after an unclean one, 2 if the gateway can't start, 3 if
        it shut down because another gateway took over its ledger.
    """
    configure_logging(options.log_format, options.log_level)
    signals = receive_signals()
    stopping = threading.Event()
    resources = ProcessResources()
    try:
        gateway = _create_gateway(options, resources)
        if gateway is None:
            return 0
        host, port = gateway.start()
        unused_cpus = pin_threads(
            choose_idle_cpus(options.cpu_selection, resources.cpus, resources.process_number)
        )
    except (configs.ConfigError, JournalError, OSError, ValueError) as error:
        click.echo(f"saffronstack serve: {error}", err=True)
        resources.stop(is_clean=False)
        return 2
    listener_handover = offer_listener(resources.listener)
    announce(f"saffronstack takes calls on http://{host}:{port}")
    if resources.process_group is not None:
        terminate_with_parent(signals)
        start_thread("heartbeats", lambda: send_heartbeats(gateway, stopping))
    if resources.ownership is not None:
        # It stops as after SIGTERM, so that synchronous calls are answered.
        on_lost = partial(signals.put, signal.SIGTERM)
        start_thread("ledger-ownership", partial(resources.ownership.watch, on_lost))
    guard = _create_starvation_guard(options, unused_cpus)
    number = _wait_for_signal(gateway, options, signals, guard)
    log.info("stopping", signal=signal.Signals(number).name)
    stopping.set()
    if guard is not None:
        guard.stop()
    if resources.fleet is not None:
        resources.fleet.request_stop()  # they stop while calls drain, as a successor waits for this process
    is_clean = gateway.stop()
    if listener_handover is not None:
        listener_handover.stop()
    is_clean = resources.stop(is_clean)
    log.info("stopped", clean=is_clean)
    ignore_signals()
    if resources.ownership is not None and resources.ownership.is_lost:
        return TAKEN_OVER_STATUS
    return 0 if is_clean else 1


def _create_gateway(options: ServeOptions, resources: ProcessResources) -> Gateway | None:
    """Create the gateway for the options, without starting it.

    Args:
        options: The options.
        resources: Receives what the process has besides the gateway.

    Returns:
        The gateway; None if the process was in standby and was not allowed to serve.

    Raises:
        ConfigError, JournalError, OSError, ValueError: The gateway can't be created with these options.
    """
    if options.config_path is None:
        config = _sample_config(options, resources)
    else:
        shared_config = apply_overrides(configs.load(options.config_path), options)
        config, resources.process_group = process_config(shared_config, options.index_and_count)
        # Not with the sample configuration: its stub workers run in this process too and need other CPUs.
        resources.process_number = (
            resources.process_group.index if resources.process_group is not None else os.getpid()
        )
        resources.cpus = choose_allowed_cpus(options.cpu_selection, resources.process_number)
    if options.listen_fd >= 0:
        resources.listener = socket.socket(fileno=options.listen_fd)
    if options.standby and not wait_in_standby():
        return None
    resources.ownership = acquire_ledger_ownership(
        options.fleet_path,
        options.gateway_name,
        options.owned_ledger_directory,
        options.owned_ledger_token,
        config,
    )
    if resources.ownership is not None:
        config = resources.ownership.config
    if config.fleet is not None and not options.exits_when_finished:
        if resources.process_group is not None:
            raise configs.ConfigError("fleet: requires one process and excludes --processes")
        resources.fleet = FleetServices(config.fleet)
    return Gateway(
        config,
        decision_record_path=options.decision_record_path,
        process_group=resources.process_group,
        files=resources.ownership.files if resources.ownership is not None else None,
        owns_ledger=resources.ownership.is_current if resources.ownership is not None else None,
        listener=resources.listener,
    )


def _sample_config(options: ServeOptions, resources: ProcessResources) -> Config:
    """Return a configuration for a gateway with stub workers, which are started in this process."""
    resources.stub_workers = StubWorkerFleet(4)
    directory = options.ledger_directory or tempfile.mkdtemp(prefix="saffronstack-ledger-")
    listen = options.listen or "127.0.0.1:9000"
    return configs.parse(
        json.dumps(sample_config(resources.stub_workers.entries(), listen, directory)), "sample"
    )


def _create_starvation_guard(options: ServeOptions, unused_cpus: set[int]) -> StarvationGuard | None:
    """Return a guard if the process is pinned to one CPU by default; CPUs that an operator chose are kept."""
    if options.cpu_selection != DEFAULT_CPUS or not unused_cpus:
        return None
    return StarvationGuard(unused_cpus | os.sched_getaffinity(0))


def _wait_for_signal(
    gateway: Gateway, options: ServeOptions, signals: queue.SimpleQueue[int], guard: StarvationGuard | None
) -> int:
    """Return the signal that ends the process; SIGHUP reloads the configuration instead.

    A process that only finishes open deferred calls returns SIGTERM once none is open.
    """
    while True:
        try:
            number = signals.get(timeout=OPEN_CALLS_POLL_S if options.exits_when_finished else SIGNAL_POLL_S)
        except queue.Empty:
            if guard is not None:
                guard.check()
            if (
                options.exits_when_finished
                and gateway.deferred is not None
                and not gateway.deferred.open_calls
            ):
                return signal.SIGTERM
            continue
        if number != signal.SIGHUP:
            return number
        if options.config_path is not None:
            _reload(gateway, options)


def _reload(gateway: Gateway, options: ServeOptions) -> None:
    """Reload the configuration; an invalid file changes nothing."""
    assert options.config_path is not None
    try:
        config, _ = process_config(
            apply_overrides(configs.load(options.config_path), options), options.index_and_count
        )
    except configs.ConfigError as error:
        log.error("the new configuration can't be used; the current one stays in force", why=str(error))
        return
    needs_restart_fields = gateway.reload(config)
    log.info("configuration reloaded", workers=len(config.workers), needs_restart=needs_restart_fields)
