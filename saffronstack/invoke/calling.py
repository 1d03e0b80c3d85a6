"""From a checked request to its answer: the call's own way, and what sends of one operation share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.config.build import Known
from saffronstack.config.schema import Config
from saffronstack.deferred.call_acceptor import Submission
from saffronstack.deferred.deferred_calls import DeferredCalls
from saffronstack.deferred.errors import CommitError, LedgerFullError
from saffronstack.engine.calls import Call, FinalAnswer, FinalStatus
from saffronstack.engine.engine import Engine
from saffronstack.invoke import errors
from saffronstack.invoke.errors import InvokeError
from saffronstack.invoke.response import Response
from saffronstack.metering.budgets import BudgetEnforcer
from saffronstack.operations.errors import (
    ClientDisconnectedError,
    FingerprintMismatchError,
    OperationInProgressError,
    OperationTableFullError,
    OutcomeUnknownError,
    ResponseNotStoredError,
)
from saffronstack.operations.execution import (
    CLIENT_CHECK_INTERVAL_S,
    Completed,
    ExecuteOperation,
    Execution,
    NotCompleted,
)
from saffronstack.operations.idempotency_keys import (
    OperationIdentity,
    payload_fingerprint,
    worker_idempotency_key,
)
from saffronstack.operations.operation import OperationRecord, OperationState, StoredResponse
from saffronstack.operations.operation_request import DeduplicationPolicy, OperationRequest
from saffronstack.operations.operation_service import OperationService
from saffronstack.operations.record_format import encode_record
from saffronstack.operations.request_coalescing import CacheKey
from saffronstack.routing.events import PriorAttempt
from saffronstack.routing.settings import Idempotency

UNWRITTEN = "the disk took it and has not answered; it is taken back as soon as it does"
REPEATED = ("X-Saffron-Repeated", "true")  # on an answer that another send of the operation got before


@dataclass(frozen=True, slots=True)
class Asked:
    """An invocation that was checked."""

    request_id: str
    tenant: str
    known: Known
    qualifier: str
    payload: bytes
    context: str
    token: str  # the operation's name as its client gave it; empty where it gave none
    until_s: float  # of the clock: how long its client waits; nothing is begun later
    wants_log: bool = False

    def headers(self, request_id: str) -> tuple[tuple[str, str], ...]:
        """Of its answer."""
        return (
            ("Content-Type", "application/json"),
            ("x-amzn-RequestId", request_id),
            ("X-Amz-Executed-Version", self.qualifier),
        )

    def identity(self, kind: str) -> OperationIdentity:
        """Its operation."""
        return OperationIdentity(self.tenant, self.known.spec.name, self.qualifier, kind, self.token)


class Caller:
    """Used by every connection's thread."""

    def __init__(
        self,
        config: Config,
        engine: Engine,
        deferred: DeferredCalls | None,
        clock: Callable[[], float],
        limits: BudgetEnforcer | None,
        operations: OperationService | None,
    ) -> None:
        self._config = config
        self._engine = engine
        self._deferred = deferred
        self._clock = clock
        self._limits = limits
        self._operations = operations
        self._tenants = {tenant.name: place for place, tenant in enumerate(config.tenants)}
        window_s = config.operations.window_s if config.operations is not None else 0.0
        self._policies = {
            cls.name: DeduplicationPolicy(
                Idempotency(cls.effect),
                cls.operation_window_s or window_s,
                cls.note_operations,
                requires_slot=cls.effect != "safe",
            )
            for cls in config.classes
        }

    # ---- synchronous

    def call(self, asked: Asked, client_there: Callable[[], bool]) -> Response:
        """Run it, or give the answer that its operation has. InvokeError, ClientDisconnectedError."""
        if self._operations is None or not asked.token:
            call = self._make(asked, asked.request_id, self._place(asked), None, None)
            final = self._run(call, client_there, None)
            if final.status is FinalStatus.CLIENT_DISCONNECTED:
                raise ClientDisconnectedError
            if _ran_unnamed(asked, final):
                final = FinalAnswer(
                    FinalStatus.FAILED, reason="it may have run, and its client named no operation"
                )
            if final.status is FinalStatus.REJECTED:
                raise _refusal(final)
            return _response(final, asked.headers(asked.request_id), asked.wants_log)

        policy = self.policy(asked)
        if policy.idempotency is Idempotency.IDEMPOTENT:
            return self._safe(self._operations, asked, policy, client_there)

        def run(execution: Execution, prior: PriorAttempt | None) -> Completed | NotCompleted:
            return self._perform(asked, client_there, execution, prior)

        return self._once(
            self._operations, asked, "RequestResponse", policy, run, asked.until_s, client_there
        )

    def policy(self, asked: Asked) -> DeduplicationPolicy:
        """What its class says of its operation."""
        return self._policies[asked.known.config.call_class]

    def unknown(self, asked: Asked) -> Response:
        """The answer to a send whose operation's process is silent."""
        return _unknown(asked.headers(asked.request_id), "the process that runs it gave no answer")

    def _safe(
        self,
        operations: OperationService,
        asked: Asked,
        policy: DeduplicationPolicy,
        client_there: Callable[[], bool],
    ) -> Response:
        """A safe operation: joined while it is open, answered again while it is remembered, else run."""
        cache, now = operations.coalescing_cache, self._clock()
        key = CacheKey(asked.tenant, asked.known.spec.name, asked.qualifier, asked.token)
        payload_hash = hash((asked.payload, asked.context))
        while True:
            entry, mine = cache.join_or_start(key, payload_hash, asked.request_id, now)
            if mine:
                break
            if entry.payload_hash != payload_hash:
                operations.request_counts["mismatched"] += 1
                raise errors.mismatched(entry.request_id)
            answer = entry.response
            if answer is None:
                operations.request_counts["joined"] += 1
                assert entry.done is not None
                try:
                    while not entry.done.wait(
                        min(CLIENT_CHECK_INTERVAL_S, max(0.0, asked.until_s - self._clock()))
                    ):
                        if self._clock() >= asked.until_s:
                            raise errors.too_many("The operation is still under way.", 1.0)
                        if not client_there():
                            raise ClientDisconnectedError
                finally:
                    cache.leave(entry)
                answer = entry.response
                if answer is None:
                    continue  # it was refused, or nobody waited any more: this send's turn
            else:
                operations.request_counts["repeated"] += 1
            return Response(answer.status, (*answer.headers, REPEATED), answer.body)
        operations.request_counts["begun"] += 1
        kept: Response | None = None
        try:
            call = self._make(asked, asked.request_id, self._place(asked), None, None)
            final = self._run(call, client_there, None, lambda: not entry.waiters)
            if final.status is FinalStatus.CLIENT_DISCONNECTED:
                raise ClientDisconnectedError
            if final.status is FinalStatus.REJECTED:
                raise _refusal(final)
            response = _response(final, asked.headers(asked.request_id), asked.wants_log)
            if (
                final.status is FinalStatus.SERVED
                and len(response.body) <= operations.max_inline_response_bytes
            ):
                kept = response
            return response
        finally:
            size = len(kept.body) if kept is not None else 0
            cache.complete(entry, kept, size, now + policy.window_s, now)

    def _perform(
        self, asked: Asked, client_there: Callable[[], bool], execution: Execution, prior: PriorAttempt | None
    ) -> Completed | NotCompleted:
        request_id = execution.operation.request_id
        try:
            call = self._make(asked, request_id, self._place(asked), prior, execution)
            final = self._run(call, client_there, execution)
        except InvokeError as error:
            return NotCompleted(error, prior)
        if final.status is FinalStatus.CLIENT_DISCONNECTED:
            return NotCompleted(ClientDisconnectedError(), prior)
        if final.status is FinalStatus.REJECTED:
            return NotCompleted(_refusal(final), final.prior_attempt, final.attempt_in_flight_until_s)
        answer = _response(final, asked.headers(request_id), asked.wants_log)
        return Completed(
            StoredResponse(answer.status, answer.headers, answer.body),
            is_outcome_unknown=final.status is FinalStatus.FAILED,
        )

    def _make(
        self,
        asked: Asked,
        request_id: str,
        place: int,
        prior: PriorAttempt | None,
        execution: Execution | None,
    ) -> Call:
        known = asked.known
        deadline_s = asked.until_s - self._config.answer_margin_s * 0.8
        if deadline_s <= self._clock():
            raise errors.too_many("It came too late to be begun.", 1.0)
        guard = None
        if (
            execution is not None
            and execution.policy.idempotency is not Idempotency.IDEMPOTENT
            and self._operations is not None
        ):
            guard = self._operations.attempt_guard(execution)
        return Call(
            self._engine.next_call_number(),
            request_id,
            known.spec,
            asked.payload,
            deadline_s,
            place,
            asked.tenant,
            worker_idempotency_key(asked.tenant, asked.token, request_id),
            asked.context,
            asked.wants_log,
            prior,
            guard,
            class_name=known.config.call_class,
        )

    def _run(
        self,
        call: Call,
        client_there: Callable[[], bool],
        execution: Execution | None,
        alone: Callable[[], bool] = lambda: True,
    ) -> FinalAnswer:
        """Hand a call to the engine and wait for its final answer, watching the client meanwhile. One that
        left takes the call along where it was ``alone`` and nothing of it can have had an effect.
        """
        if not self._engine.submit(call):
            raise errors.too_many("Too many calls are open.", 1.0)
        latest_s = call.deadline_s + self._config.answer_margin_s * 0.8
        while True:
            final = call.wait(min(CLIENT_CHECK_INTERVAL_S, max(0.0, latest_s - self._clock())))
            if final is not None:
                return final
            if self._clock() >= latest_s:  # the engine itself is stuck: an answer all the same
                call.finish(FinalAnswer(FinalStatus.FAILED, reason="the gateway did not decide in time"))
            elif not client_there() and alone() and (execution is None or execution.try_abandon()):
                self._engine.disconnect(call)

    def _place(self, asked: Asked) -> int:
        """The tenant's place among the module's; InvokeError where its budget allows no load it needs."""
        place = self._tenants.get(asked.tenant, 0)
        if self._limits is None:
            return place
        admission = self._limits.admit(asked.tenant, asked.known.spec.name, self._clock())
        if not admission.is_admitted:
            raise errors.too_many(f"The memory budget of {asked.tenant} is used up.", admission.retry_after_s)
        return len(self._tenants) if admission.is_over_soft_limit else place

    # ---- deferred

    def defer(self, asked: Asked, client_there: Callable[[], bool]) -> Response:
        """Take it for later, or say again that it was taken. It may wait for its budget's room; each of its
        tries is judged when it comes.
        """
        if self._operations is None or not asked.token:
            headers = asked.headers(asked.request_id)[1:]
            try:
                self._accept(asked, asked.request_id)
            except OutcomeUnknownError:
                return _unknown(asked.headers(asked.request_id), UNWRITTEN)
            return Response(202, headers)
        operations = self._operations
        policy = self.policy(asked)
        digest = asked.identity("Event").digest()

        def run(execution: Execution, prior: PriorAttempt | None) -> Completed | NotCompleted:
            operation = execution.operation
            if self._clock() >= asked.until_s:
                return NotCompleted(errors.too_many("It came too late to be begun.", 1.0))
            answer = StoredResponse(202, asked.headers(operation.request_id)[1:])
            until = operations.now() + policy.window_s
            record = OperationRecord(
                OperationState.COMPLETED,
                until,
                operation.fingerprint,
                operation.request_id,
                operation.idempotency,
                answer,
            )
            try:
                self._accept(asked, operation.request_id, digest, encode_record(record), until)
            except InvokeError as error:
                return NotCompleted(error)
            except OutcomeUnknownError:
                unknown = _unknown(asked.headers(operation.request_id), UNWRITTEN)
                return Completed(
                    StoredResponse(unknown.status, unknown.headers, unknown.body), is_outcome_unknown=True
                )
            return Completed(answer)

        patience_s = self._config.ledger.commit_timeout_s + 1.0 if self._config.ledger is not None else 1.0
        latest_s = self._clock() + patience_s
        policy = DeduplicationPolicy(
            policy.idempotency, policy.window_s, is_logged=False
        )  # the ledger's commit is its note
        return self._once(operations, asked, "Event", policy, run, latest_s, client_there)

    def _accept(
        self, asked: Asked, request_id: str, operation: bytes = b"", packed: bytes = b"", until: float = 0.0
    ) -> None:
        if self._deferred is None:
            raise errors.service("This gateway takes no deferred calls: its configuration names no ledger.")
        submission = Submission(
            request_id,
            asked.known.spec.name,
            asked.tenant,
            asked.payload,
            asked.context,
            worker_idempotency_key(asked.tenant, asked.token, request_id),
            operation,
            packed,
            until,
        )
        try:
            self._deferred.accept(submission)
        except LedgerFullError as error:
            raise errors.too_many(str(error), error.retry_after_s) from error
        except CommitError as error:
            if error.may_be_stored and asked.known.effect is not Idempotency.IDEMPOTENT:
                raise OutcomeUnknownError(request_id) from error
            text = f"Deferred calls can't be written down now: {error}"
            raise errors.too_many(text, error.retry_after_s) from error

    # ---- operations

    def _once(
        self,
        operations: OperationService,
        asked: Asked,
        kind: str,
        policy: DeduplicationPolicy,
        run: ExecuteOperation,
        latest_s: float,
        client_there: Callable[[], bool],
    ) -> Response:
        """One operation's answer, whichever of its sends this is."""
        try:
            request = OperationRequest(
                asked.identity(kind).digest(),
                payload_fingerprint(asked.payload, asked.context),
                policy,
                asked.request_id,
                latest_s,
                client_there,
            )
            result = operations.perform(request, run)
        except FingerprintMismatchError as error:
            raise errors.mismatched(error.request_id) from error
        except OperationTableFullError as error:
            raise errors.too_many("Too many operations are remembered.", error.retry_after_s) from error
        except OutcomeUnknownError as error:
            return _unknown(asked.headers(error.request_id), "the gateway was killed before it had an answer")
        except ResponseNotStoredError as error:
            known = error.response
            body = errors.answer_not_kept(known.status, known.body_length, known.body_digest)
            headers = (*asked.headers(error.request_id), ("X-Amz-Function-Error", "Unhandled"), REPEATED)
            return Response(200, headers, body)
        except OperationInProgressError as error:
            if policy.idempotency is Idempotency.IDEMPOTENT or kind == "Event":
                raise errors.too_many("The operation is still under way.", 1.0) from error
            return _unknown(asked.headers(asked.request_id), "another send of it is still under way")
        answer = result.response
        headers = (*answer.headers, REPEATED) if result.is_replayed else answer.headers
        return Response(answer.status, headers, answer.body)


