"""Fixtures for the tests of discovery over DNS."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, closing

import pytest

from tests.discovery.dns.support import DiscoveryServer, ObservedResolver, Respond

StartDiscovery = Callable[[Respond], tuple[DiscoveryServer, ObservedResolver]]


@pytest.fixture
def start_discovery() -> Iterator[StartDiscovery]:
    """Return a function that starts a server and a resolver that polls it."""
    with ExitStack() as stack:

        def start(respond: Respond) -> tuple[DiscoveryServer, ObservedResolver]:
            server = stack.enter_context(closing(DiscoveryServer(respond)))
            observed = ObservedResolver(server.address, interval_s=0.02)
            stack.callback(observed.resolver.stop)
            observed.resolver.start()
            return server, observed

        yield start


@pytest.fixture
def observed() -> ObservedResolver:
    """Return a resolver without a running thread, to which the test passes responses."""
    return ObservedResolver()
