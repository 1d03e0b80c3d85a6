"""Runs services for the fleet inside a gateway process: a lease server and the scheduled tasks."""

from __future__ import annotations

from saffronstack.cli.leases import create_lease_fleet, create_task, open_client
from saffronstack.config.fleet import FleetFile, load_fleet_file
from saffronstack.config.load import ConfigError
from saffronstack.config.schema import FleetMembership
from saffronstack.fleet.leases.client import LeaseClient
from saffronstack.fleet.leases.errors import ForeignStateError
from saffronstack.fleet.leases.lease_server import LeaseServer
from saffronstack.fleet.tasks.runner import TaskRunner


class FleetServices:
    """The running fleet services of this process. No request passes through them."""

    def __init__(self, config: FleetMembership) -> None:
        """Start the services that ``config`` names.

        Raises:
            ConfigError: The fleet file or the lease server's state is invalid.
            OSError: The lease server's address or directory is not available.
        """
        self._lease_server: LeaseServer | None = None
        self._client: LeaseClient | None = None
        self._runners: list[TaskRunner] = []
        fleet = load_fleet_file(config.path)
        if config.keeper is not None and config.state_directory is not None:
            self._lease_server = _start_lease_server(fleet, config.keeper, config.state_directory)
        if config.tasks:
            client = self._client = open_client(fleet)
            self._runners = [
                TaskRunner(task.name, create_task(task, fleet, client), task.period_s, task.budget_s, client)
                for task in fleet.tasks
            ]
            for runner in self._runners:
                runner.start()

    def request_stop(self) -> None:
        """Cancel task runs and pending lease requests without waiting; the lease server keeps running."""
        for runner in self._runners:
            runner.request_stop()
        if self._client is not None:
            self._client.cancel_acquires()

    def stop(self) -> bool:
        """Stop the services; return whether all task runs ended in time."""
        self.request_stop()
        ended_in_time = [runner.stop() for runner in self._runners]
        if self._client is not None:
            self._client.close()
        if self._lease_server is not None:
            self._lease_server.stop()
        return all(ended_in_time)


def _start_lease_server(fleet: FleetFile, name: str, state_directory: str) -> LeaseServer:
    try:
        server = LeaseServer(name, create_lease_fleet(fleet), state_directory)
    except (ForeignStateError, ValueError) as error:
        raise ConfigError(f"fleet: {error}") from error
    server.start()
    return server
