"""A lease server: an acceptor with its disk, its HTTP endpoint and its links to the other servers."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable

from saffronstack.durable.file_operations import FileOperations
from saffronstack.fleet.leases.acceptor_service import AcceptorService
from saffronstack.fleet.leases.disk import AcceptorDisk
from saffronstack.fleet.leases.errors import UnknownServerError
from saffronstack.fleet.leases.http_endpoint import LeaseHttpEndpoint
from saffronstack.fleet.leases.limits import LeaseFleet
from saffronstack.fleet.leases.messages import Message
from saffronstack.fleet.leases.server_link import LeaseServerLink


class LeaseServer:
    """One of a fleet's lease servers. It runs in its own process or inside a gateway process."""

    def __init__(
        self,
        name: str,
        fleet: LeaseFleet,
        directory: str,
        *,
        listen: str = "",
        clock: Callable[[], float] = time.monotonic,
        files: FileOperations | None = None,
    ) -> None:
        """Load the state and bind the address; requests are served after `start`.

        Args:
            name: The name of this server, one of the fleet's.
            fleet: The fleet's servers and limits.
            directory: The state directory.
            listen: The address to bind; empty for the address of this server in ``fleet``.
            clock: The monotonic clock that times grants, in seconds.
            files: Performs the disk I/O.

        Raises:
            UnknownServerError: The fleet has no server of this name.
            ForeignStateError: The directory contains the state of another server or fleet.
            OSError: The directory can't be read, or the address can't be bound.
        """
        addresses = fleet.addresses
        if name not in addresses:
            raise UnknownServerError(f"{name!r} is none of the keepers {', '.join(sorted(addresses))}")
        disk = AcceptorDisk(directory, fleet.name, name, fleet.limits.servers, files)
        self.service = AcceptorService(
            name, fleet.limits, disk, secrets.randbits(62), clock, self._send_to_server
        )
        host, _, port = (listen or addresses[name]).rpartition(":")
        self.endpoint = LeaseHttpEndpoint(host, int(port), fleet.name, self.service, time.monotonic)
        self._links = {
            other: LeaseServerLink(
                other, fleet, name, self.service.handle_responses, time.monotonic, secrets.randbits(31)
            )
            for other in addresses
            if other != name
        }

    def start(self) -> tuple[str, int]:
        """Start serving; return the bound host and port."""
        for link in self._links.values():
            link.start()
        self.service.start()
        self.endpoint.start()
        return self.endpoint.address

    def stop(self) -> None:
        """Respond to the requests already received, then stop serving."""
        self.service.end_polls()
        self.endpoint.stop()
        self.service.stop()
        for link in self._links.values():
            link.stop()

    def _send_to_server(self, server: str, message: Message) -> None:
        link = self._links.get(server)
        if link is not None:
            link.send(message)
