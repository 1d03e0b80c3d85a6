"""A gateway's part in its fleet: a keeper and the fleet's tasks in the same process."""

from __future__ import annotations

from saffronstack.cli.leases import job_of, lease_fleet_of, open_client
from saffronstack.config.fleet import load_fleet
from saffronstack.config.load import ConfigError
from saffronstack.config.schema import InFleet
from saffronstack.fleet.leases.client import LeaseClient
from saffronstack.fleet.leases.errors import ForeignStateError
from saffronstack.fleet.leases.lease_server import LeaseServer
from saffronstack.fleet.tasks.runner import TaskRunner


class FleetPart:
    """What runs beside a gateway's calls; none of it is on a call's path."""

    def __init__(self, config: InFleet) -> None:
        """Starts it. ConfigError with the reason; OSError where an address or a directory can't be had."""
        self._node: LeaseServer | None = None
        self._client: LeaseClient | None = None
        self._runners: list[TaskRunner] = []
        fleet = load_fleet(config.path)
        if config.keeper is not None and config.state_directory is not None:
            try:
                self._node = LeaseServer(config.keeper, lease_fleet_of(fleet), config.state_directory)
            except (ForeignStateError, ValueError) as error:
                raise ConfigError(f"fleet: {error}") from error
            self._node.start()
        if config.tasks:
            client = self._client = open_client(fleet)
            self._runners = [
                TaskRunner(task.name, job_of(task, client), task.period_s, task.budget_s, client)
                for task in fleet.tasks
            ]
            for runner in self._runners:
                runner.start()

    def stop(self) -> bool:
        """End it; whether each task's run ended in time."""
        clean = all([runner.stop() for runner in self._runners])
        if self._client is not None:
            self._client.close()
        if self._node is not None:
            self._node.stop()
        return clean