def _ran_unnamed(asked: Asked, final: FinalAnswer) -> bool:
    """Whether a refusal is no harmless one: the keyed call may have run, and its repeat, which its client
    does not name alike, would come with another key.
    """
    keyed = asked.known.effect is Idempotency.WITH_KEY
    return (
        final.status is FinalStatus.REJECTED and keyed and not asked.token and final.prior_attempt is not None
    )


def _refusal(final: FinalAnswer) -> InvokeError:
    return errors.too_many(f"Rate exceeded: {final.reason or 'refused'}.", final.retry_after_s)


def _unknown(headers: tuple[tuple[str, str], ...], reason: str) -> Response:
    failed = ("X-Amz-Function-Error", "Unhandled")
    return Response(200, (*headers, failed, REPEATED), errors.outcome_unknown(reason))


def _response(final: FinalAnswer, headers: tuple[tuple[str, str], ...], wants_log: bool) -> Response:
    """The answer of a call that was served or failed."""
    if final.status is FinalStatus.SERVED:
        extra = (("X-Amz-Function-Error", final.function_error),) if final.function_error else ()
        tail = (("X-Amz-Log-Result", final.log_tail),) if wants_log and final.log_tail else ()
        return Response(200, (*headers, *extra, *tail), final.payload)
    return Response(
        200, (*headers, ("X-Amz-Function-Error", "Unhandled")), errors.outcome_unknown(final.reason)
    )
