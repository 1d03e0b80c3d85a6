"""The options of `saffronstack serve`, and what they change of the configuration."""

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
    """The command line."""

    config_path: str | None
    listen: str | None
    ledger_directory: str | None
    decision_record_path: str
    cpu_selection: str
    log_format: str
    log_level: str
    index_and_count: str = ""  # INDEX/COUNT of a process under a supervisor
    stopped_timeout_s: float = (
        STOPPED_TIMEOUT_S  # silence after which the supervisor replaces a stopped process; 0: never
    )
    fleet_path: str = ""  # the fleet's file, where the ledger may be taken over
    gateway_name: str = ""  # this gateway's in the fleet
    owned_ledger_directory: str = ""  # in place of fleet and name: a home that was entered under this token
    owned_ledger_token: int = 0
    exits_when_finished: bool = False  # end once no deferred call is open
    listen_fd: int = -1  # of a bound socket that a daemon holds
    standby: bool = False  # prepare, then wait for a word on standard input


def apply_overrides(config: Config, options: ServeOptions) -> Config:
    """Return the configuration with the address and the ledger that the options name."""
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
    """Return the configuration of one process of several: its index among all gateways, its ledger, its seed.

    Args:
        config: Of all processes.
        index_and_count: INDEX/COUNT, or empty for a gateway of one process.

    Returns:
        The configuration, and the process group where there is one.
    """
    if not index_and_count:
        return config, None
    index, count = (int(part) for part in index_and_count.split("/"))
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
