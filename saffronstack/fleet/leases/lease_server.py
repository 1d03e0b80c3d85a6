"""One keeper put together: disk, machine, links to the others, its address."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable

from saffronstack.durable.segments import Files
from saffronstack.fleet.leases.acceptor_service import AcceptorService
from saffronstack.fleet.leases.disk import AcceptorDisk
from saffronstack.fleet.leases.http_endpoint import LeaseHttpEndpoint
from saffronstack.fleet.leases.messages import LeaseLimits, Message
from saffronstack.fleet.leases.server_link import LeaseServerLink


class LeaseServer:
    """A keeper that can be asked, in a process of its own or in a gateway's."""

    def __init__(
        self,
        name: str,
        fleet: str,
        addresses: dict[str, str],
        bounds: LeaseLimits,
        wait_s: float,
        directory: str,
        *,
        listen: str = "",
        clock: Callable[[], float] = time.monotonic,
        files: Files | None = None,
    ) -> None:
        """``listen`` replaces its own address. ValueError for an unknown name, ForeignStateError, OSError."""
        if name not in addresses:
            raise ValueError(f"{name!r} is none of the keepers {', '.join(sorted(addresses))}")
        disk = AcceptorDisk(directory, fleet, name, bounds.servers, files)
        self.service = AcceptorService(name, bounds, disk, secrets.randbits(62), clock, self._say)
        host, _, port = (listen or addresses[name]).rpartition(":")
        self.server = LeaseHttpEndpoint(host, int(port), fleet, self.service, time.monotonic)
        self._links = {
            other: LeaseServerLink(
                other, address, fleet, name, wait_s, self._heard, time.monotonic, secrets.randbits(31)
            )
            for other, address in addresses.items()
            if other != name
        }

    def start(self) -> tuple[str, int]:
        """Take messages; the address listened on."""
        for link in self._links.values():
            link.start()
        self.service.start()
        self.server.start()
        return self.server.address

    def stop(self) -> None:
        """Answer nobody any more."""
        self.server.stop()
        self.service.stop()
        for link in self._links.values():
            link.stop()

    def _say(self, keeper: str, message: Message) -> None:
        link = self._links.get(keeper)
        if link is not None:
            link.say(message)

    def _heard(self, keeper: str, messages: tuple[Message, ...]) -> None:
        self.service.hear(keeper, messages)
