"""Several stub workers in one process, and a sample configuration for them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from saffronstack.standin.model import Profile, Store
from saffronstack.standin.worker import LogEntry, StubWorker


class StubWorkerFleet:
    """Stub workers that share an artifact store."""

    def __init__(
        self,
        count: int,
        profile: Callable[[int], Profile] = lambda n: Profile(),
        *,
        seed: int = 0,
        log: Callable[[LogEntry], None] | None = None,
        first: int = 1,
    ) -> None:
        self.store = Store()
        self.workers = [
            StubWorker(f"worker-{n + first}", profile(n), self.store, seed=seed * 1000 + n, log=log)
            for n in range(count)
        ]

    def stop(self) -> None:
        """Stop all workers."""
        for worker in self.workers:
            worker.stop()

    def entries(self) -> list[dict[str, Any]]:
        """Return the configuration entries of the workers, spread over two zones with one cell each."""
        return [
            {
                "id": worker.name,
                "address": worker.address,
                "kind": "standin",
                "zone": f"zone-{'ab'[n % 2]}",
                "cell": f"cell-{'ab'[n % 2]}",
            }
            for n, worker in enumerate(self.workers)
        ]


def sample_config(
    workers: list[dict[str, Any]], listen: str, ledger: str = "", memory_mb: float = 4096.0
) -> dict[str, Any]:
    """Return a configuration with two tenants, three classes and functions of each class."""
    content: dict[str, Any] = {
        "listen": listen,
        "keep_alive_s": 10.0,
        "tenants": [{"name": "corner-books", "share": 0.5}, {"name": "campus-app", "share": 0.5}],
        "classes": [
            {"name": "lookup", "effect": "safe", "aim_s": 0.5, "deadline_s": 3.0},
            {
                "name": "setting",
                "effect": "keyed",
                "aim_s": 0.5,
                "deadline_s": 3.0,
                "group": "all",
                "window_s": 10.0,
            },
            {"name": "sale", "effect": "unsafe", "aim_s": 0.75, "deadline_s": 3.0, "worth": 2.0},
        ],
        "functions": [
            {"name": "identify-copy", "class": "lookup", "memory_mb": 512, "lanes": 2, "load_s": 0.2},
            {"name": "suggest-price", "class": "lookup", "memory_mb": 256, "lanes": 4, "load_s": 0.2},
            {"name": "adjust-setting", "class": "setting", "memory_mb": 128, "load_s": 0.2},
            {"name": "record-sale", "class": "sale", "memory_mb": 128, "lanes": 2, "load_s": 0.2},
        ],
        "kinds": [{"name": "standin", "memory_mb": memory_mb}],
        "workers": workers,
    }
    if ledger:
        content["ledger"] = {"directory": ledger}
    return content
