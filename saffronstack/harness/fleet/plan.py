"""Sizes and figures of a fleet that a scenario plays, and the settings they become."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

CLASSES: list[dict[str, Any]] = [
    {"Name": "look", "Idempotency": "safe", "DeadlineS": 3.0, "PromiseS": 0.5},
    {"Name": "sell", "Idempotency": "unsafe", "DeadlineS": 3.0, "PromiseS": 0.75, "Worth": 2.0},
]
EFFECTS = {str(cls["Name"]): str(cls["Idempotency"]) for cls in CLASSES}


@dataclass(frozen=True)
class FleetPlan:
    """Sizes and figures; times in seconds, rates in calls a second over the fleet."""

    gateways: int = 40
    hosts: int = 8
    rate: float = 160.0
    functions: int = 40
    sell_part: float = 0.2
    memory_mb: float = 1000.0  # of a copy
    host_mb: float = 16000.0
    lanes: int = 2
    cores: int = 4
    work_s: float = 0.02
    load_s: float = 0.15
    cold_share: float = 0.4
    cold_s: float = 6.0
    keep_alive_s: float = 8.0
    uneven: float = 3.0  # how often the busiest gateways' share holds the mean
    sockets: int = 256
    memory_limit_mb: int = 96
    hot: int = 0  # so many functions take four in five of the calls
    once: float = 0.0  # part of the calls for functions that are asked once and never again
    sizes: tuple[int, ...] = (1,)  # of the hosts, in turn: weight, and cores as a multiple
    seed: int = 1

    def host_size(self, index: int) -> int:
        """A host's."""
        return self.sizes[index % len(self.sizes)]

    def function_weights(self) -> list[float]:
        """How often each function is called beside others."""
        usual = [1.0 / (index + 2) for index in range(self.functions)]
        if not self.hot:
            return usual
        rest = sum(usual[self.hot :])
        return [4 * rest / self.hot] * self.hot + usual[self.hot :]

    def settings(self, gateway: int) -> dict[str, Any]:
        """What the platform hands a gateway."""
        return {
            "Areas": ["east", "west"], "Kinds": ["std"], "Instances": self.gateways, "SelfIndex": gateway,
            "FamilyInfo": {
                "MemoryMbByKind": [self.host_mb], "IdleLifeS": self.keep_alive_s, "SaysWarm": True,
                "NotesPeersInHand": True,
            },
            "LoadInfo": {"Via": "answers", "Fields": ["queue", "util"]},
            "Permissions": {
                "MaxAttempts": 6, "Cancelling": True, "RetryAfter": True, "MaxRetryAfterS": 0.5,
                "ConnectTimeoutS": 0.25, "IdleCloseS": 30.0, "StreamsPerConn": 32,
            },
            "RequestClasses": CLASSES,
            "Tenants": [
                {"Name": "acme", "Share": 0.8, "QuotaRps": 1.6 * self.rate},
                {"Name": "flood", "Share": 0.2, "QuotaRps": 0.4 * self.rate},
            ],
            "Rules": {
                "DrainGraceS": 2.0, "ColdShare": self.cold_share, "ColdS": self.cold_s, "TipMultiple": 3.0,
                "TipAfterS": 1.0,
            },
        }  # fmt: skip
