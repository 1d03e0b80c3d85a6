"""Writes final records, each with the call that delivers it to the function's destination."""

from __future__ import annotations

import uuid

from saffronstack.config.build import Functions
from saffronstack.config.schema import Config
from saffronstack.deferred.invocation_record import CompletedInvocation, encode_invocation_record
from saffronstack.deferred.ledger import Ledger
from saffronstack.deferred.records import CallAccepted, CallFinished
from saffronstack.deferred.retry_policy import Condition
from saffronstack.deferred.tracked_call import FinalOutcome, TrackedCall


class FinalRecordWriter:
    """Appends final records to the ledger; used on the dispatcher thread."""

    def __init__(self, config: Config, ledger: Ledger, functions: Functions) -> None:
        """Write to ``ledger``; ``functions`` names the destinations."""
        self._arn_prefix = f"arn:aws:lambda:{config.region}:{config.account}:function:"
        self._ledger = ledger
        self._functions = functions

    def write(self, call: TrackedCall, outcome: FinalOutcome, now: float) -> None:
        """Append the final record and the call to its destination; both become durable or neither does.

        Args:
            call: The finished call. This method sets its ``final_record_ticket`` and ``delivery``.
            outcome: Outcome of the call.
            now: Current Unix time.
        """
        accepted = call.accepted
        invocation = CompletedInvocation(
            request_id=accepted.request_id,
            arn=self._arn_prefix + accepted.function,
            condition=outcome.condition,
            attempts=call.attempts,
            finished_at=now,
            response=outcome.response,
            function_error=outcome.function_error,
            reason=outcome.reason,
        )
        content = encode_invocation_record(invocation, accepted.payload)
        finished = CallFinished(accepted.request_id, accepted.function, accepted.tenant, now, content)
        destination = self._find_destination(accepted.function, outcome.condition)
        if destination is None:
            call.final_record_ticket = self._ledger.append(finished)
            return
        delivery_id = str(uuid.uuid5(uuid.NAMESPACE_OID, accepted.request_id))
        call.delivery = CallAccepted(delivery_id, destination, accepted.tenant, content, "", delivery_id, now)
        call.final_record_ticket = self._ledger.append(finished, call.delivery)

    def _find_destination(self, function: str, condition: Condition) -> str | None:
        configured_function = self._functions.get(function)
        if configured_function is None:
            return None
        return (
            configured_function.config.on_success
            if condition is Condition.SUCCESS
            else configured_function.config.on_failure
        )
