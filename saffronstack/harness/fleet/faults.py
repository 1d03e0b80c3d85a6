"""Days of many gateways: what goes wrong when."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from saffronstack.audit.traffic import Seen
from saffronstack.harness.fleet.clients import ImpatientClients
from saffronstack.harness.fleet.cluster import Fleet
from saffronstack.harness.fleet.gateway import Gateway
from saffronstack.standin.model import Faults
from saffronstack.standin.platform import Directory, Entry

Step = tuple[float, Callable[[], None]]


@dataclass(frozen=True)
class Scenario:
    """A day's steps, as shares of its time, and what must at least come of it."""

    description: str
    steps: Callable[[Fleet, float], list[Step]]
    min_served_fraction: float  # part of the calls that were taken
    max_connections_per_call: float = 1.0  # new connections to hosts
    plan: dict[str, Any] = field(default_factory=dict)  # what differs from the usual sizes and figures
    find_problems: Callable[[Fleet, list[Seen], float], list[str]] = (
        lambda fleet, seen, duration_s: []
    )  # what is wrong


def restart_hosts_cold(fleet: Fleet, indices: range) -> None:
    """Hosts end and return cold at their addresses, under new names: nothing of theirs is left."""
    entries = list(fleet.entries)
    for index in indices:
        host = fleet.hosts[index]
        host.stop()
        host.name += "x"
        host.start()
        started = int(time.time() * 1000)
        weight = fleet.plan.host_size(index)
        entries[index] = Entry(host.name, host.address, False, started, host_zone(index), weight)
    fleet.publish_endpoints(entries)


def host_zone(index: int) -> str:
    """Every other host stands in the other zone."""
    return ("east", "west")[index % 2]


def calm(fleet: Fleet, duration_s: float) -> list[Step]:
    """Nothing goes wrong."""
    return []


def herd(fleet: Fleet, duration_s: float) -> list[Step]:
    """Seven in ten gateways are killed at once and start together, before hosts that returned cold."""
    killed_gateways = fleet.gateways[: len(fleet.gateways) * 7 // 10]

    def kill() -> None:
        fleet.kill(killed_gateways)
        restart_hosts_cold(fleet, range(0, max(1, len(fleet.hosts) // 4)))
        fleet.restart(killed_gateways)

    return [(0.3 * duration_s, kill)]


def roll(fleet: Fleet, duration_s: float) -> list[Step]:
    """A tenth at a time ends by SIGTERM with calls arriving, while SIGHUP moves the directory."""

    def move_directory() -> None:
        with fleet.restart_lock:
            old = fleet.directory
            fleet.directory = Directory(*fleet.entries, serial=old.serial)
            fleet.directory.asks.extend(old.asks)
            for gateway in fleet.gateways:
                gateway.write(fleet.directory.address, fleet.entries, fleet.directory.serial)
                gateway.send_signal(signal.SIGHUP)
            old.close()

    def restart_step(batch: list[Gateway]) -> Callable[[], None]:
        def restart() -> None:
            with fleet.restart_lock:
                for gateway in batch:
                    fleet.terminate(gateway)
                for gateway in batch:
                    assert gateway.wait() == 0, gateway.log.read_text()[-2000:]
                fleet.restart(batch)

        return restart

    size = max(1, len(fleet.gateways) // 10)
    groups = [fleet.gateways[at : at + size] for at in range(0, size * 3, size)]
    steps: list[Step] = [
        ((0.1 + 0.2 * n) * duration_s, restart_step(group)) for n, group in enumerate(groups)
    ]
    return [*steps, (0.55 * duration_s, move_directory)]


def lists(fleet: Fleet, duration_s: float) -> list[Step]:
    """A host drains, leaves and returns cold; the directory falls silent, then tells an older list."""

    def drain() -> None:
        fleet.publish_endpoints([replace(entry, draining=n == 1) for n, entry in enumerate(fleet.entries)])

    def stop_answering() -> None:
        fleet.directory.spoil = lambda answer: None

    def answer_older_list() -> None:
        directory = fleet.directory
        serial, entries = directory.serial, directory.entries
        directory.serial, directory.entries = 1, [entry for entry in entries if not entry.draining][:2]
        directory.spoil = lambda answer: answer
        threading.Event().wait(0.6)
        directory.serial, directory.entries = serial, entries

    def return_cold() -> None:
        restart_hosts_cold(fleet, range(1, 2))

    return [
        (0.2 * duration_s, drain),
        (0.35 * duration_s, stop_answering),
        (0.5 * duration_s, answer_older_list),
        (0.7 * duration_s, return_cold),
    ]


def split(fleet: Fleet, duration_s: float) -> list[Step]:
    """A group of hosts says nothing for a while, without a reset; then answers get lost, links break."""
    group = fleet.hosts[: max(1, len(fleet.hosts) // 5)]
    others = fleet.hosts[len(group) :]

    def stall() -> None:
        for host in group:
            host.stall(True)

    def resume() -> None:
        for host in group:
            host.stall(False)

    def lose_and_reset() -> None:
        for host in others:
            host.faults = Faults(lose_answers=0.02)
            host.reset_calls = 3

    def mend() -> None:
        for host in others:
            host.faults = Faults()

    return [
        (0.15 * duration_s, stall),
        (0.5 * duration_s, resume),
        (0.6 * duration_s, lose_and_reset),
        (0.8 * duration_s, mend),
    ]


def sick(fleet: Fleet, duration_s: float) -> list[Step]:
    """One host is slow and one fails fast, for most of the day."""

    def start_faults() -> None:
        fleet.hosts[0].faults = Faults(slow=8.0)
        fleet.hosts[1].faults = Faults(errors=0.9)

    return [(0.1 * duration_s, start_faults)]


def impatient(fleet: Fleet, duration_s: float) -> list[Step]:
    """Clients that leave after 70 ms, mostly before a copy is loaded, and come again at once."""
    clients = ImpatientClients(fleet, clients=12, timeout_s=0.07, duration_s=0.6 * duration_s)
    return [(0.2 * duration_s, clients.run)]


def unreachable(fleet: Fleet, duration_s: float) -> list[Step]:
    """A fifth of the hosts is cut off so that connections never come up, and is back."""
    group = fleet.hosts[: max(1, len(fleet.hosts) // 5)]

    def cut() -> None:
        for host in group:
            host.cut(True)

    def mend() -> None:
        for host in group:
            host.cut(False)

    return [(0.2 * duration_s, cut), (0.7 * duration_s, mend)]


FAULT_SCENARIOS: dict[str, Scenario] = {
    "calm": Scenario("no fault", calm, 0.97, 0.6),
    "herd": Scenario("seven in ten killed and started together before cold hosts", herd, 0.85),
    "roll": Scenario("restarts a tenth at a time, the directory moves", roll, 0.93),
    "lists": Scenario("a drain, a silent directory, an older list, a cold return", lists, 0.93),
    "split": Scenario("a fifth of the hosts stalls and returns, answers lost, links reset", split, 0.80),
    "impatient": Scenario("clients leave after 70 ms and come again", impatient, 0.9, 1.0),
    "unreachable": Scenario("a fifth of the hosts can't be reached, and is back", unreachable, 0.80),
    "sick": Scenario("one host slow, one failing fast", sick, 0.88),
}
