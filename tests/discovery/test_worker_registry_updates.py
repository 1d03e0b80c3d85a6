"""The engine's worker registry takes incremental updates of discovery as it takes complete lists."""

from __future__ import annotations

from saffronstack.engine.worker_registry import Roster, WorkerSpec
from saffronstack.routing.events import EndpointUpdateKind, WorkerState


def test_the_core_takes_changes_as_it_takes_lists() -> None:
    roster, whole = Roster(), Roster()
    specs = [WorkerSpec(n, f"w{n}", "h", n) for n in range(6)]
    roster.told(0.0, 100.0, specs[:4])
    update = roster.changed(1.0, 101.0, [specs[4], WorkerSpec(1, "w1", "h", 1, draining=True)], [0, 77])
    assert update.kind is EndpointUpdateKind.INCREMENTAL
    assert [(e.worker_id, e.state) for e in update.endpoints] == [
        (0, WorkerState.REMOVED),
        (4, WorkerState.READY),
        (1, WorkerState.DRAINING),
    ]
    whole.told(1.0, 101.0, [WorkerSpec(1, "w1", "h", 1, draining=True), specs[2], specs[3], specs[4]])
    assert roster.entries == whole.entries
    assert roster.specs == whole.specs
