"""Daemons, keepers and leaders as processes, gateways under load, faults between: a change in stages judged
from the clients' and the workers' sockets."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from saffronstack.audit.rules import judge
from saffronstack.audit.traffic import Figures, FunctionRule, Seen, Stopped, Traffic, Try
from saffronstack.fleet.control.daemon_answers import merge_answers
from saffronstack.fleet.control.messages import LEADER_LEASE, GatewayStatus
from saffronstack.fleet.control.releases import read_release
from saffronstack.fleet.control.status_poller import poll_daemons
from saffronstack.fleet.leases.quorum_read import read_leases
from saffronstack.fleet.rollout.record import RolloutPhase, RolloutRecord, decode_record
from saffronstack.harness.links import Mode, Wires
from saffronstack.harness.rollout import releases
from saffronstack.harness.scenario.clients import Clients
from saffronstack.harness.scenario.plan import Mix
from saffronstack.harness.scenario.processes import ScenarioError
from saffronstack.runtime.threads import start_thread
from saffronstack.standin.fleet import StandInFleet, sample
from saffronstack.standin.model import Profile
from saffronstack.standin.worker import hold_port

SAFFRON = [sys.executable, "-m", "saffronstack.cli.main"]
FLEET = "rig"
START_S = 60.0
COMMAND_S = 60.0
REFUSED = 2  # exit status of a plan that can't be started
LOOK_S = 0.1
PLAY_MOST_S = 3600.0
ENDED_S = 1.0  # around the moment at which the end of a gateway is seen
ZONES = ("east", "west", "south")


@dataclass(frozen=True)
class Sizes:
    """Of the rig; rate in calls a second over all gateways."""

    gateways: int = 12
    daemons: int = 4
    workers: int = 6
    rate: float = 120.0
    clients: int = 48
    lease_s: float = 3.0
    wait_s: float = 1.0
    drain_s: float = 8.0
    tries: int = 4
    seed: int = 1


@dataclass
class Outcome:
    """What a rollout came to."""

    status: int
    way: str
    seconds: float
    reached: int  # gateways that ever ran the new release
    calls: int
    ends: Counter[str] = field(default_factory=Counter)
    harmed: float = 0.0  # part of the operations that no try of theirs served
    breaches: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    down_most: int = 0  # gateways that took no calls at one time

    def line(self) -> str:
        """For a person."""
        return (
            f"{self.way} (status {self.status}) after {self.seconds:.1f} s; {self.reached} gateways reached, "
            f"{self.down_most} down at once; {self.calls} operations, {self.harmed:.4f} harmed, "
            f"tries {dict(self.ends)}; breaches {len(self.breaches)}; {'; '.join(self.notes)}"
        )


class RolloutRig:
    """Use as a context. Workers and clients are in this process, all else in processes of its own."""

    def __init__(self, folder: pathlib.Path, sizes: Sizes) -> None:
        self.sizes, self._folder = sizes, folder
        self.releases = folder / "releases"
        self.seen: list[Seen] = []
        profile = Profile(memory_mb=8192.0, cores=8, work_s=0.01, load_s=0.1, keep_alive_s=30.0, queue=256)
        self._workers = StandInFleet(
            sizes.workers, lambda n: profile, seed=sizes.seed,
            log=lambda entry: self.seen.append(msgspec.convert(entry, Seen, strict=False)),
        )  # fmt: skip
        self.wires = Wires()
        self._held = [hold_port("127.0.0.1") for _ in range(3 + sizes.daemons)]
        addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in self._held]
        self.keepers = {f"k{n}": addresses[n] for n in range(3)}
        self.daemons = {f"d{n}": addresses[3 + n] for n in range(sizes.daemons)}
        self._gateway_ports = [hold_port("127.0.0.1") for _ in range(sizes.gateways)]
        self.gateways = {
            f"g{n}": f"127.0.0.1:{held.getsockname()[1]}" for n, held in enumerate(self._gateway_ports)
        }
        self.daemon_of = {f"g{n}": f"d{n % sizes.daemons}" for n in range(sizes.gateways)}
        self.path = self._write_fleet("fleet.json5", self.daemons)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.down_most = 0
        self.reached: set[str] = set()
        self.stopped: list[Stopped] = []
        self._restarts: dict[str, int] = {}
        self.troubles: list[str] = []
        self._ended = threading.Event()

    def _write_fleet(self, name: str, daemons: dict[str, str]) -> pathlib.Path:
        sizes = self.sizes
        entries: list[dict[str, Any]] = []
        for number, (daemon, address) in enumerate(daemons.items()):
            gateways = [
                {
                    "name": gateway, "listen": self.gateways[gateway], "zone": ZONES[number % len(ZONES)],
                    "config": str(self._folder / f"{gateway}.json5"), "drain_s": sizes.drain_s,
                }
                for gateway, keeper in self.daemon_of.items() if keeper == daemon
            ]  # fmt: skip
            entries.append({
                "name": daemon, "address": address, "releases": str(self.releases),
                "state_directory": str(self._folder / f"state-{daemon}"), "gateways": gateways,
            })  # fmt: skip
        content = {
            "fleet": FLEET, "lease_s": sizes.lease_s, "longest_s": 2 * sizes.lease_s, "wait_s": sizes.wait_s,
            "keepers": [{"name": name, "address": address} for name, address in self.keepers.items()],
            "daemons": entries,
        }  # fmt: skip
        path = self._folder / name
        path.write_text(json.dumps(content, indent=1))
        return path

    def __enter__(self) -> RolloutRig:
        for name, address in self.gateways.items():
            content = sample(self._workers.entries(), address, memory_mb=8192.0)
            content["instances"] = self.sizes.gateways
            (self._folder / f"{name}.json5").write_text(json.dumps(content))
        for name in self.keepers:
            told = ("--fleet", str(self.path), "--name", name, "--state", self._state(name))
            self.run("keeper", "establish", *told)
            self.start_keeper(name)
        for name in self.daemons:
            self.start_daemon(name)
        return self

    def __exit__(self, *exc: object) -> None:
        self._ended.set()
        for name in self.daemons:  # SIGINT ends their gateways too
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGINT)
        until_s = time.monotonic() + self.sizes.drain_s + 10.0
        for name, process in self.processes.items():
            if name not in self.daemons:
                process.kill()
            try:
                process.wait(max(0.1, until_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._workers.stop()
        self.wires.close()
        for held in [*self._held, *self._gateway_ports]:
            held.close()

    def _state(self, name: str) -> str:
        return str(self._folder / f"state-{name}")

    # ---- processes

    def start(self, name: str, *arguments: str) -> None:
        """A process of the program under a name; ScenarioError where it says nothing in time."""
        with open(self._folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen([*SAFFRON, *arguments], stdout=subprocess.PIPE, stderr=log)
        self.processes[name] = process
        assert process.stdout is not None
        said: list[bytes] = []
        reader = start_thread("said", lambda: said.append(process.stdout.readline()))  # type: ignore[union-attr]
        reader.join(START_S)
        if not said or not said[0]:
            raise ScenarioError(f"{name} did not start; see {self._folder / name}.log")
        stream = process.stdout
        start_thread("drain", lambda: [None for _ in stream])

    def start_keeper(self, name: str) -> None:
        """Start a keeper, for the first time or again."""
        told = ("--fleet", str(self.path), "--name", name, "--state", self._state(name))
        self.start(name, "keeper", "run", *told)

    def lose_disk(self, name: str) -> None:
        """A daemon dies, and its disk has forgotten what was wanted."""
        self.kill(name)
        (pathlib.Path(self._state(name)) / "wanted").unlink(missing_ok=True)

    def start_daemon(self, name: str) -> None:
        """Start a daemon, for the first time or again."""
        self.start(name, "fleet", "daemon", "--fleet", str(self.path), "--name", name, "--log", "json")

    def signal(self, name: str, number: signal.Signals) -> None:
        """To a process that was started."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """kill -9."""
        self.processes[name].kill()
        self.processes[name].wait()

    def run(self, *arguments: str, most_s: float = COMMAND_S) -> subprocess.CompletedProcess[str]:
        """A command to its end."""
        return subprocess.run(
            [*SAFFRON, *arguments], capture_output=True, text=True, timeout=most_s, check=False
        )

    # ---- what is done with it

    def make(self, version: str, harm: str = "") -> str:
        """A release; its directory."""
        return releases.make(self.releases, version, harm)

    def deploy(self, release: str) -> None:
        """The first release, on all gateways; ScenarioError where they do not come up."""
        told = ("--fleet", str(self.path), "--release", release, "--wait", "60")
        ran = self.run("fleet", "start", *told, most_s=90.0)
        if ran.returncode:
            raise ScenarioError(f"fleet start: {ran.stdout}{ran.stderr}")

    def plan(self, base: str, **changed: Any) -> pathlib.Path:
        """A plan file."""
        content: dict[str, Any] = {
            "name": f"plan-{time.monotonic_ns()}", "base": read_release(base).release.digest,
            "stages": [
                {"count": 2, "bake_s": 4.0}, {"share": 0.5, "bake_s": 4.0}, {"share": 1.0, "bake_s": 2.0},
            ],
            "unavailable_most": 2, "calls_least": 20, "memory_least_mb": 1.5, "settle_s": 1.5,
        }  # fmt: skip
        path = self._folder / "plan.json5"
        path.write_text(json.dumps(content | changed))
        return path

    def states(self) -> dict[str, GatewayStatus]:
        """Each gateway by its daemon's own page; those of silent daemons are missing."""
        return merge_answers(poll_daemons(self.daemons, self.sizes.wait_s)).gateways

    def record(self) -> RolloutRecord | None:
        """The rollout as it is recorded; None where it can't be read."""
        shown = read_leases(self.keepers, self.sizes.wait_s).leases.get(LEADER_LEASE)
        return decode_record(shown.value.content) if shown is not None else None

    def roll(
        self,
        old: str,
        new: str,
        plan: pathlib.Path,
        faults: Callable[[RolloutRig], None] = lambda rig: None,
        most_s: float = 180.0,
        leaders: int = 0,
        fleet: pathlib.Path | None = None,
        quiet_s: float = 1.0,
        hold: bool = False,
    ) -> Outcome:
        """Change the release under load, with ``faults`` on a thread beside it and so many processes that
        stand by to lead; what it came to, judged. ``hold``: a word of an operator's is to end a hold."""
        name = json.loads(plan.read_text())["name"]
        began = time.monotonic()
        clients = Clients(
            list(self.gateways.values()),
            Mix(rate=self.sizes.rate, deferred_share=0.0, tries=self.sizes.tries, clients=self.sizes.clients),
            self.sizes.seed, lambda at: self.sizes.rate, lambda name: name,
            ("corner-books", "campus-app"), name,
        )  # fmt: skip
        over = threading.Event()
        traffic = start_thread("traffic", lambda: self._play(clients, over))
        watcher = start_thread("watch", lambda: self._watch(read_release(new).release.digest, over))
        for number in range(leaders):
            self.start(f"leader-{number}", "rollout", "lead", "--fleet", str(fleet or self.path))
        time.sleep(quiet_s)  # some traffic first
        command = [
            *SAFFRON, "rollout", "start", str(plan), "--fleet", str(fleet or self.path), "--from", old,
            "--to", new, "--log", "json",
        ]  # fmt: skip
        with open(self._folder / "rollout.log", "ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        self.processes["rollout"] = process
        harm = start_thread("faults", lambda: self._harm(faults))
        until_s = time.monotonic() + most_s
        while time.monotonic() < until_s:
            record = self.record()
            ours = record is not None and record.plan.name == name
            if (
                ours
                and record is not None
                and (record.is_finished or (record.phase is RolloutPhase.ON_HOLD and not hold))
            ):
                break
            if process.poll() is not None and (not leaders or process.returncode == REFUSED):
                break
            time.sleep(LOOK_S)
        harm.join(30.0)
        seconds = time.monotonic() - began
        over.set()
        traffic.join(60.0)
        watcher.join(30.0)
        try:
            status = process.wait(5.0)
        except subprocess.TimeoutExpired:  # it leads on, or is stopped
            process.kill()
            status = process.wait()
        return self._outcome(clients.tries, status, seconds)

    def _harm(self, faults: Callable[[RolloutRig], None]) -> None:
        try:
            faults(self)
        except Exception as error:
            self.troubles.append(f"faults: {error!r}")

    def _play(self, clients: Clients, over: threading.Event) -> None:
        clients.play(PLAY_MOST_S, over)
        if not clients.end(30.0):
            self.troubles.append("clients did not end")

    def _watch(self, digest: str, over: threading.Event) -> None:
        """What daemons tell, seen from aside: how many are down at once, who ever ran the new one."""
        while not over.is_set():
            states = self.states()
            self.reached |= {name for name, state in states.items() if state.running_release == digest}
            for name, state in states.items():
                if state.restarts > self._restarts.get(name, 0):  # it ended by itself, as a bad release does
                    now = time.monotonic()
                    self.stopped.append(Stopped(int(name[1:]), now - ENDED_S, True, now + ENDED_S))
                self._restarts[name] = state.restarts
            down = sum(not state.running_release for state in states.values())
            self.down_most = max(self.down_most, down)
            over.wait(0.1)

    def _outcome(self, tries: list[Try], status: int, seconds: float) -> Outcome:
        record = self.record()
        served = {t.op for t in tries if t.end in ("served", "accepted")}
        operations = {t.op for t in tries}
        rules = {
            "identify-copy": FunctionRule("safe"), "suggest-price": FunctionRule("safe"),
            "adjust-setting": FunctionRule("keyed", "all", 10.0), "record-sale": FunctionRule("unsafe"),
        }  # fmt: skip
        traffic = Traffic(rules, tries=tries, seen=list(self.seen), stopped=list(self.stopped))
        found = judge(traffic, Figures(slack_s=0.5, gateways=len(self.gateways)))
        return Outcome(
            status, record.phase.value if record is not None else "", seconds, len(self.reached),
            len(operations),
            Counter(t.end for t in tries), 1 - len(served) / max(1, len(operations)),
            [f"rule {breach.rule}: {breach.text}" for breach in found] + self.troubles,
            list(record.history) if record is not None else [], self.down_most,
        )  # fmt: skip

    def cut(self, leader: str, daemon: str, mode: Mode) -> None:
        """What a leader and a daemon say to each other: held, lost, or passed."""
        self.wires.set(self.wires.between({leader}, {daemon}), mode)
        self.wires.set(self.wires.between({daemon}, {leader}), mode)

    def behind_wires(self, leader: str) -> pathlib.Path:
        """A fleet file by which a leader reaches daemons through relays."""
        relayed = {name: self.wires.pair(leader, name, address) for name, address in self.daemons.items()}
        return self._write_fleet(f"fleet-{leader}.json5", relayed)
