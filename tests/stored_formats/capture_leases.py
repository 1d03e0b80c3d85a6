"""Write the lease messages, state files and pages of commit 0684301 to `data/leases`.

Run once, with that commit's code on the path:

    PYTHONPATH=<a checkout of 0684301> python tests/stored_formats/capture_leases.py

The script imports names that later versions do not have, so it runs with that commit only.
"""

# mypy: ignore-errors

from __future__ import annotations

import pathlib
import tempfile

import msgspec
from saffronstack.fleet.leases.server import LeaseLine
from saffronstack.fleet.leases.service import KeeperService

from saffronstack.fleet.leases import codec
from saffronstack.fleet.leases.codec import Envelope
from saffronstack.fleet.leases.disk import COPIES, KeeperDisk
from saffronstack.fleet.leases.messages import (
    Ask,
    Bounds,
    Freed,
    Learn,
    Promise,
    Record,
    Release,
    Saved,
    Take,
    Taken,
    Told,
    Written,
)

DATA = pathlib.Path(__file__).parent / "data" / "leases"
NAMES = ("k0", "k1", "k2")
VALUE = Written(7, 2, b"plan \x00\xff")
INCARNATIONS = (("k1", 2), ("k2", 1))
RECORD = Record("task/usage", 9, "p1.4", 7, "p1.3", 5.5, 6, VALUE)
STATE = Saved((RECORD, Record("l")), 41, (("k1", 9), ("k2", 12)), 3, INCARNATIONS)

MESSAGES = {
    "ask": Ask("task/usage", "p1.4", 9, INCARNATIONS),
    "ask_defaults": Ask("l", "a", 1),
    "promise": Promise("task/usage", "k0", "p1.4", 9, True, 9, 1.25, "p1.3", VALUE, 41, 3, INCARNATIONS),
    "promise_defaults": Promise("l", "k0", "a", 1, False, 2),
    "take": Take("task/usage", "p1.4", 9, 6, 5.5, VALUE, (("k0", 41), ("k1", 9)), INCARNATIONS),
    "take_defaults": Take("l", "a", 1, 1, 5.0),
    "taken": Taken("task/usage", "k0", "p1.4", 9, 6, True, 9, 0.5, 3, INCARNATIONS),
    "taken_defaults": Taken("l", "k0", "a", 1, 1, False, 2),
    "release": Release("task/usage", "p1.4", 9),
    "freed": Freed("task/usage", "k0", "p2.1"),
    "learn": Learn("k0", 2**62 - 1, 3),
    "learn_defaults": Learn("k0", 7),
    "told": Told("k1", 2**62 - 1, True, 12, (RECORD, Record("l")), 3, 2, INCARNATIONS),
    "told_defaults": Told("k1", 7, False, 0),
}


def main() -> None:
    """Write all files."""
    DATA.mkdir(parents=True, exist_ok=True)
    for name, message in MESSAGES.items():
        (DATA / f"{name}.json").write_bytes(codec.encode(Envelope("f", "p1", (message,))))
    (DATA / "poll.json").write_bytes(codec.encode(Envelope("f", "p1", (), 4.5)))
    everything = Envelope("f", "k0", tuple(MESSAGES.values()))
    (DATA / "envelope.json").write_bytes(codec.encode(everything))
    lines = [LeaseLine("task/usage", "p1.3", 7, 3.125, VALUE), LeaseLine("l", "", 0, 0.0, Written())]
    (DATA / "leases_page.json").write_bytes(msgspec.json.encode(lines))
    for kind, state in (("state", STATE), ("new_state", Saved())):
        with tempfile.TemporaryDirectory() as directory:
            disk = KeeperDisk(directory, "f", "k0", NAMES)
            disk.write(state)
            for copy in COPIES:
                (DATA / f"{kind}-{copy}").write_bytes((pathlib.Path(directory) / copy).read_bytes())
            if kind == "state":
                service = KeeperService("k0", Bounds(NAMES), disk, 5, lambda: 100.0, lambda to, message: None)
                (DATA / "status_page.json").write_bytes(msgspec.json.encode(service.status()))


if __name__ == "__main__":
    main()
