"""Write an endpoint list's state, task results and a ledger directory with the code of commit 0684301.

Run from a clean checkout of that commit, with its dependencies installed:

    cd CHECKOUT && PYTHONPATH=$PWD python REPOSITORY/tests/stored_formats/capture_shared_directories.py

`data/roster` receives the stored versions of an endpoint list and the operators' overrides, with the list
files; `data/task_results` receives published results and the entries of a ledger directory after each owner.
The script imports modules by the names of that commit, which differ from those of the present code.
"""

from __future__ import annotations

import importlib
import json
import pathlib
import shutil
import tempfile
from typing import Any

import xxhash

DATA = pathlib.Path(__file__).parent / "data"
USAGE_LOGS = (DATA / "usage_archive", DATA.parent.parent / "formats" / "0684301" / "usage")
APPLIED_AT = 1_764_680_000.5  # Unix seconds
FIRST = """{
  // comments and unquoted keys are allowed
  generation: 7,
  workers: [
    { id: "worker-1", address: "127.0.0.1:9001", kind: "standin" },
    { id: "worker-2", address: "host-2.example:9002", kind: "standin", size: 2.5, zone: "zone-b",
      cell: "cell-b", state: "draining", started_at: 1764679000.25 },
  ],
}
"""
SECOND = """{"workers": [{"id": "worker-3", "address": "127.0.0.1:9003", "kind": "standin", "size": 0.5}]}
"""


def fresh(kind: str) -> pathlib.Path:
    """Create an empty directory under `data/` and return it."""
    shutil.rmtree(DATA / kind, ignore_errors=True)
    (DATA / kind).mkdir(parents=True)
    return DATA / kind


def write_roster() -> None:
    """Write a list file, a list directory, and the state directory that stores both versions."""
    reading = importlib.import_module("saffronstack.roster.reading")
    parsing = importlib.import_module("saffronstack.roster.parsing")
    keeping = importlib.import_module("saffronstack.roster.keeping")
    folder = fresh("roster")
    (folder / "roster.json5").write_text(FIRST)
    directory = folder / "directory"
    directory.mkdir()
    (directory / "a.json5").write_text(SECOND)
    (directory / "b.json5").write_text(FIRST.replace("generation: 7", "generation: 8"))
    sums = {path.name: xxhash.xxh3_128_hexdigest(path.read_bytes()) for path in sorted(directory.iterdir())}
    (directory / "manifest.json5").write_text(json.dumps({"generation": 8, "files": sums}))
    kept = keeping.Kept(folder / "state")
    found = []
    for number, path in enumerate([folder / "roster.json5", directory]):
        text = reading.read(path)
        version = parsing.version(text.parts, text.digest, ("standin",), text.generation)
        kept.keep(version, APPLIED_AT + number)
        found.append({"digest": version.digest, "generation": version.generation})
    kept.tell("accept", "0" * 32)
    kept.tell("pinned", found[0]["digest"])
    kept.tell("drains", "worker-1 worker-3")
    (folder / "versions.json").write_text(json.dumps(found, indent=1))


class Turn:
    """Stub of a task run."""

    token = 12
    turn = 4

    def still(self) -> bool:
        """Return that the task may continue."""
        return True

    def pause(self, seconds: float) -> None:
        """Return without waiting."""


def names_below(directory: pathlib.Path) -> list[str]:
    """Return the paths of all files and directories below a directory, relative to it."""
    return sorted(str(path.relative_to(directory)) for path in directory.rglob("*"))


def write_results() -> None:
    """Publish results of tasks, the fleet usage task included."""
    published = importlib.import_module("saffronstack.fleet.tasks.published")
    jobs = importlib.import_module("saffronstack.fleet.tasks.jobs")
    folder = fresh("task_results")
    results = published.Published(str(folder / "any"))
    results.publish(3, 1, {"text": "first", "numbers": [1, 2.5, None]})
    results.publish(3, 2, [])
    with tempfile.TemporaryDirectory() as temporary:
        for number, log in enumerate(USAGE_LOGS):
            shutil.copytree(log, pathlib.Path(temporary) / f"usage_{number}")
        jobs.FleetUsage([f"{temporary}/usage_*"], str(folder / "fleet_usage")).run(Turn())
        (folder / "ledger_home.json").write_text(json.dumps(ledger_home(pathlib.Path(temporary)), indent=1))


def ledger_home(directory: pathlib.Path) -> dict[str, Any]:
    """Let three owners take a ledger directory one after another; return its entries after each."""
    homes = importlib.import_module("saffronstack.fleet.tasks.ledger_directory")
    path = directory / "home"
    path.mkdir()
    (path / "ledger-0000000001.seg").write_bytes(b"before any holder")
    home = homes.LedgerDirectory(str(path))
    steps = {}
    for token in (3, 5, 70):
        place = home.enter(token)
        (place / f"ledger-{token:010d}.seg").write_bytes(b"x")
        if token != 5:
            home.leave(token)
        steps[str(token)] = names_below(path)
    home.sweep()
    steps["swept"] = names_below(path)
    return steps


if __name__ == "__main__":
    write_roster()
    write_results()
