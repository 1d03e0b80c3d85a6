"""Stub workers for the gateways of these tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile


@pytest.fixture
def one_worker() -> Iterator[StubWorkerFleet]:
    fleet = StubWorkerFleet(1)
    yield fleet
    fleet.stop()


@pytest.fixture
def two_workers() -> Iterator[StubWorkerFleet]:
    fleet = StubWorkerFleet(2)
    yield fleet
    fleet.stop()


@pytest.fixture
def one_slow_worker() -> Iterator[StubWorkerFleet]:
    """A worker that takes 50 ms for each request."""
    fleet = StubWorkerFleet(1, lambda n: Profile(load_s=0.01, work_s=0.05))
    yield fleet
    fleet.stop()


@pytest.fixture
def two_slow_workers() -> Iterator[StubWorkerFleet]:
    """Workers that take 50 ms for each request."""
    fleet = StubWorkerFleet(2, lambda n: Profile(load_s=0.01, work_s=0.05))
    yield fleet
    fleet.stop()


@pytest.fixture
def two_fast_workers() -> Iterator[StubWorkerFleet]:
    """Workers that take 2 ms for each request."""
    fleet = StubWorkerFleet(2, lambda n: Profile(load_s=0.01, work_s=0.002))
    yield fleet
    fleet.stop()
