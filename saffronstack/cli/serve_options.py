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
class Options:
    """The command line."""

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


def override(config: Config, options: Options) -> Config:
    """Return the configuration with the address and the ledger that the options name."""
    listen, ledger = options.listen, options.ledger
    if listen:
        config = msgspec.structs.replace(config, listen=listen)
    if ledger:
        kept = config.ledger or Ledger(directory=ledger)
        config = msgspec.structs.replace(config, ledger=msgspec.structs.replace(kept, directory=ledger))
    return config


def member_config(config: Config, member: str) -> tuple[Config, ProcessGroup | None]:
    """Return the configuration of one process of several: its index among all gateways, its ledger, its seed.

    Args:
        config: Of all processes.
        member: INDEX/COUNT, or empty for a gateway of one process.

    Returns:
        The configuration, and the process group where there is one.
    """
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
