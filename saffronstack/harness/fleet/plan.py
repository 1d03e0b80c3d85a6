"""Sizes and parameters of the fleet of a scenario, and the gateway settings that follow from them."""

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
    """Sizes and parameters; times in seconds, rates in calls per second over the whole fleet."""

    gateways: int = 40
    hosts: int = 8
    rate: float = 160.0
    functions: int = 40
    sell_part: float = 0.2
    memory_mb: float = 1000.0  # of an instance
    host_mb: float = 16000.0
    lanes: int = 2
    cores: int = 4
    work_s: float = 0.02
    load_s: float = 0.15
    cold_share: float = 0.4
    cold_s: float = 6.0
    keep_alive_s: float = 8.0
    uneven: float = 3.0  # load of the busiest gateways, as a multiple of the mean
    sockets: int = 256
    memory_limit_mb: int = 96
    hot: int = 0  # number of functions that get 80% of the calls; 0 for none
    once: float = 0.0  # fraction of calls to functions that are called only once
    sizes: tuple[int, ...] = (1,)  # of the hosts in turn: weight, and multiple of `cores`
    seed: int = 1

    def host_size(self, index: int) -> int:
        """Return the size of a host: its weight, and its multiple of `cores`."""
        return self.sizes[index % len(self.sizes)]

    def function_weights(self) -> list[float]:
        """Return the relative call rate of each function."""
        usual = [1.0 / (index + 2) for index in range(self.functions)]
        if not self.hot:
            return usual
        rest = sum(usual[self.hot :])
        return [4 * rest / self.hot] * self.hot + usual[self.hot :]

    def settings(self, gateway: int) -> dict[str, Any]:
        """Return the settings that the platform hands a gateway."""
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
