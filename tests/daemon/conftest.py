"""Stub workers for the gateways of these tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from saffronstack.standin.fleet import StandInFleet
from saffronstack.standin.model import Profile


@pytest.fixture
def one_worker() -> Iterator[StandInFleet]:
    fleet = StandInFleet(1)
    yield fleet
    fleet.stop()


@pytest.fixture
def two_workers() -> Iterator[StandInFleet]:
    fleet = StandInFleet(2)
    yield fleet
    fleet.stop()


@pytest.fixture
def one_slow_worker() -> Iterator[StandInFleet]:
    """A worker that takes 50 ms for each request."""
    fleet = StandInFleet(1, lambda n: Profile(load_s=0.01, work_s=0.05))
    yield fleet
    fleet.stop()


@pytest.fixture
def two_slow_workers() -> Iterator[StandInFleet]:
    """Workers that take 50 ms for each request."""
    fleet = StandInFleet(2, lambda n: Profile(load_s=0.01, work_s=0.05))
    yield fleet
    fleet.stop()


@pytest.fixture
def two_fast_workers() -> Iterator[StandInFleet]:
    """Workers that take 2 ms for each request."""
    fleet = StandInFleet(2, lambda n: Profile(load_s=0.01, work_s=0.002))
    yield fleet
    fleet.stop()
