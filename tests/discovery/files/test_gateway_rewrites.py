"""Tests a gateway whose worker file is rewritten thousands of times, with faults."""

from __future__ import annotations

import json
import os
import pathlib
import random
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from tests.discovery.files.support import entry, file_text, gateway_with_worker_file
from tests.support.stack import eventually


class ConnectionCounter:
    """A listener without a worker, which counts connections."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self._listener.settimeout(0.2)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.connections = 0
        self._ended = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while not self._ended.is_set():
            try:
                sock, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            self.connections += 1
            sock.close()

    def close(self) -> None:
        self._ended.set()
        self._listener.close()


class FileRewriter:
    """Replaces the worker file by valid versions, and by faulty ones that list addresses without a worker."""

    def __init__(
        self, path: pathlib.Path, entries: list[dict[str, Any]], unlisted_entries: list[dict[str, Any]]
    ) -> None:
        self.generation = 1
        self.draining_since: dict[str, float] = {}
        self._random = random.Random(12)
        self._path = path
        self._entries = entries
        self._good = entries
        self._unlisted_entries = unlisted_entries
        self._rewrites: dict[str, Callable[[], object]] = {
            "good": self._write_good,
            "cut": self._write_cut,
            "empty": lambda: self._path.write_text(file_text(generation=self.generation + 1)),
            "shape": lambda: self._path.write_text(json.dumps({"workers": {"ghost": unlisted_entries[0]}})),
            "ghosts": self._write_unknown_kind,
            "twice": self._write_duplicate,
            "old": lambda: self._path.write_text(file_text(*self._good, *unlisted_entries, generation=1)),
            "bytes": lambda: self._path.write_bytes(b'{"workers": [\xff'),
        }

    def rewrite(self) -> None:
        """Write a random valid or faulty version."""
        rewrite_names = ["good", "good", "cut", "empty", "shape", "ghosts", "twice", "old", "bytes"]
        self._rewrites[self._random.choice(rewrite_names)]()

    def replace(self, entries: list[dict[str, Any]]) -> None:
        """Replace the file atomically by a version with the current generation."""
        other = self._path.with_name("new")
        other.write_text(file_text(*entries, generation=self.generation))
        os.replace(other, self._path)

    def _write_good(self) -> None:
        self.generation += 1
        self._good = [
            {**one, "state": "draining" if self._random.random() < 0.15 else "ready"} for one in self._entries
        ]
        for one in self._good:  # a drain starts when it is written, and ends when the worker is ready again
            if one["state"] == "draining":
                self.draining_since.setdefault(one["id"], time.monotonic())
            else:
                self.draining_since.pop(one["id"], None)
        self.replace(self._good)

    def _write_cut(self) -> None:
        text = file_text(*self._good, *self._unlisted_entries, generation=self.generation + 1)
        self._path.write_text(text[: self._random.randrange(1, len(text) - 2)])

    def _write_unknown_kind(self) -> None:
        unlisted_entry = {**self._unlisted_entries[0], "kind": "phantom"}
        self._path.write_text(file_text(*self._good, unlisted_entry, generation=self.generation + 1))

    def _write_duplicate(self) -> None:
        unlisted_entries = [self._unlisted_entries[0], {**self._unlisted_entries[1], "id": "ghost-0"}]
        self._path.write_text(file_text(*self._good, *unlisted_entries, generation=self.generation + 1))


def test_five_thousand_rewrites_with_faults_never_route_to_an_unlisted_address(
    tmp_path: pathlib.Path,
) -> None:
    fleet = StubWorkerFleet(6, lambda n: Profile(work_s=0.001, load_s=0.005))
    entries = fleet.entries()
    unused_listeners = [ConnectionCounter() for _ in range(2)]
    unlisted_entries = [
        {**entry(f"g{n}"), "id": f"ghost-{n}", "address": listener.address}
        for n, listener in enumerate(unused_listeners)
    ]
    rewriter = FileRewriter(tmp_path / "roster.json5", entries, unlisted_entries)
    stopping = threading.Event()
    statuses: list[int] = []
    late_arrivals: list[str] = []

    def watch_drains() -> None:
        """Record requests that arrive at a worker over 2 s after its drain was written."""
        seen = dict.fromkeys((one["id"] for one in entries), 0)
        while not stopping.is_set():
            for one in fleet.workers:
                for line in one.log[seen[one.name] :]:
                    seen[one.name] += 1
                    since = rewriter.draining_since.get(one.name)
                    if line["what"] == "arrive" and since is not None and float(str(line["t"])) > since + 2.0:
                        late_arrivals.append(one.name)
            time.sleep(0.01)

    with gateway_with_worker_file(tmp_path, fleet, file_text(*entries, generation=1), flaps=1000) as stack:

        def send_requests() -> None:
            client = stack.client()
            while not stopping.is_set():
                statuses.append(client.invoke("identify-copy", b"{}").status)
            client.close()

        threads = [threading.Thread(target=send_requests) for _ in range(3)] + [
            threading.Thread(target=watch_drains)
        ]
        for thread in threads:
            thread.start()
        file_discovery = stack.gateway.file_discovery
        assert file_discovery is not None
        for n in range(5000):
            rewriter.rewrite()
            if n % 7 == 0:
                time.sleep(0.004)
        rewriter.generation += 1
        rewriter.replace(entries)
        eventually(lambda: file_discovery.status().generation == rewriter.generation)
        assert file_discovery.status().rejection == ""
        rewriter.draining_since.clear()
        assert stack.call("identify-copy").status == 200
        stopping.set()
        for thread in threads:
            thread.join(10)
        counts = file_discovery.status().counts
    assert [listener.connections for listener in unused_listeners] == [0, 0]
    assert late_arrivals == []
    assert len(statuses) > 500
    assert statuses.count(200) / len(statuses) > 0.9
    assert counts.polls > 200
    assert counts.applied > 20
    for listener in unused_listeners:
        listener.close()
    fleet.stop()
