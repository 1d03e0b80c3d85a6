"""Usage that is metered under another worker or kind of worker than its own would be lost."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import msgspec

from saffronstack import config as configs
from saffronstack.engine.identifiers import worker_number
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.metering.loss_charger import LossCharger
from saffronstack.metering.metered_workers import MeterClock, MeteredWorkers
from saffronstack.metering.record_collector import RecordCollector
from saffronstack.metering.usage_log import open_usage_log
from saffronstack.metering.worker_messages import CallReference, UsageRecord, UsageResponse
from tests.support.stack import running_gateway

CLOCK = MeterClock(lambda: 100.0, lambda: 1_000_000.0)
MEMORY_KIB = 1 << 20


def response_of(worker: str) -> bytes:
    usage = UsageRecord(worker, "i", 1, "f", 1000, 0, 1000, 0, 1, 0, (), (CallReference("id-1", "a", "c"),))
    return msgspec.msgpack.encode(UsageResponse(worker, "i", 2000, records=(usage,)))


def test_usage_of_a_process_that_took_a_workers_address_is_left_with_it(tmp_path: pathlib.Path) -> None:
    """Guards against lost usage: it was rejected for its worker's name, and acknowledged (issue 68 d)."""
    with open_usage_log(str(tmp_path), 1 << 20) as journal:
        workers = MeteredWorkers()
        losses = LossCharger(journal, workers, CLOCK)
        collector = RecordCollector(journal, workers, losses, CLOCK, lambda worker: MEMORY_KIB, None)
        old = WorkerSpec(worker_number("w1"), "w1", "127.0.0.1", 9001)
        new = WorkerSpec(worker_number("w2"), "w2", "127.0.0.1", 9001)
        workers.incarnations["w1"] = "before"
        assert collector.collect(old, response_of("w2")) is None
        assert collector.pop_rejected("w1") == []
        assert workers.incarnations == {"w1": "before"}
        assert collector.collect(new, response_of("w2")) is not None
        assert collector.accepted == 1


def test_a_reload_with_kinds_in_another_order_keeps_their_memory(tmp_path: pathlib.Path) -> None:
    """Guards against lost usage: records were measured against another kind's memory and rejected."""
    with running_gateway(1, metering={"directory": str(tmp_path / "usage")}) as stack:
        content: dict[str, Any] = dict(stack.content)
        first = {**content["kinds"][0], "name": "another", "memory_mb": 1.0}
        content["kinds"] = [first, *content["kinds"]]
        meter = stack.gateway.meter
        assert meter is not None
        before = [spec.kind for spec in meter._workers.specs.values()]
        assert "kinds" in stack.gateway.reload(configs.parse(json.dumps(content)))
        assert stack.call("identify-copy").status == 200
        assert [spec.kind for spec in meter._workers.specs.values()] == before == [0]
        assert [spec.kind for spec in stack.gateway.engine._loop._workers.specs.values()] == [0]
