"""Clients of a scenario run: open-loop traffic. Each attempt is recorded as its socket observed it."""

from __future__ import annotations

import queue
import random
import threading
import time
from collections.abc import Callable
from functools import partial

import msgspec
import xxhash

from saffronstack.audit.traffic import ClientRequest
from saffronstack.client import Client, Response
from saffronstack.harness.scenario.plan import Mix
from saffronstack.http1.messages import HttpError
from saffronstack.runtime.threads import start_thread

CALL_TIMEOUT_S = 3.0  # the deadline of the request classes in the sample configuration
MAX_BACKOFF_S = 4.0
FINAL_OUTCOMES = ("served", "failed", "accepted", "error")
OUTCOME_UNKNOWN = b"Saffronstack.OutcomeUnknown"


class Clients:
    """Client threads that take operations from one queue and retry them as an AWS SDK does.

    A client retries an operation that was rejected, broken or not accepted. It sends the retry to the same
    address with the same idempotency key, after an exponential backoff.
    """

    def __init__(
        self,
        addresses: list[str],
        mix: Mix,
        seed: int,
        rate: Callable[[float], float],
        choose_function: Callable[[str], str],
        tenants: tuple[str, ...],
        prefix: str = "op",
    ) -> None:
        """``rate`` returns the calls per second at a time of the run, in seconds since its start.

        ``choose_function`` returns the function to call in place of another. ``prefix`` begins each
        idempotency key; it must differ between runs on the same workers.
        """
        self._prefix = prefix
        self.tries: list[ClientRequest] = []
        self.dropped = 0
        self._addresses = addresses
        self._mix = mix
        self._rng = random.Random(seed)
        self._rate = rate
        self._choose_function = choose_function
        self._tenants = tenants
        self._queue: queue.Queue[tuple[str, str, bool, str] | None] = queue.Queue(maxsize=mix.clients * 4)
        self._lock = threading.Lock()
        self._threads = [start_thread("client", partial(self._run, n)) for n in range(mix.clients)]

    def generate_load(self, seconds: float, stop_event: threading.Event | None = None) -> None:
        """Send calls at random times for ``seconds`` or until ``stop_event`` is set.

        A call that does not fit in the queue is dropped and counted.
        """
        functions, weights = zip(*self._mix.functions.items(), strict=True)
        start = time.monotonic()
        at_s = 0.0
        number = 0
        while at_s < seconds and not (stop_event is not None and stop_event.is_set()):
            at_s += self._rng.expovariate(max(0.1, self._rate(at_s)))
            pause = start + at_s - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            function = self._choose_function(self._rng.choices(functions, weights)[0])
            deferred = self._rng.random() < self._mix.deferred_share
            number += 1
            try:
                self._queue.put_nowait(
                    (f"{self._prefix}-{number}", function, deferred, self._rng.choice(self._tenants))
                )
            except queue.Full:
                self.dropped += 1

    def end(self, timeout_s: float) -> bool:
        """Wait for all operations; return whether all ended in time."""
        for _ in self._threads:
            self._queue.put(None)
        end_s = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, end_s - time.monotonic()))
        return not any(thread.is_alive() for thread in self._threads)

    def _run(self, number: int) -> None:
        clients: dict[tuple[int, str], Client] = {}
        rng = random.Random(number)
        while (item := self._queue.get()) is not None:
            op, function, deferred, tenant = item
            gateway = rng.randrange(len(self._addresses))
            client = clients.get((gateway, tenant))
            if client is None:
                client = clients[gateway, tenant] = Client(
                    self._addresses[gateway], CALL_TIMEOUT_S, tenant=tenant
                )
            for attempt in range(self._mix.tries):
                record = ClientRequest(op, gateway, function, 0.0, 0.0, deferred, tenant, attempt=attempt)
                if self._send(client, record) in FINAL_OUTCOMES:
                    break
                if attempt + 1 < self._mix.tries:
                    time.sleep(rng.random() * min(MAX_BACKOFF_S, 2.0**attempt))
        for client in clients.values():
            client.close()

    def _send(self, client: Client, record: ClientRequest) -> str:
        payload = msgspec.json.encode({"op": record.op, "tenant": record.tenant})
        record.sent_s = time.monotonic()
        record.deadline_s = record.sent_s + CALL_TIMEOUT_S
        try:
            operation_headers = (
                ("amz-sdk-invocation-id", record.op),
                ("amz-sdk-request", f"attempt={record.attempt + 1}; max={self._mix.tries}"),
            )
            invocation_type = "Event" if record.deferred else "RequestResponse"
            answer = client.invoke(record.function, payload, invocation_type, operation_headers)
        except ConnectionRefusedError:
            record.outcome = "not_taken"
        except (OSError, HttpError):
            record.outcome = "broken"
        else:
            record.id = answer.headers.get("x-amzn-requestid")
            record.outcome = _outcome(answer)
            record.answer = xxhash.xxh3_64_hexdigest(answer.body)
            record.extra_bytes = client.unsolicited_byte_count()
        record.ended_s = time.monotonic()
        with self._lock:
            self.tries.append(record)
        return record.outcome


def _outcome(answer: Response) -> str:
    if answer.status == 202:
        return "accepted"
    if answer.status == 200:
        return "failed" if OUTCOME_UNKNOWN in answer.body else "served"
    return "refused" if answer.status == 429 else "error"
