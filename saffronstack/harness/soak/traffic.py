"""What a play's clients saw, request by request. All times are monotonic seconds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from saffronstack.harness.soak.thread_samples import ProcessSample


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """One answer as it came."""

    at_s: float
    word: str
    body: bytes


@dataclass(slots=True)
class SentRequest:
    """One request, written whole.

    Attributes:
        request_id: 16 hexadecimal digits.
        is_unsafe: Whether its class must not run twice.
        body: As sent.
        sent_s: The earliest moment at which its last byte can have been sent.
        timeout_s: How long its client waits.
        on_idle_connection: Whether its connection had no other request open.
        answers: In the order in which they came.
        connection_ended_s: The latest moment at which its connection can have ended before an answer; None
            where it did not.
        is_of_busy_client: Whether its client goes on calling.
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
    """One play as seen from clients and hosts.

    Attributes:
        requests: All that were written whole.
        calls: How often each request id arrived at a host.
        terminated_s: When SIGTERM was sent.
        killed_s: When the gateway was killed; None where it had ended by itself.
        exit_status: Of a gateway that ended by itself.
        failed_connects: How many clients were not let in before SIGTERM.
        busy_clients_fit: Whether clients that go on calling need no more connections than clients may use.
        host_answers_s: When a host first answered each request id; those that no host answered are not in it.
        samples: What the gateway's threads did until the kill.
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
