"""Tests with a model of a gateway and its operation log: any order of events has one effect and response."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from saffronstack.operations.decisions import Coalesce, Execute, Replay
from saffronstack.operations.operation import InFlightOperation, OperationState, StoredResponse
from saffronstack.operations.operation_log import (
    AnyLogRecord,
    AttemptStarted,
    LogReset,
    OperationFinished,
    OperationLogState,
    OperationReleased,
    OperationsExpired,
)
from saffronstack.operations.operation_table import OperationTable
from saffronstack.operations.record_format import decode_record
from saffronstack.routing.settings import Idempotency

WINDOW_S = 100.0
FINGERPRINT = b"p" * 16


@dataclass
class Model:
    """Executes the service's use of table and log step by step.

    ``missing_defence`` names one defence to leave out, to check that the tests notice its absence.
    """

    durable: bool = True
    missing_defence: str = ""
    now: float = 0.0
    table: OperationTable = field(default_factory=lambda: OperationTable(1 << 30))
    disk: list[AnyLogRecord] = field(default_factory=lambda: [LogReset()])
    in_flight: dict[bytes, InFlightOperation] = field(default_factory=dict)
    logged: set[bytes] = field(default_factory=set)
    executions: dict[bytes, int] = field(default_factory=dict)
    first_executed_s: dict[bytes, float] = field(default_factory=dict)  # window start by digest
    responses: dict[bytes, set[bytes]] = field(default_factory=dict)

    def send(self, digest: bytes) -> None:
        decision = self.table.admit(
            digest, FINGERPRINT, Idempotency.NON_IDEMPOTENT, WINDOW_S, digest.decode(), self.now
        )
        if isinstance(decision, Execute):
            self.in_flight[digest] = decision.operation
        elif isinstance(decision, Coalesce) and self.missing_defence == "no join":
            self.execute(digest)
        elif isinstance(decision, Replay):
            response = decision.record.response
            self.record_response(digest, response.body if response is not None else b"unknown")

    def record_response(self, digest: bytes, body: bytes) -> None:
        if digest in self.first_executed_s and self.now < self.first_executed_s[digest] + WINDOW_S:
            self.responses.setdefault(digest, set()).add(body)

    def execute(self, digest: bytes) -> None:
        if self.durable and digest not in self.logged and self.missing_defence != "log after the byte":
            operation = self.in_flight[digest]
            self.disk.append(
                AttemptStarted(
                    digest,
                    FINGERPRINT,
                    Idempotency.NON_IDEMPOTENT,
                    operation.request_id,
                    WINDOW_S,
                    1,
                    self.now,
                )
            )
            self.logged.add(digest)
        if digest not in self.first_executed_s or self.now >= self.first_executed_s[digest] + WINDOW_S:
            self.executions[digest], self.responses[digest] = 0, set()
            self.first_executed_s[digest] = self.now
        self.executions[digest] += 1

    def respond(self, digest: bytes, body: bytes, lost: bool) -> None:
        operation = self.in_flight.pop(digest)
        outcome = OperationState.OUTCOME_UNKNOWN if lost else OperationState.COMPLETED
        if lost and self.missing_defence == "a lost response releases":
            self.table.release(operation)
            self.disk.append(OperationReleased(digest))
            return
        record = self.table.complete(
            operation, outcome, StoredResponse(200, (), b"unknown" if lost else body), self.now
        )
        if digest in self.logged:
            self.disk.append(OperationFinished(digest, record, self.now + WINDOW_S))
        self.record_response(digest, b"unknown" if lost else body)

    def reject(self, digest: bytes) -> None:
        self.table.release(self.in_flight.pop(digest))

    def crash(self) -> None:
        state = OperationLogState()
        for log_record in self.disk:
            state.apply(log_record)
        recovered = OperationLogState()
        for log_record in state.snapshot():
            recovered.apply(log_record)
        self.table = OperationTable(1 << 30)
        for digest, record in sorted(
            recovered.recovered_operations(), key=lambda item: decode_record(item[1]).expires_s
        ):
            if decode_record(record).expires_s > self.now:
                self.table.restore(digest, record)
        self.disk = list(recovered.snapshot())
        self.in_flight.clear()
        self.logged = set(recovered.in_flight)

    def expire(self) -> None:
        self.table.expire(self.now)
        self.disk.append(OperationsExpired(self.now))

    def check(self) -> None:
        for digest, count in self.executions.items():
            assert count <= 1, f"{digest!r} was executed {count} times within its window"
        for digest, responses in self.responses.items():
            assert len(responses) <= 1, f"{digest!r} got the responses {responses}"


DIGESTS = [b"a", b"b", b"c"]


class OperationMachine(RuleBasedStateMachine):
    """Arbitrary orders of requests, executions, responses, losses, rejections, crashes and expiry."""

    @initialize()
    def start(self) -> None:
        self.model = Model()
        self.ran: set[bytes] = set()

    def waiting(self, which: int, ran: bool) -> bytes | None:
        found = sorted(d for d in self.model.in_flight if (d in self.ran) == ran)
        return found[which % len(found)] if found else None

    @rule(name=st.sampled_from(DIGESTS))
    def send(self, name: bytes) -> None:
        self.model.send(name)

    @rule(which=st.integers(0, 5))
    def run(self, which: int) -> None:
        name = self.waiting(which, ran=False)
        if name is not None:
            self.model.execute(name)
            self.ran.add(name)

    @rule(which=st.integers(0, 5), body=st.binary(min_size=1, max_size=2), lost=st.booleans())
    def respond(self, which: int, body: bytes, lost: bool) -> None:
        name = self.waiting(which, ran=True)
        if name is not None:
            self.model.respond(name, body, lost)
            self.ran.discard(name)

    @rule(which=st.integers(0, 5))
    def reject(self, which: int) -> None:
        name = self.waiting(which, ran=False)
        if name is not None:
            self.model.reject(name)

    @rule()
    def crash(self) -> None:
        self.model.crash()
        self.ran.clear()

    @rule(by=st.sampled_from([0.5, 20.0, 99.9, 100.0]))
    def pass_time(self, by: float) -> None:
        self.model.now += by
        self.model.expire()

    @invariant()
    def holds(self) -> None:
        if hasattr(self, "model"):
            self.model.check()


OperationMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestOperationMachine = OperationMachine.TestCase


def explore(missing_defence: str, depth: int) -> str:
    """Run all sequences of up to ``depth`` steps on one operation; return the first violation, or ''."""
    steps = ("send", "run", "respond", "lose", "crash")
    for length in range(1, depth + 1):
        for order in itertools.product(steps, repeat=length):
            model, executed = Model(missing_defence=missing_defence), False
            for step in order:
                if step == "send":
                    executed = executed if b"a" in model.in_flight else False
                    model.send(b"a")
                elif step == "run" and b"a" in model.in_flight and not executed:
                    model.execute(b"a")
                    executed = True
                elif step in ("respond", "lose") and executed and b"a" in model.in_flight:
                    model.respond(b"a", b"x", step == "lose")
                    executed = False
                elif step == "crash":
                    model.crash()
                    executed = False
                model.now += 0.1
                try:
                    model.check()
                except AssertionError as error:
                    return f"{' '.join(order)}: {error}"
    return ""


@pytest.mark.parametrize("missing_defence", ["no join", "log after the byte", "a lost response releases"])
def test_exploration_finds_each_defence_left_out(missing_defence: str) -> None:
    assert "times within its window" in explore(missing_defence, 6)


def test_exploration_finds_no_fault_with_all_defences() -> None:
    assert explore("", 6) == ""
