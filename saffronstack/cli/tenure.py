"""A gateway's hold on its ledger, where another one of the fleet may take it over."""

from __future__ import annotations

import os
import pathlib
import threading

import msgspec
import structlog

from saffronstack.config.fleet import load_fleet
from saffronstack.config.load import ConfigError
from saffronstack.config.schema import Config
from saffronstack.fleet.leases.client import LeaseClient
from saffronstack.fleet.leases.store import HeldLease
from saffronstack.fleet.tasks.ledger_directory import FencedFiles, LedgerDirectory

log = structlog.get_logger("saffronstack.serve")
LOOK_S = 0.1
ENTER_LEASES = 3.0  # leases' times that a start waits: a killed life's own must run out first
TAKEN_OVER = 3  # exit status


class Tenure:
    """One life's right to write a ledger: its token, and the lease that says that it lives."""

    def __init__(
        self,
        home: LedgerDirectory,
        token: int,
        config: Config,
        client: LeaseClient | None,
        held: HeldLease | None,
    ) -> None:
        self._home, self._token, self._client, self._held = home, token, client, held
        self._ended = threading.Event()
        self.files = FencedFiles(home, token)
        place = home.take_ownership(token)
        assert config.ledger is not None
        config = msgspec.structs.replace(
            config, ledger=msgspec.structs.replace(config.ledger, directory=str(place))
        )
        if held is None:  # for another's calls: what is its own lies beside them
            config = _beside(config, place)
        self.config = config

    def watch(self) -> None:
        """End this process at once where a later holder has entered: what it still does counts nothing, and
        what it took is that one's to finish. A lease that ran out meanwhile is asked for again."""
        while not self._ended.wait(LOOK_S):
            if self._home.has_later_owner(self._token):
                log.error("taken over by a later holder", home=str(self._home.directory), token=self._token)
                os._exit(TAKEN_OVER)
            if self._client is not None and self._held is not None and self._held.remaining_s() <= 0:
                lease = self._held.lease
                again = self._client.acquire(lease, LOOK_S)
                if again is not None:
                    self._held = again

    def end(self, clean: bool) -> None:
        """Nothing is under way any more. Where it ended otherwise, another one looks after what is open."""
        self._ended.set()
        if clean:
            self._home.mark_clean_shutdown(self._token)
        if self._client is not None:
            self._client.close()


def enter(fleet_path: str, name: str, home: str, token: int, config: Config) -> Tenure | None:
    """Enter the ledger's home, under a lease of one's own or a token that was given; None without either.
    ConfigError, OSError, and ValueError where the lease can't be had."""
    if not fleet_path and not home:
        return None
    if config.ledger is None:
        raise ConfigError("--fleet needs a ledger in the configuration: it is what others may take over")
    if home:
        return Tenure(LedgerDirectory(home), token, config, None, None)
    from saffronstack.cli.leases import open_client

    fleet = load_fleet(fleet_path)
    client = open_client(fleet)
    held = client.acquire(f"gateway/{name}", ENTER_LEASES * fleet.longest_s)
    if held is None:
        client.close()
        raise ValueError(f"the lease gateway/{name} was not granted: {client.link_errors()}")
    return Tenure(LedgerDirectory(config.ledger.directory), held.token, config, client, held)


def _beside(config: Config, place: pathlib.Path) -> Config:
    metering, operations = config.metering, config.operations
    if metering is not None:
        metering = msgspec.structs.replace(metering, directory=str(place / "usage"))
    if operations is not None and operations.directory is not None:
        operations = msgspec.structs.replace(operations, directory=str(place / "operations"))
    roster = config.roster
    if roster is not None:
        roster = msgspec.structs.replace(roster, state_directory=str(place / "roster"))
    return msgspec.structs.replace(config, metering=metering, operations=operations, roster=roster)
