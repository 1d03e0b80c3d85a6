"""Run lease servers and lease holders of two versions in one fleet.

    python benchmarks/mixed_lease_versions.py --old <a checkout of an earlier version>

Two of the three servers start with the old version. The lease passes between holders of both versions, by a
release and by a kill. Then each server restarts with the other version on the same state directory, and back;
the lease passes on after each restart. Exits with 1 if a fencing token does not increase, a holder loses the
lease without a reason or a server does not vote.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from typing import Self

from saffronstack.standin.worker import reserve_port

SERVERS = ("k0", "k1", "k2")
LEASE = "task/mixed"
LEASE_S = 3.0
TIMEOUT_S = 60.0
NEW, OLD = "new", "old"
ROOT = pathlib.Path(__file__).parent.parent


class MixedVersionsError(Exception):
    """A rule is broken when both versions run in one fleet."""


@dataclass
class Holder:
    """A process that holds the lease or waits for it, until its standard input ends."""

    version: str
    process: subprocess.Popen[str]
    token: int = 0

    def wait_for_token(self) -> int:
        """Wait until the lease is held; return its token."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise MixedVersionsError(f"the {self.version} holder ended with {self.process.wait()}")
        self.token = int(line)
        return self.token

    def release(self) -> None:
        """End the command that runs under the lease, which releases the lease."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        status = self.process.wait(TIMEOUT_S)
        if status != 0:
            raise MixedVersionsError(f"the {self.version} holder of token {self.token} ended with {status}")

    def kill(self) -> None:
        """Kill the process, so that it does not release the lease."""
        assert self.process.stdin is not None
        self.process.send_signal(signal.SIGKILL)
        self.process.wait(TIMEOUT_S)
        self.process.stdin.close()


class MixedFleet:
    """Context manager for the lease servers and holders of one run; it kills them on exit."""

    def __init__(self, old: pathlib.Path, directory: pathlib.Path) -> None:
        """Reserve ports and write the fleet file."""
        self._roots = {NEW: ROOT, OLD: old}
        self._directory = directory
        self._ports = {name: reserve_port("127.0.0.1") for name in SERVERS}
        self._file = directory / "fleet.json5"
        entries = [
            {"name": name, "address": f"127.0.0.1:{port.getsockname()[1]}"}
            for name, port in self._ports.items()
        ]
        times = {"lease_s": LEASE_S, "longest_s": LEASE_S, "wait_s": 0.5}
        self._file.write_text(json.dumps({"fleet": "mixed", "keepers": entries, **times}))
        self._servers: dict[str, subprocess.Popen[str]] = {}
        self._holders: list[Holder] = []
        self.last_token = 0

    def __enter__(self) -> Self:
        """Return the fleet."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill all processes."""
        for holder in self._holders:
            if holder.process.poll() is None:
                holder.kill()
        for server in self._servers.values():
            server.kill()
            server.wait(TIMEOUT_S)
        for port in self._ports.values():
            port.close()

    def _start(self, version: str, *arguments: str) -> subprocess.Popen[str]:
        environment = {**os.environ, "PYTHONPATH": str(self._roots[version])}
        return subprocess.Popen(
            [sys.executable, "-m", "saffronstack.cli.main", *arguments],
            cwd=self._directory,
            env=environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def _run(self, version: str, *arguments: str) -> str:
        process = self._start(version, *arguments)
        output, _ = process.communicate(timeout=TIMEOUT_S)
        return output

    def _state(self, name: str) -> list[str]:
        return ["--fleet", str(self._file), "--name", name, "--state", str(self._directory / name)]

    def establish(self, name: str, version: str) -> None:
        """Establish a server and start it."""
        self._run(version, "keeper", "establish", *self._state(name))
        self.start_server(name, version)

    def start_server(self, name: str, version: str) -> None:
        """Start a server on its state directory."""
        server = self._servers[name] = self._start(version, "keeper", "run", *self._state(name))
        assert server.stdout is not None
        if not server.stdout.readline():
            raise MixedVersionsError(f"{name} of the {version} version ended with {server.wait()}")

    def restart_server(self, name: str, version: str) -> None:
        """Stop a server and start it with another version."""
        self._servers[name].terminate()
        self._servers[name].wait(TIMEOUT_S)
        self.start_server(name, version)
        self.wait_until_all_vote(version)

    def wait_until_all_vote(self, version: str) -> None:
        """Wait until `keeper status` of a version shows that all servers vote."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline_s:
            lines = self._run(version, "keeper", "status", "--fleet", str(self._file), "--json").splitlines()
            if sum(bool(json.loads(line).get("votes")) for line in lines) == len(SERVERS):
                return
            time.sleep(0.2)
        raise MixedVersionsError(f"not all servers vote: {lines}")

    def start_holder(self, version: str) -> Holder:
        """Start a process that waits for the lease."""
        shell_command = 'echo "$SAFFRON_LEASE_TOKEN"; exec cat'
        process = self._start(
            version, "lease", "run", LEASE, "--fleet", str(self._file), "--wait", str(TIMEOUT_S),
            "--", "/bin/sh", "-c", shell_command,
        )  # fmt: skip
        holder = Holder(version, process)
        self._holders.append(holder)
        return holder

    def expect_next_token(self, holder: Holder, reason: str) -> None:
        """Wait until a holder has the lease; raise if its token is not greater than all before."""
        began_s = time.monotonic()
        token = holder.wait_for_token()
        print(
            f"{reason}: the {holder.version} holder has token {token} "
            f"after {time.monotonic() - began_s:.1f} s"
        )
        if token <= self.last_token:
            raise MixedVersionsError(f"token {token} is not greater than {self.last_token}")
        self.last_token = token


def run_versions(fleet: MixedFleet) -> None:
    """Pass the lease on between versions while the servers change theirs."""
    for name, version in zip(SERVERS, (OLD, OLD, NEW), strict=True):
        fleet.establish(name, version)
    fleet.wait_until_all_vote(NEW)
    holder = fleet.start_holder(OLD)
    fleet.expect_next_token(holder, "first")
    for version, uses_kill in ((NEW, False), (OLD, False), (NEW, True), (OLD, True)):
        waiter = fleet.start_holder(version)
        time.sleep(1.5)  # until the process has started and is queued at the servers
        if uses_kill:
            holder.kill()
        else:
            holder.release()
        fleet.expect_next_token(waiter, f"after a {'kill' if uses_kill else 'release'}")
        holder = waiter
    for name, version in (("k0", NEW), ("k1", NEW), ("k2", OLD), ("k0", OLD), ("k2", NEW), ("k0", NEW)):
        fleet.restart_server(name, version)
        waiter = fleet.start_holder(NEW if holder.version == OLD else OLD)
        time.sleep(1.5)
        holder.release()  # raises if the holder lost the lease in the restart
        fleet.expect_next_token(waiter, f"{name} restarted with the {version} version")
        holder = waiter
    holder.release()


def main() -> int:
    """Run both versions together; return the exit status."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--old", required=True, type=pathlib.Path)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        try:
            with MixedFleet(options.old.resolve(), pathlib.Path(directory)) as fleet:
                run_versions(fleet)
        except MixedVersionsError as error:
            print(f"BROKEN: {error}")
            return 1
    print("no fencing token decreased, no holder lost its lease")
    return 0


if __name__ == "__main__":
    sys.exit(main())
