"""Coalesces requests of one idempotent operation while it is in flight, and replays its cached response."""

from __future__ import annotations

from collections.abc import Callable

from saffronstack.engine.calls import FinalStatus
from saffronstack.invoke import errors
from saffronstack.invoke.engine_calls import EngineCalls
from saffronstack.invoke.final_responses import build_response, rejection_error, replayed_response
from saffronstack.invoke.invocation import Invocation, IsClientConnected
from saffronstack.invoke.response import Response
from saffronstack.operations.errors import ClientDisconnectedError
from saffronstack.operations.execution import CLIENT_CHECK_INTERVAL_S
from saffronstack.operations.operation_service import OperationService
from saffronstack.operations.request_coalescing import CacheableResponse, CacheEntry, CacheKey


class CoalescedCalls:
    """Executes idempotent operations, with one execution for concurrent requests. Thread-safe."""

    def __init__(self, calls: EngineCalls, operations: OperationService, clock: Callable[[], float]) -> None:
        """Execute operations by ``calls``, and cache their responses in the cache of ``operations``."""
        self._calls = calls
        self._cache = operations.coalescing_cache
        self._counts = operations.request_counts
        self._max_cached_bytes = operations.max_inline_response_bytes
        self._clock = clock

    def call(
        self, invocation: Invocation, window_s: float, is_client_connected: IsClientConnected
    ) -> Response:
        """Return the operation's response; execute the operation unless another request does or did.

        Args:
            invocation: One request of the operation.
            window_s: Seconds that the response stays cached.
            is_client_connected: Tells whether the client of this request is still connected.

        Raises:
            InvokeError: The request is rejected, or its idempotency key was used with another payload.
            ClientDisconnectedError: The client disconnected before the response was known.
        """
        key = CacheKey(
            invocation.tenant, invocation.function.spec.name, invocation.qualifier, invocation.idempotency_key
        )
        payload_hash = hash((invocation.payload, invocation.client_context))
        now_s = self._clock()
        while True:
            entry, is_own = self._cache.join_or_start(key, payload_hash, invocation.request_id, now_s)
            if is_own:
                return self._run(invocation, entry, now_s, window_s, is_client_connected)
            if entry.payload_hash != payload_hash:
                self._counts["mismatched"] += 1
                raise errors.idempotency_mismatch(entry.request_id)
            response = self._response_of_other(invocation, entry, is_client_connected)
            # Without a response, the other request was rejected or its client disconnected: start over.
            if response is not None:
                return replayed_response(response)

    def _response_of_other(
        self,
        invocation: Invocation,
        entry: CacheEntry[CacheableResponse],
        is_client_connected: IsClientConnected,
    ) -> CacheableResponse | None:
        """Wait for the response of the request that executes the operation.

        Returns None if that request ends without a response.
        """
        if entry.response is not None:
            self._counts["repeated"] += 1
            return entry.response
        self._counts["joined"] += 1
        assert entry.done is not None
        try:
            while not entry.done.wait(self._wait_timeout_s(invocation)):
                if self._clock() >= invocation.deadline_s:
                    raise errors.too_many_requests("The operation is still under way.", 1.0)
                if not is_client_connected():
                    raise ClientDisconnectedError
        finally:
            self._cache.leave(entry)
        return entry.response

    def _wait_timeout_s(self, invocation: Invocation) -> float:
        return min(CLIENT_CHECK_INTERVAL_S, max(0.0, invocation.deadline_s - self._clock()))

    def _run(
        self,
        invocation: Invocation,
        entry: CacheEntry[CacheableResponse],
        started_s: float,
        window_s: float,
        is_client_connected: IsClientConnected,
    ) -> Response:
        self._counts["begun"] += 1
        cached: Response | None = None
        try:
            final = self._calls.run(
                invocation,
                invocation.request_id,
                is_client_connected,
                has_no_waiters=lambda: not entry.waiter_count,
            )
            if final.status is FinalStatus.CLIENT_DISCONNECTED:
                raise ClientDisconnectedError
            if final.status is FinalStatus.REJECTED:
                raise rejection_error(final)
            headers = invocation.response_headers(invocation.request_id)
            response = build_response(final, headers, invocation.wants_log)
            if final.status is FinalStatus.SERVED and len(response.body) <= self._max_cached_bytes:
                cached = response
            return response
        finally:
            size_bytes = len(cached.body) if cached is not None else 0
            self._cache.complete(entry, cached, size_bytes, started_s + window_s, started_s)
