"""The day's clients: open-loop traffic whose every try is noted as its socket saw it."""

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

PATIENCE_S = 3.0  # the classes' deadline in the sample configuration
PAUSE_MOST_S = 4.0
ENDED = ("served", "failed", "accepted", "error")
UNKNOWN = b"Saffronstack.OutcomeUnknown"


class Clients:
    """Threads that take operations from one queue, and send each again as an AWS SDK does: to the same
    address, under the same name, after a pause that doubles, where it was refused, broken or not taken.
    """

    def __init__(
        self,
        addresses: list[str],
        mix: Mix,
        seed: int,
        rate: Callable[[float], float],
        name_of: Callable[[str], str],
        tenants: tuple[str, ...],
        prefix: str = "op",
    ) -> None:
        """``rate``: calls a second at a time into the day; ``name_of``: what is called in place of one;
        ``prefix``: of operations' names, another one for each time that the same workers are called.
        """
        self._prefix = prefix
        self.tries: list[ClientRequest] = []
        self.dropped = 0
        self._addresses = addresses
        self._mix = mix
        self._random = random.Random(seed)
        self._rate = rate
        self._name_of = name_of
        self._tenants = tenants
        self._queue: queue.Queue[tuple[str, str, bool, str] | None] = queue.Queue(maxsize=mix.clients * 4)
        self._lock = threading.Lock()
        self._threads = [start_thread("client", partial(self._run, n)) for n in range(mix.clients)]

    def play(self, seconds: float, over: threading.Event | None = None) -> None:
        """Send for so long, or until it is over, at random moments; what no thread is free for is dropped and
        counted.
        """
        functions, weights = zip(*self._mix.functions.items(), strict=True)
        start = time.monotonic()
        at = 0.0
        number = 0
        while at < seconds and not (over is not None and over.is_set()):
            at += self._random.expovariate(max(0.1, self._rate(at)))
            pause = start + at - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            function = self._name_of(self._random.choices(functions, weights)[0])
            deferred = self._random.random() < self._mix.deferred_share
            number += 1
            try:
                self._queue.put_nowait(
                    (f"{self._prefix}-{number}", function, deferred, self._random.choice(self._tenants))
                )
            except queue.Full:
                self.dropped += 1

    def end(self, timeout_s: float) -> bool:
        """Let every operation end; whether all did in time."""
        for _ in self._threads:
            self._queue.put(None)
        end_s = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, end_s - time.monotonic()))
        return not any(thread.is_alive() for thread in self._threads)

    def _run(self, number: int) -> None:
        clients: dict[tuple[int, str], Client] = {}
        chance = random.Random(number)
        while (item := self._queue.get()) is not None:
            op, function, deferred, tenant = item
            gateway = chance.randrange(len(self._addresses))
            client = clients.get((gateway, tenant))
            if client is None:
                client = clients[gateway, tenant] = Client(
                    self._addresses[gateway], PATIENCE_S, tenant=tenant
                )
            for attempt in range(self._mix.tries):
                t = ClientRequest(op, gateway, function, 0.0, 0.0, deferred, tenant, attempt=attempt)
                if self._try(client, t) in ENDED:
                    break
                if attempt + 1 < self._mix.tries:
                    time.sleep(chance.random() * min(PAUSE_MOST_S, 2.0**attempt))
        for client in clients.values():
            client.close()

    def _try(self, client: Client, t: ClientRequest) -> str:
        payload = msgspec.json.encode({"op": t.op, "tenant": t.tenant})
        t.sent_s = time.monotonic()
        t.deadline_s = t.sent_s + PATIENCE_S
        try:
            named = (
                ("amz-sdk-invocation-id", t.op),
                ("amz-sdk-request", f"attempt={t.attempt + 1}; max={self._mix.tries}"),
            )
            kind = "Event" if t.deferred else "RequestResponse"
            answer = client.invoke(t.function, payload, kind, named)
        except ConnectionRefusedError:
            t.outcome = "not_taken"
        except (OSError, HttpError):
            t.outcome = "broken"
        else:
            t.id = answer.headers.get("x-amzn-requestid")
            t.outcome = _ending(answer)
            t.answer = xxhash.xxh3_64_hexdigest(answer.body)
            t.extra_bytes = client.unsolicited_byte_count()
        t.ended_s = time.monotonic()
        with self._lock:
            self.tries.append(t)
        return t.outcome


def _ending(answer: Response) -> str:
    if answer.status == 202:
        return "accepted"
    if answer.status == 200:
        return "failed" if UNKNOWN in answer.body else "served"
    return "refused" if answer.status == 429 else "error"
