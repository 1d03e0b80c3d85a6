"""The engine's worker registry takes incremental updates of discovery as it takes complete lists."""

from __future__ import annotations

from saffronstack.engine.worker_registry import WorkerRegistry, WorkerSpec
from saffronstack.routing.events import EndpointUpdateKind, WorkerState


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
