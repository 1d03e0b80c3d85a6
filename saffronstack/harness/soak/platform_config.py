"""The configuration file that the platform hands a gateway, with the settings of a soak run."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from saffronstack.standin.platform import HostEntry

MEMORY_MB = 128
CLASSES = {"look": "safe", "sell": "unsafe"}
_SETTINGS: dict[str, Any] = {
    "Areas": ["east"],
    "Kinds": ["std"],
    "Instances": 1,
    "FamilyInfo": {"MemoryMbByKind": [64000.0], "IdleLifeS": 10.0, "SaysWarm": True, "MayLoad": True},
    "Permissions": {
        "MaxAttempts": 4, "Cancelling": True, "RetryAfter": True, "MaxRetryAfterS": 0.5,
        "ConnectTimeoutS": 1.0, "IdleCloseS": 30.0, "StreamsPerConn": 32,
    },
    "Tenants": [{"Name": "acme", "Share": 1.0, "QuotaRps": 10000.0}],
    "Rules": {"DrainGraceS": 2.0},
}  # fmt: skip


def write_config(
    listen: str,
    nameserver: str,
    entries: Iterable[HostEntry],
    descriptor_limit: int,
    longest_deadline_s: float,
) -> bytes:
    """Return the content of the configuration file.

    Args:
        listen: Where the gateway listens, HOST:PORT.
        nameserver: Address of the discovery directory.
        entries: The hosts at the start.
        descriptor_limit: The maximum of open file descriptors.
        longest_deadline_s: The deadline of all request classes.
    """
    endpoints = [_endpoint(entry) for entry in entries]
    classes = [
        {
            "Name": name,
            "Idempotency": idempotency,
            "DeadlineS": longest_deadline_s,
            "PromiseS": longest_deadline_s / 2,
        }
        for name, idempotency in CLASSES.items()
    ]
    content = {
        "name": "soak",
        "listen": listen,
        "seed": "8c1f30d27a5be964",
        "nameserver": nameserver,
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": descriptor_limit},
        "known": {
            "rev": 1,
            "notices": [{"rev": 1, "pool": {"index": 0, "snapshot": True, "endpoints": endpoints}}],
        },
        "settings": {**_SETTINGS, "RequestClasses": classes},
    }
    return msgspec.json.encode(content)


def _endpoint(entry: HostEntry) -> dict[str, Any]:
    return {
        "name": entry.name,
        "address": entry.address,
        "zone": entry.zone,
        "type": "std",
        "group": 0,
        "status": "Ready",
        "weight": entry.weight,
        "since_ms": entry.started,
    }
