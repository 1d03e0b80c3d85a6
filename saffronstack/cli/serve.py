"""`saffronstack serve`: the daemon in the foreground, its logs and signals."""

from __future__ import annotations

import json
import logging
import os
import queue
import signal
import sys
import tempfile
from types import FrameType

import click
import msgspec
import structlog

from saffronstack import config as configs
from saffronstack.config.schema import Config, Ledger
from saffronstack.deferred.ledger import LedgerError
from saffronstack.gateway import Gateway
from saffronstack.standin.fleet import StandInFleet, sample

log = structlog.get_logger("saffronstack.serve")


def set_up_logs(form: str, level: str) -> None:
    """Structured lines on standard error."""
    last = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )


def choose_cpus(wanted: str, allowed: set[int], turn: int) -> set[int]:
    """The processors to run on; ValueError where ``wanted`` is none of the forms or not allowed here.

    One is the default: only one thread holds the interpreter's lock at a time, and handing it over between
    processors costs more than the work between two of them (docs/results.md). ``turn`` spreads gateways."""
    if wanted == "all":
        return allowed
    if wanted == "one":
        return {sorted(allowed)[turn % len(allowed)]}
    chosen = {int(part) for part in wanted.split(",")}
    if not chosen <= allowed:
        raise ValueError(f"--cpus: {sorted(chosen - allowed)} are not allowed here, only {sorted(allowed)}")
    return chosen


def _pin(wanted: str) -> None:
    if hasattr(os, "sched_setaffinity"):
        os.sched_setaffinity(0, choose_cpus(wanted, set(os.sched_getaffinity(0)), os.getpid()))


def run(
    path: str | None,
    listen: str | None,
    ledger: str | None,
    record_to: str,
    cpus: str,
    form: str,
    level: str,
) -> int:
    """Serve until a signal says stop; 0 after a clean end, 1 after an unclean one, 2 where it can't start."""
    set_up_logs(form, level)
    # The handler only queues: signals arrive between any two instructions of this thread.
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()

    def note(number: int, _frame: FrameType | None) -> None:
        signals.put(number)

    for wanted in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(wanted, note)
    standins: StandInFleet | None = None
    try:
        if path is not None:  # with stand-ins in the same process there is more to run
            _pin(cpus)
        if path is None:
            standins = StandInFleet(4)
            directory = ledger or tempfile.mkdtemp(prefix="saffronstack-ledger-")
            text = json.dumps(sample(standins.entries(), listen or "127.0.0.1:9000", directory))
            config = configs.parse(text, "sample configuration")
        else:
            config = _overridden(configs.load(path), listen, ledger)
        gateway = Gateway(config, record_to=record_to)
    except (configs.ConfigError, LedgerError, OSError, ValueError) as error:
        click.echo(f"saffronstack serve: {error}", err=True)
        if standins is not None:
            standins.stop()
        return 2
    host, port = gateway.start()
    click.echo(f"saffronstack takes calls on http://{host}:{port}")
    sys.stdout.flush()
    while True:
        try:
            number = signals.get(timeout=1.0)
        except queue.Empty:
            continue
        if number != signal.SIGHUP:
            break
        if path is not None:
            _reread(gateway, path, listen, ledger)
    log.info("stopping", signal=signal.Signals(number).name)
    clean = gateway.stop()
    if standins is not None:
        standins.stop()
    log.info("stopped", clean=clean)
    return 0 if clean else 1


def _overridden(config: Config, listen: str | None, ledger: str | None) -> Config:
    if listen:
        config = msgspec.structs.replace(config, listen=listen)
    if ledger:
        kept = config.ledger or Ledger(directory=ledger)
        config = msgspec.structs.replace(config, ledger=msgspec.structs.replace(kept, directory=ledger))
    return config


def _reread(gateway: Gateway, path: str, listen: str | None, ledger: str | None) -> None:
    """A file that can't be used changes nothing."""
    try:
        config = _overridden(configs.load(path), listen, ledger)
    except configs.ConfigError as error:
        log.error("configuration kept as it was", why=str(error))
        return
    left = gateway.reread(config)
    log.info("configuration reread", workers=len(config.workers), needs_restart=left)


__all__ = ["run", "set_up_logs"]
