"""A process with stand-in workers of the project, `saffronstack.standin.worker`.

Its argument holds its settings as JSON. SIGUSR1: from now on answers are lost after the call has run. SIGUSR2:
that ends.
"""

from __future__ import annotations

import json
import signal
import sys
import threading
import time

from saffronstack.standin.model import Faults, Profile, Store
from saffronstack.standin.worker import StubWorker


def main() -> None:
    settings = json.loads(sys.argv[1])
    file = open(settings["log"], "a", encoding="utf-8", buffering=1)
    lock = threading.Lock()

    def write(entry: dict[str, object]) -> None:
        with lock:
            file.write(json.dumps({**entry, "unix": time.time()}) + "\n")

    store = Store()
    profile = Profile(**settings["profile"])
    workers = [
        StubWorker(f"{settings['name']}-{n + 1}", profile, store, port=port, seed=n, log=write)
        for n, port in enumerate(settings["ports"])
    ]
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGUSR1, signal.SIGUSR2, signal.SIGTERM})
    while (number := signal.sigwait({signal.SIGUSR1, signal.SIGUSR2, signal.SIGTERM})) != signal.SIGTERM:
        for worker in workers:
            worker.faults = Faults(silent_after_run=number == signal.SIGUSR1)


main()
