"""Helpers that make worker files, and a discovery service with a manual clock."""

from __future__ import annotations

import json
import os
import pathlib
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import xxhash

from saffronstack import config as configs
from saffronstack.config.schema import Worker
from saffronstack.discovery.files.change_guards import GuardSettings
from saffronstack.discovery.files.file_reader import MANIFEST_FILE_NAME
from saffronstack.discovery.files.merging import WorkerChanges
from saffronstack.discovery.files.parsing import SourceFile, WorkerListVersion, parse_version
from saffronstack.discovery.files.service import FileDiscovery, FileDiscoveryOptions, FileDiscoveryStatus
from saffronstack.discovery.files.state_directory import StateDirectory
from saffronstack.gateway import Gateway
from saffronstack.standin.fleet import StubWorkerFleet
from tests.support.stack import Stack, configuration

KINDS = ("standin",)


def worker(name: str, port: int = 0, **more: Any) -> Worker:
    """Return a worker. Without a port, the worker ``w7`` has port 1007."""
    return Worker(id=name, address=f"127.0.0.1:{port or 1000 + int(name[1:])}", kind="standin", **more)


def entry(name: str, port: int = 0, **more: Any) -> dict[str, Any]:
    """Return the entry of a worker file for such a worker."""
    return {"id": name, "address": f"127.0.0.1:{port or 1000 + int(name[1:])}", "kind": "standin", **more}


def file_text(*entries: dict[str, Any], generation: int = 0) -> str:
    """Return the text of a worker file."""
    return json.dumps({"generation": generation, "workers": list(entries)}, indent=1)


def parse(text: str, name: str = "roster.json5") -> WorkerListVersion:
    """Return the version of a single file."""
    return parse_version([SourceFile(name, text)], xxhash.xxh3_128_hexdigest(text.encode()), KINDS)


def write_directory(path: pathlib.Path, generation: int, **files: str) -> None:
    """Write worker files and their manifest."""
    path.mkdir(exist_ok=True)
    digests = {}
    for name, text in files.items():
        (path / f"{name}.json5").write_text(text)
        digests[f"{name}.json5"] = xxhash.xxh3_128_hexdigest(text.encode())
    (path / MANIFEST_FILE_NAME).write_text(json.dumps({"generation": generation, "files": digests}))


class SteppedDiscovery:
    """Runs a discovery service without its thread; the test calls `poll`."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.path = directory / "roster.json5"
        self.state = StateDirectory(directory / "state")
        self.now = 1000.0
        self.workers: dict[str, Worker] = {}
        self.changes: list[WorkerChanges] = []
        self.service = self._make_service()

    def _make_service(self) -> FileDiscovery:
        options = FileDiscoveryOptions(self.path, KINDS, GuardSettings(), poll_interval_s=60.0)
        configured = (worker("w50"),)

        def clock() -> float:
            return self.now

        return FileDiscovery(options, self.state, configured, self._record, clock, clock)

    def _record(self, changes: WorkerChanges, workers: dict[str, Worker]) -> None:
        self.changes.append(changes)
        self.workers = dict(workers)

    @property
    def status(self) -> FileDiscoveryStatus:
        return self.service.status()

    def start(self) -> dict[str, Worker]:
        """Load the initial list of a new service."""
        self.workers = self.service.load(self.now)
        return self.workers

    def restart(self) -> dict[str, Worker]:
        """Replace the service, as after a kill of the process, and load its initial list."""
        self.service = self._make_service()
        return self.start()

    def poll(self, after_s: float = 0.1) -> dict[str, Worker]:
        """Advance the clock and poll. Return the list in force."""
        self.now += after_s
        self.service.poll(self.now)
        return self.workers

    def replace_file(self, text: str) -> None:
        """Replace the worker file atomically."""
        partial = self.path.with_suffix(".new")
        partial.write_text(text)
        os.replace(partial, self.path)


@contextmanager
def gateway_with_worker_file(
    directory: pathlib.Path, fleet: StubWorkerFleet, text: str, **options: Any
) -> Iterator[Stack]:
    """Run a gateway that watches ``roster.json5`` in a directory."""
    path = directory / "roster.json5"
    path.write_text(text)
    roster = {"path": str(path), "state_directory": str(directory / "state"), "poll_s": 0.2, **options}
    content = configuration(fleet, workers=[], roster=roster)
    gateway = Gateway(configs.parse(json.dumps(content)))
    host, port = gateway.start()
    try:
        yield Stack(gateway, fleet, content, f"{host}:{port}")
    finally:
        gateway.stop()
