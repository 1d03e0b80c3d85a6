"""A gateway of several processes, one of which is stopped by a signal while clients send requests."""

from __future__ import annotations

import os
import pathlib
import signal
import threading
import time
from collections import Counter
from dataclasses import dataclass

from saffronstack.client import Client
from saffronstack.http1.messages import HttpError
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.fleet import StubWorkerFleet
from tests.support.stack import Stack, eventually
from tests.support.supervised import PROCESSES, process_status, supervised_gateway

CLIENTS = 8
CLIENT_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class FinishedCall:
    """A request that has ended."""

    started_s: float
    succeeded: bool


class SequentialClients:
    """Clients that send one request after the other, each on a new connection, as browsers and scripts do."""

    def __init__(self, address: str) -> None:
        self.finished_calls: list[FinishedCall] = []
        self._address = address
        self._ending = threading.Event()
        self._threads = [
            start_thread("caller", lambda n=n: self._run(("identify-copy", "record-sale")[n % 2]))  # type: ignore[misc]
            for n in range(CLIENTS)
        ]

    def started_since(self, start_s: float) -> list[FinishedCall]:
        return [call for call in list(self.finished_calls) if call.started_s >= start_s]

    def stop(self) -> None:
        self._ending.set()
        for thread in self._threads:
            thread.join(5.0)

    def _run(self, function: str) -> None:
        while not self._ending.is_set():
            started_s = time.monotonic()
            client = Client(self._address, CLIENT_TIMEOUT_S, tenant="corner-books")
            try:
                succeeded = client.invoke(function, b"{}").status == 200
            except (OSError, HttpError):
                succeeded = False
            finally:
                client.close()
            self.finished_calls.append(FinishedCall(started_s, succeeded))
            self._ending.wait(0.005)


def process_ids(stack: Stack) -> dict[int, int]:
    """Return the process ids by index, once all processes respond."""
    pids: dict[int, int] = {}
    while len(pids) < PROCESSES:
        for index in range(PROCESSES):
            status = process_status(stack, index)
            if status:
                pids[index] = status["pid"]
    return pids


def test_a_stopped_process_is_replaced_while_calls_go_on(
    tmp_path: pathlib.Path, two_fast_workers: StubWorkerFleet
) -> None:
    with supervised_gateway(tmp_path, two_fast_workers) as (stack, _):
        pids = process_ids(stack)
        clients = SequentialClients(stack.address)
        eventually(lambda: sum(call.succeeded for call in clients.finished_calls) > 50)
        stopped_s = time.monotonic()
        os.kill(pids[1], signal.SIGSTOP)
        eventually(lambda: process_status(stack, 1).get("pid", pids[1]) != pids[1])
        replaced_s = time.monotonic()
        since_s = max(stopped_s + 2.0, replaced_s)
        eventually(lambda: len(clients.started_since(since_s)) > 150)
        clients.stop()
        assert replaced_s - stopped_s < 15.0
        finished_later = [call.succeeded for call in clients.started_since(since_s)]
        assert len(finished_later) > 100
        assert sum(finished_later) >= 0.95 * len(finished_later)
        # Killed after a second without heartbeats: only the requests on its connections fail.
        assert sum(not call.succeeded for call in clients.started_since(stopped_s)) <= 4 * CLIENTS
        indexes = list(range(PROCESSES))
        eventually(lambda: [process_status(stack, n).get("process") for n in indexes] == [0, 1, 2])
        runs = [event["id"] for worker in two_fast_workers.workers for event in worker.runs("record-sale")]
        sales = Counter(runs)
        assert sales
        assert max(sales.values()) == 1
