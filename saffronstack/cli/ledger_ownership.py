"""Ownership of a gateway's ledger, which another gateway of the fleet may take over."""

from __future__ import annotations

import pathlib
import threading
from collections.abc import Callable

import msgspec
import structlog

from saffronstack.config.fleet import load_fleet_file
from saffronstack.config.load import ConfigError
from saffronstack.config.schema import Config
from saffronstack.fleet.leases.client import LeaseClient
from saffronstack.fleet.leases.errors import LeaseNotGrantedError
from saffronstack.fleet.leases.store import HeldLease
from saffronstack.fleet.tasks.ledger_directory import (
    OPERATIONS_DIRECTORY,
    USAGE_DIRECTORY,
    WORKER_LISTS_DIRECTORY,
    FencedFiles,
    LedgerDirectory,
)

log = structlog.get_logger("saffronstack.serve")
CHECK_INTERVAL_S = 0.1
ACQUIRE_TIMEOUT_LEASES = (
    3.0  # wait in longest lease durations: the lease of an earlier incarnation must expire first
)
TAKEN_OVER_STATUS = 3  # exit status of a gateway whose ledger was taken over


class LedgerOwnership:
    """The right of one incarnation to write a ledger: a fencing token, and a lease that shows it is alive.

    Attributes:
        is_lost: Whether a later owner was seen, which finishes the deferred calls of this process.
    """

    def __init__(
        self,
        directory: LedgerDirectory,
        token: int,
        config: Config,
        client: LeaseClient | None,
        held: HeldLease | None,
    ) -> None:
        """Take the ownership of a ledger directory under a fencing token.

        Args:
            directory: The ledger directory, which has a subdirectory for each owner.
            token: The fencing token.
            config: The gateway's configuration; the attribute `config` has the owner's directories.
            client: Client of the lease; None if the token came from the command line.
            held: The lease; None if the token came from the command line.

        Raises:
            OSError: The directory can't be read or written.
        """
        self._directory, self._token, self._client, self._held = directory, token, client, held
        self._is_closed = threading.Event()
        self.is_lost = False
        self.files = FencedFiles(directory, token)
        owner_directory = directory.take_ownership(token)
        assert config.ledger is not None
        config = msgspec.structs.replace(
            config, ledger=msgspec.structs.replace(config.ledger, directory=str(owner_directory))
        )
        if held is None:  # finishes another gateway's calls, and keeps its own state beside them
            config = _with_state_directories_in(config, owner_directory)
        self.config = config

    def watch(self, on_lost: Callable[[], None]) -> None:
        """Call ``on_lost`` once when there is a later owner. Runs on a separate thread.

        From then on no write of this process to the ledger succeeds, and no attempt of a deferred call is
        sent; the later owner finishes these calls. Synchronous calls are not concerned. If the lease expired
        without a later owner, it is acquired again.
        """
        while not self._is_closed.wait(CHECK_INTERVAL_S):
            if self._has_later_owner():
                path = str(self._directory.directory)
                log.error("ledger taken over by a later owner", ledger=path, token=self._token)
                self.is_lost = True
                on_lost()
                return
            self._renew_expired_lease()

    def _has_later_owner(self) -> bool:
        """Return whether a later owner is seen; a directory that can't be read is looked at again."""
        try:
            return self._directory.has_later_owner(self._token)
        except OSError:
            return False

    def is_current(self) -> bool:
        """Return whether there is no later owner; False if that can't be read. Any thread may call it."""
        try:
            return not self._directory.has_later_owner(self._token)
        except OSError:
            return False

    def _renew_expired_lease(self) -> None:
        if self._client is None or self._held is None or self._held.remaining_s() > 0:
            return
        held = self._client.acquire(self._held.lease, CHECK_INTERVAL_S)
        if held is not None:
            self._held = held

    def close(self, is_clean: bool) -> None:
        """Release the ledger. If calls are still open (not ``is_clean``), another gateway finishes them."""
        self._is_closed.set()
        if is_clean and not self.is_lost:
            self._directory.mark_clean_shutdown(self._token)
        if self._client is not None:
            self._client.close()


def acquire_ledger_ownership(
    fleet_path: str, name: str, directory: str, token: int, config: Config
) -> LedgerOwnership | None:
    """Take the ownership of a ledger, under this gateway's own lease or a token from the command line.

    Args:
        fleet_path: Path of the fleet file, to acquire this gateway's lease; or empty.
        name: Name of the gateway in the fleet.
        directory: Ledger directory to own under ``token``; or empty.
        token: Fencing token from the command line.
        config: The gateway's configuration.

    Returns:
        The ownership; None without a fleet file and without a directory.

    Raises:
        ConfigError: The fleet file is invalid, or the configuration has no ledger.
        LeaseNotGrantedError: The lease was not granted in time.
        OSError: The directory can't be read or written.
    """
    if not fleet_path and not directory:
        return None
    if config.ledger is None:
        raise ConfigError(
            "--fleet requires a ledger in the configuration, which other gateways may take over"
        )
    if directory:
        return LedgerOwnership(LedgerDirectory(directory), token, config, None, None)
    from saffronstack.cli.leases import open_client

    fleet = load_fleet_file(fleet_path)
    client = open_client(fleet)
    held = client.acquire(f"gateway/{name}", ACQUIRE_TIMEOUT_LEASES * fleet.longest_s)
    if held is None:
        client.close()
        raise LeaseNotGrantedError(f"the lease gateway/{name} was not granted: {client.link_errors()}")
    return LedgerOwnership(LedgerDirectory(config.ledger.directory), held.token, config, client, held)


def _with_state_directories_in(config: Config, owner_directory: pathlib.Path) -> Config:
    metering, operations = config.metering, config.operations
    if metering is not None:
        metering = msgspec.structs.replace(metering, directory=str(owner_directory / USAGE_DIRECTORY))
    if operations is not None and operations.directory is not None:
        operations = msgspec.structs.replace(
            operations, directory=str(owner_directory / OPERATIONS_DIRECTORY)
        )
    roster = config.roster
    if roster is not None:
        state_directory = str(owner_directory / WORKER_LISTS_DIRECTORY)
        roster = msgspec.structs.replace(roster, state_directory=state_directory)
    return msgspec.structs.replace(config, metering=metering, operations=operations, roster=roster)
