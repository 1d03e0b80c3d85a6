"""What a gateway does for its fleet: a lease keeper and the fleet's tasks in the same process."""

from __future__ import annotations

from saffronstack.cli.leases import job_of, lease_fleet_of, open_client
from saffronstack.config.fleet import FleetFile, load_fleet
from saffronstack.config.load import ConfigError
from saffronstack.config.schema import InFleet
from saffronstack.fleet.leases.client import LeaseClient
from saffronstack.fleet.leases.errors import ForeignStateError
from saffronstack.fleet.leases.lease_server import LeaseServer
from saffronstack.fleet.tasks.runner import TaskRunner


class FleetMembership:
    """Runs beside a gateway's calls; none of it is on a call's path."""

    def __init__(self, config: InFleet) -> None:
        """Start the lease keeper and the tasks that the configuration names.

        Raises:
            ConfigError: The fleet file or the keeper's state can't be used.
            OSError: An address or a directory can't be used.
        """
        self._lease_server: LeaseServer | None = None
        self._client: LeaseClient | None = None
        self._runners: list[TaskRunner] = []
        fleet = load_fleet(config.path)
        if config.keeper is not None and config.state_directory is not None:
            self._lease_server = _create_lease_server(fleet, config.keeper, config.state_directory)
            self._lease_server.start()
        if config.tasks:
            self._client = open_client(fleet)
            self._runners = _create_runners(fleet, self._client)
            for runner in self._runners:
                runner.start()

    def stop(self) -> bool:
        """End all of it; return whether each task's run ended in time."""
        is_clean = all([runner.stop() for runner in self._runners])  # a list: each one is stopped
        if self._client is not None:
            self._client.close()
        if self._lease_server is not None:
            self._lease_server.stop()
        return is_clean


def _create_lease_server(fleet: FleetFile, keeper: str, state_directory: str) -> LeaseServer:
    try:
        return LeaseServer(keeper, lease_fleet_of(fleet), state_directory)
    except (ForeignStateError, ValueError) as error:
        raise ConfigError(f"fleet: {error}") from error


def _create_runners(fleet: FleetFile, client: LeaseClient) -> list[TaskRunner]:
    return [
        TaskRunner(task.name, job_of(task, client), task.period_s, task.budget_s, client)
        for task in fleet.tasks
    ]
