"""Tests of a gateway that watches a worker file while it serves requests."""

from __future__ import annotations

import json
import pathlib
import threading
import time
from functools import partial

from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from tests.discovery.files.support import file_text, gateway_with_worker_file
from tests.support.stack import eventually


def test_each_rejection_has_its_reason_while_requests_are_served(tmp_path: pathlib.Path) -> None:
    fleet = StubWorkerFleet(2)
    entries = fleet.entries()
    with gateway_with_worker_file(tmp_path, fleet, file_text(*entries, generation=3), poll_s=0.05) as stack:
        path = tmp_path / "roster.json5"

        def status_contains(field: str, reason: str) -> bool:
            return reason in json.loads(stack.get("/status").body)["roster"][field]

        for field, text, reason in (
            ("refused", '{"workers": [{]}', "not JSON5"),
            ("refused", file_text(entries[0], entries[0]), "is already listed at roster.json5:"),
            ("refused", '{"workers": 5}', "Expected `array`"),
            (
                "refused",
                file_text(*entries, {**entries[0], "id": "x", "kind": "odd"}),
                "no kind is named 'odd'",
            ),
            ("held", file_text(), "no workers"),
            ("held", file_text(*entries, generation=2), "older than 3"),
        ):
            path.write_text(text)
            eventually(partial(status_contains, field, reason))
            assert stack.call("identify-copy").status == 200
        assert "saffronstack_roster_held 1.0" in stack.get("/metrics").body.decode()
        path.unlink()
        path.mkdir()
        time.sleep(0.2)
        assert stack.call("identify-copy").status == 200
        path.rmdir()
        path.write_text(file_text(entries[1], generation=4))
        eventually(lambda: json.loads(stack.get("/status").body)["roster"]["workers"] == 1)
        before = len(fleet.workers[0].runs())
        for _ in range(5):
            assert stack.call("identify-copy").status == 200
        assert len(fleet.workers[0].runs()) == before
    fleet.stop()


def test_all_workers_replaced_at_once_under_load(tmp_path: pathlib.Path) -> None:
    """Requests in flight end, new ones go to the new workers. ``removed_share=1.0`` allows the change."""
    fleet = StubWorkerFleet(6, lambda n: Profile(work_s=0.05, load_s=0.02))
    old, new = fleet.entries()[:3], fleet.entries()[3:]
    stopping = threading.Event()
    statuses: list[int] = []
    with gateway_with_worker_file(
        tmp_path, fleet, file_text(*old, generation=1), removed_share=1.0, poll_s=0.05
    ) as stack:

        def send_requests() -> None:
            client = stack.client()
            while not stopping.is_set():
                statuses.append(client.invoke("identify-copy", b"{}").status)
            client.close()

        threads = [threading.Thread(target=send_requests) for _ in range(4)]
        for thread in threads:
            thread.start()
        eventually(lambda: len(statuses) > 20)
        (tmp_path / "roster.json5").write_text(file_text(*new, generation=2))
        eventually(lambda: sum(len(one.runs()) for one in fleet.workers[3:]) > 20)
        run_counts = [len(one.runs()) for one in fleet.workers[:3]]
        eventually(lambda: len(statuses) > 100)
        stopping.set()
        for thread in threads:
            thread.join(10)
        assert [len(one.runs()) for one in fleet.workers[:3]] == run_counts
    assert set(statuses) <= {200, 429}
    assert statuses.count(429) <= len(statuses) // 20
    fleet.stop()
