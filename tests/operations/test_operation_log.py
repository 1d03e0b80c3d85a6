"""Tests of the operation log while the disk is full."""

from __future__ import annotations

import pathlib
import time

from saffronstack.operations.decisions import Coalesce, Execute
from saffronstack.operations.execution import Execution
from saffronstack.operations.operation_log import open_operation_log
from saffronstack.operations.operation_request import DeduplicationPolicy
from saffronstack.operations.operation_service import OperationService
from saffronstack.operations.operation_table import OperationTable
from saffronstack.routing.events import PriorAttempt
from saffronstack.routing.settings import Idempotency
from tests.support.operations import SealableFiles


def test_a_hundred_thousand_operations_in_flight_while_the_disk_is_full(tmp_path: pathlib.Path) -> None:
    """No attempt is sent and memory stays limited until the disk has space; then attempts are sent."""
    files = SealableFiles()
    log = open_operation_log(str(tmp_path), 1 << 20, files)
    table = OperationTable(256 * 1024 * 1024)
    operations = OperationService(table, time.monotonic, time.time, log)
    policy = DeduplicationPolicy(Idempotency.NON_IDEMPOTENT, 900.0, True)
    files.is_sealed = True
    executions = []
    for n in range(100_000):
        decision = table.admit(
            b"%012d" % n, b"p" * 16, Idempotency.NON_IDEMPOTENT, 900.0, f"id-{n}", operations.now()
        )
        assert isinstance(decision, Execute)
        decision.operation.execution = execution = Execution(decision.operation, policy)
        executions.append(execution)
    assert table.memory_bytes <= 256 * 1024 * 1024
    guards = [operations.attempt_guard(execution) for execution in executions]
    assert not any(guard.may_send([PriorAttempt(1, time.monotonic())]) for guard in guards[::1000])
    assert log.write_error
    joined = table.admit(b"%012d" % 7, b"p" * 16, Idempotency.NON_IDEMPOTENT, 900.0, "x", operations.now())
    assert isinstance(joined, Coalesce)
    files.is_sealed = False
    assert all(guard.may_send([PriorAttempt(1, time.monotonic())]) for guard in guards[::1000])
    assert len(log.state.in_flight) == 100
    assert log.close()
