"""The worker registry converts snapshots, changes and observations to updates for the router."""

from __future__ import annotations

import pytest

from saffronstack.engine.dispatch import WorkerObservation
from saffronstack.engine.worker_registry import WorkerRegistry, WorkerSpec
from saffronstack.routing.events import EndpointUpdateKind, WorkerState
from tests.support.engine import WORKERS


def test_a_restart_that_a_worker_reports_is_notified_once() -> None:
    registry = WorkerRegistry()
    registry.apply_snapshot(100.0, 1000.0, WORKERS)
    assert registry.observe_worker(101.0, WorkerObservation(1, "a", 500.0)) is None
    assert registry.observe_worker(102.0, WorkerObservation(1, "a", 501.0)) is None
    update = registry.observe_worker(110.0, WorkerObservation(1, "b", 2.0))
    assert update is not None
    assert update.endpoints[0].started_s == pytest.approx(108.0)
    assert registry.observe_worker(111.0, WorkerObservation(1, "b", 3.0)) is None
    # The first incarnation of a worker is not a restart: its start time comes with the endpoint list.
    assert registry.observe_worker(111.0, WorkerObservation(2, "c", 1.0)) is None
    again = registry.apply_snapshot(112.0, 1012.0, WORKERS)
    assert {entry.worker_id: entry.started_s for entry in again.endpoints}[1] == pytest.approx(108.0)


def test_an_observation_of_an_unknown_worker_is_ignored() -> None:
    assert WorkerRegistry().observe_worker(1.0, WorkerObservation(7, "a", 0.5)) is None


def test_listed_start_times_are_converted_to_the_routers_clock() -> None:
    registry = WorkerRegistry()
    spec = WorkerSpec(1, "w", "127.0.0.1", 1, started_at=995.0)
    assert registry.apply_snapshot(100.0, 1000.0, [spec]).endpoints[0].started_s == pytest.approx(95.0)
    ahead = WorkerSpec(2, "w", "127.0.0.1", 1, started_at=2000.0)
    assert registry.apply_snapshot(100.0, 1000.0, [ahead]).endpoints[0].started_s == pytest.approx(100.0)


def test_clock_drift_does_not_count_as_a_restart() -> None:
    registry = WorkerRegistry()
    spec = WorkerSpec(1, "w", "127.0.0.1", 1, started_at=995.0)
    first = registry.apply_snapshot(100.0, 1000.0, [spec])
    assert registry.apply_snapshot(200.0, 1103.0, [spec]).endpoints == first.endpoints


def test_a_snapshot_forgets_workers_that_it_leaves_out() -> None:
    registry = WorkerRegistry()
    registry.apply_snapshot(100.0, 1000.0, WORKERS)
    registry.observe_worker(101.0, WorkerObservation(1, "a", 500.0))
    update = registry.apply_snapshot(102.0, 1002.0, WORKERS[1:])
    assert (update.kind, update.version) == (EndpointUpdateKind.SNAPSHOT, 2)
    assert {endpoint.worker_id for endpoint in update.endpoints} == {2, 3}
    registry.apply_snapshot(103.0, 1003.0, WORKERS)
    assert (
        registry.observe_worker(104.0, WorkerObservation(1, "b", 1.0)) is None
    )  # again the first incarnation


def test_changes_contain_removed_and_draining_workers() -> None:
    registry = WorkerRegistry()
    registry.apply_snapshot(100.0, 1000.0, WORKERS)
    draining = WorkerSpec(2, "w2", "127.0.0.1", 2, is_draining=True)
    update = registry.apply_changes(101.0, 1001.0, [draining], [1])
    assert update.kind is EndpointUpdateKind.INCREMENTAL
    assert [(endpoint.worker_id, endpoint.state) for endpoint in update.endpoints] == [
        (1, WorkerState.REMOVED),
        (2, WorkerState.DRAINING),
    ]
    assert set(registry.specs) == set(registry.endpoints) == {2, 3}


def test_changes_lead_to_the_same_state_as_a_snapshot() -> None:
    registry, from_snapshot = WorkerRegistry(), WorkerRegistry()
    specs = [WorkerSpec(n, f"w{n}", "h", n) for n in range(6)]
    registry.apply_snapshot(0.0, 100.0, specs[:4])
    update = registry.apply_changes(
        1.0, 101.0, [specs[4], WorkerSpec(1, "w1", "h", 1, is_draining=True)], [0, 77]
    )
    assert update.kind is EndpointUpdateKind.INCREMENTAL
    assert [(e.worker_id, e.state) for e in update.endpoints] == [
        (0, WorkerState.REMOVED),
        (4, WorkerState.READY),
        (1, WorkerState.DRAINING),
    ]
    from_snapshot.apply_snapshot(
        1.0, 101.0, [WorkerSpec(1, "w1", "h", 1, is_draining=True), specs[2], specs[3], specs[4]]
    )
    assert registry.endpoints == from_snapshot.endpoints
    assert registry.specs == from_snapshot.specs
