"""Gateways that log their operations, and requests with idempotency keys."""

from __future__ import annotations

import errno
import json
import pathlib
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from saffronstack import config as configs
from saffronstack.client import Response
from saffronstack.durable.file_operations import FileOperations
from saffronstack.gateway import Gateway
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from tests.support.stack import Stack, configuration


def with_operation_log(
    content: dict[str, Any], directory: pathlib.Path | None, **more: Any
) -> dict[str, Any]:
    """Return the configuration with an operation log for classes that are not idempotent."""
    for class_settings in content["classes"]:
        class_settings["note_operations"] = class_settings["effect"] != "safe" and directory is not None
    content["operations"] = {"commit_timeout_s": 10.0, **more}
    if directory is not None:
        content["operations"]["directory"] = str(directory)
    return content


@contextmanager
def logging_gateway(
    tmp_path: pathlib.Path, profile: Profile | None = None, fleet: StubWorkerFleet | None = None, **more: Any
) -> Iterator[Stack]:
    """Run a gateway with an operation log and with two stub workers or those of ``fleet``."""
    owns_fleet = fleet is None
    fleet = fleet or StubWorkerFleet(2, lambda n: profile or Profile(work_s=0.002, load_s=0.02))
    files = more.pop("files", None)
    content = with_operation_log(configuration(fleet, tmp_path / "ledger"), tmp_path / "operations", **more)
    gateway = Gateway(configs.parse(json.dumps(content)), files=files)
    host, port = gateway.start()
    try:
        yield Stack(gateway, fleet, content, f"{host}:{port}")
    finally:
        gateway.stop()
        if owns_fleet:
            fleet.stop()


def send(
    stack: Stack,
    function: str,
    key: str,
    payload: bytes = b"{}",
    kind: str = "RequestResponse",
    **more: str,
) -> Response:
    """Send one request of an operation, with the operation's key where an AWS SDK puts it."""
    client = stack.client(tenant=more.pop("tenant", ""))
    try:
        return client.invoke(function, payload, kind, (("amz-sdk-invocation-id", key),))
    finally:
        client.close()


class SealableFiles(FileOperations):
    """FileOperations that fail all writes once sealed, so that the disk stays as a crash would leave it."""

    is_sealed = False

    def write(self, descriptor: int, data: bytes) -> None:
        if self.is_sealed:
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(descriptor, data)
