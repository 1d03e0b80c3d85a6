"""The requests and responses of a run as its clients observed them. All times are monotonic seconds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from saffronstack.harness.soak.thread_samples import ProcessSample


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """One response as a client received it."""

    at_s: float
    word: str
    body: bytes


@dataclass(slots=True)
class SentRequest:
    """One request that was sent in full.

    Attributes:
        request_id: 16 hexadecimal digits.
        is_unsafe: Whether its request class must not execute twice.
        body: The body as sent.
        sent_s: The earliest time at which its last byte can have been sent.
        timeout_s: How long its client waits.
        on_idle_connection: Whether its connection had no other request in flight.
        responses: The responses in the order of their arrival.
        connection_ended_s: The latest time at which its connection can have ended without a response; None
            if it did not.
        is_from_busy_client: Whether its client sends requests until the end of the run.
    """

    request_id: str
    is_unsafe: bool
    body: bytes
    sent_s: float
    timeout_s: float
    on_idle_connection: bool
    responses: list[ReceivedResponse] = field(default_factory=list)
    connection_ended_s: float | None = None
    is_from_busy_client: bool = True


@dataclass(frozen=True, slots=True)
class ObservedRun:
    """One run as its clients and hosts observed it.

    Attributes:
        requests: All requests that were sent in full.
        calls: How often each request id arrived at a host.
        terminated_s: When SIGTERM was sent.
        killed_s: When the gateway was killed; None if it exited before.
        exit_status: The status of a gateway that exited; None if it was killed.
        failed_connects: Number of connects that failed before SIGTERM.
        busy_clients_fit: Whether the busy clients fit within the connection limit.
        host_response_times_s: When a host first answered each request id; unanswered ones are missing.
        samples: Counters of the gateway's threads until the kill.
    """

    requests: list[SentRequest]
    calls: Counter[str]
    terminated_s: float
    killed_s: float | None
    exit_status: int | None
    failed_connects: int = 0
    busy_clients_fit: bool = True
    host_response_times_s: Mapping[str, float] = field(default_factory=dict)
    samples: tuple[ProcessSample, ...] = ()
