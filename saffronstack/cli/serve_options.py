"""The options of `saffronstack serve`, and how they change the configuration."""

from __future__ import annotations

import time
from dataclasses import dataclass

import msgspec

from saffronstack.config.schema import Config, Ledger
from saffronstack.daemon.heartbeat_monitor import STOPPED_TIMEOUT_S
from saffronstack.daemon.process_group import ProcessGroup
from saffronstack.daemon.state_directories import process_directory


@dataclass(frozen=True, slots=True)
class ServeOptions:
    """The options on the command line."""

    config_path: str | None
    listen: str | None
    ledger_directory: str | None
    decision_record_path: str
    cpu_selection: str
    log_format: str
    log_level: str
    index_and_count: str = ""  # INDEX/COUNT: this process and the number of processes under a supervisor
    stopped_timeout_s: float = (
        STOPPED_TIMEOUT_S  # without a heartbeat before the supervisor replaces a stopped process; 0: never
    )
    fleet_path: str = ""  # the fleet file, if another gateway may take the ledger over
    gateway_name: str = ""  # name of this gateway in the fleet
    owned_ledger_directory: str = ""  # in place of fleet and name: already owned under the token
    owned_ledger_token: int = 0
    exits_when_finished: bool = False  # exit once no deferred call is open
    listen_fd: int = -1  # descriptor of a listener that the daemon passes on; negative: none
    standby: bool = False  # prepare, then wait for a command on standard input


def apply_overrides(config: Config, options: ServeOptions) -> Config:
    """Return the configuration with the address and the ledger directory of the options."""
    listen, ledger_directory = options.listen, options.ledger_directory
    if listen:
        config = msgspec.structs.replace(config, listen=listen)
    if ledger_directory:
        base = config.ledger or Ledger(directory=ledger_directory)
        config = msgspec.structs.replace(
            config, ledger=msgspec.structs.replace(base, directory=ledger_directory)
        )
    return config


def process_config(config: Config, index_and_count: str) -> tuple[Config, ProcessGroup | None]:
    """Return the configuration of one process of several, with its own index, state directories and seed.

    Args:
        config: Configuration that all processes share.
        index_and_count: INDEX/COUNT, or empty for a gateway of one process.

    Returns:
        The configuration, and the process group if there are several processes.
    """
    if not index_and_count:
        return config, None
    index, count = (int(part) for part in index_and_count.split("/"))
    operations = config.operations
    state = config.ledger or config.metering
    directory = state.directory if state is not None else (operations.directory if operations else None)
    directory = directory or ""  # the processes publish their addresses here
    ledger = config.ledger
    if ledger is not None:
        ledger = msgspec.structs.replace(ledger, directory=process_directory(directory, index))
    metering = config.metering
    if metering is not None:
        metering = msgspec.structs.replace(metering, directory=process_directory(metering.directory, index))
    if operations is not None and operations.directory is not None:
        own_directory = process_directory(operations.directory, index)
        operations = msgspec.structs.replace(operations, directory=own_directory)
    own_config = msgspec.structs.replace(
        config,
        operations=operations,
        ledger=ledger,
        metering=metering,
        instances=config.instances * count,
        self_index=config.self_index * count + index,
        seed=config.seed * count + index,
    )
    return own_config, ProcessGroup(index, count, directory, time.monotonic)
