"""`saffronstack serve --processes N`: runs several gateway processes on one address."""

from __future__ import annotations

import signal

import click
import structlog

from saffronstack import config as configs
from saffronstack.cli.cpu_affinity import DEFAULT_CPUS
from saffronstack.cli.logs import configure_logging
from saffronstack.cli.parent_process import announce
from saffronstack.cli.process_signals import ignore_signals, receive_signals
from saffronstack.cli.serve_options import ServeOptions, apply_overrides
from saffronstack.config.schema import Config
from saffronstack.daemon.errors import StartupError
from saffronstack.daemon.state_directories import find_stranded_ledgers
from saffronstack.daemon.supervisor import Supervisor, gateway_command

log = structlog.get_logger("saffronstack.serve")
STOP_MARGIN_S = 15.0  # added to the longest graceful shutdown of a process, before it is killed


def supervise(options: ServeOptions, count: int) -> int:
    """Serve with several processes on one address until a signal ends them.

    Returns:
        The exit status: 0 after a clean shutdown, 1 after an unclean one, 2 if the gateway can't start.
    """
    configure_logging(options.log_format, options.log_level)
    signals = receive_signals()
    assert options.config_path is not None
    try:
        config = apply_overrides(configs.load(options.config_path), options)
        _check_ledgers(config, count)
        host, _, port = config.listen.rpartition(":")
        command = gateway_command(_gateway_arguments(options, options.config_path))
        supervisor = Supervisor(command, count, host, int(port), stopped_timeout_s=options.stopped_timeout_s)
        supervisor.start()
    except (configs.ConfigError, StartupError, OSError, ValueError) as error:
        click.echo(f"saffronstack serve: {error}", err=True)
        return 2
    announce(f"saffronstack takes calls on http://{supervisor.host}:{supervisor.port}")
    number = supervisor.run_until_signal(signals)
    log.info("stopping", signal=signal.Signals(number).name)
    longest_s = (
        max(request_class.deadline_s for request_class in config.classes) + config.limits.write_timeout_s
    )
    status = supervisor.stop(longest_s + STOP_MARGIN_S)
    ignore_signals()
    return 0 if status == 0 else 1


def _check_ledgers(config: Config, count: int) -> None:
    """Raise ValueError if a ledger that none of ``count`` processes would open may have open calls."""
    if config.ledger is None:
        return
    stranded = find_stranded_ledgers(config.ledger.directory, count)
    if stranded:
        raise ValueError(
            f"deferred calls may be open in {', '.join(stranded)}: start as many processes as before, "
            "or finish them with a separate gateway (--ledger)"
        )


def _gateway_arguments(options: ServeOptions, path: str) -> list[str]:
    """Return the command line of a process without its index and address."""
    arguments = ["serve", "--config", path]
    if options.cpu_selection != DEFAULT_CPUS:  # the supervisor may change CPUs that no operator chose
        arguments += ["--cpus", options.cpu_selection]
    arguments += ["--log", options.log_format, "--log-level", options.log_level]
    return [*arguments, "--ledger", options.ledger_directory] if options.ledger_directory else arguments
