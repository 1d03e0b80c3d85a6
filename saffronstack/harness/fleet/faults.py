"""Scenarios of a fleet with fault injection."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from saffronstack.audit.traffic import WorkerLogEntry
from saffronstack.harness.fleet.clients import ImpatientClients
from saffronstack.harness.fleet.cluster import Fleet
from saffronstack.harness.fleet.gateway import Gateway
from saffronstack.standin.model import Faults
from saffronstack.standin.platform import HostEntry, StubDnsServer

Step = tuple[float, Callable[[], None]]


@dataclass(frozen=True)
class Scenario:
    """A scenario: the steps of its run, and what the run must achieve."""

    description: str
    steps: Callable[[Fleet, float], list[Step]]
    min_served_fraction: float  # of the calls that gateways accepted
    max_connections_per_call: float = 1.0  # connections that gateways open to hosts
    plan: dict[str, Any] = field(default_factory=dict)  # overrides of `FleetPlan`
    # Returns a text for each expectation that the run did not meet.
    find_problems: Callable[[Fleet, list[WorkerLogEntry], float], list[str]] = (
        lambda fleet, seen, duration_s: []
    )


def restart_hosts_cold(fleet: Fleet, indices: range) -> None:
    """Restart hosts at the same addresses under new names, without any loaded instance."""
    entries = list(fleet.entries)
    for index in indices:
        host = fleet.hosts[index]
        host.stop()
        host.name += "x"
        host.start()
        started = int(time.time() * 1000)
        weight = fleet.plan.host_size(index)
        entries[index] = HostEntry(host.name, host.address, False, started, host_zone(index), weight)
    fleet.publish_endpoints(entries)


def host_zone(index: int) -> str:
    """Return the zone of a host: hosts alternate between two zones."""
    return ("east", "west")[index % 2]


def calm(fleet: Fleet, duration_s: float) -> list[Step]:
    """Inject no fault."""
    return []


def herd(fleet: Fleet, duration_s: float) -> list[Step]:
    """Kill 70% of the gateways at once, restart a quarter of the hosts cold, then restart these gateways."""
    killed_gateways = fleet.gateways[: len(fleet.gateways) * 7 // 10]

    def kill() -> None:
        fleet.kill(killed_gateways)
        restart_hosts_cold(fleet, range(0, max(1, len(fleet.hosts) // 4)))
        fleet.restart(killed_gateways)

    return [(0.3 * duration_s, kill)]


def roll(fleet: Fleet, duration_s: float) -> list[Step]:
    """Restart three tenths of the gateways in turn, by SIGTERM under load; move the directory by SIGHUP."""

    def move_directory() -> None:
        with fleet.restart_lock:
            old = fleet.directory
            fleet.directory = StubDnsServer(*fleet.entries, serial=old.serial)
            fleet.directory.queries.extend(old.queries)
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
    """Drain a host and restart it cold; the directory stops answering, then answers with an older list."""

    def drain() -> None:
        fleet.publish_endpoints([replace(entry, draining=n == 1) for n, entry in enumerate(fleet.entries)])

    def stop_answering() -> None:
        fleet.directory.edit_response = lambda answer: None

    def answer_older_list() -> None:
        directory = fleet.directory
        serial, entries = directory.serial, directory.entries
        directory.serial, directory.entries = 1, [entry for entry in entries if not entry.draining][:2]
        directory.edit_response = lambda answer: answer
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
    """Stall a fifth of the hosts without a reset; then lose responses of the others and reset connections."""
    group = fleet.hosts[: max(1, len(fleet.hosts) // 5)]
    others = fleet.hosts[len(group) :]

    def stall() -> None:
        for host in group:
            host.set_stalled(True)

    def resume() -> None:
        for host in group:
            host.set_stalled(False)

    def lose_and_reset() -> None:
        for host in others:
            host.faults = Faults(lose_answers=0.02)
            host.calls_to_reset = 3

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
    """Make one host slow and one host fail fast, for most of the run."""

    def start_faults() -> None:
        fleet.hosts[0].faults = Faults(slow=8.0)
        fleet.hosts[1].faults = Faults(errors=0.9)

    return [(0.1 * duration_s, start_faults)]


def impatient(fleet: Fleet, duration_s: float) -> list[Step]:
    """Run clients that disconnect after 70 ms, mostly before an instance is loaded, and reconnect at once."""
    clients = ImpatientClients(fleet, clients=12, timeout_s=0.07, duration_s=0.6 * duration_s)
    return [(0.2 * duration_s, clients.run)]


def unreachable(fleet: Fleet, duration_s: float) -> list[Step]:
    """Make a fifth of the hosts unreachable, so that connects never complete; then reconnect them."""
    group = fleet.hosts[: max(1, len(fleet.hosts) // 5)]

    def cut() -> None:
        for host in group:
            host.set_unreachable(True)

    def mend() -> None:
        for host in group:
            host.set_unreachable(False)

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
