"""Days of many gateways: what goes wrong when."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from saffronstack.audit.traffic import WorkerLogEntry
from saffronstack.harness.fleet.clients import Impatient
from saffronstack.harness.fleet.cluster import Fleet
from saffronstack.harness.fleet.gateway import Gateway
from saffronstack.standin.model import Faults
from saffronstack.standin.platform import HostEntry, StubDnsServer

Step = tuple[float, Callable[[], None]]


@dataclass(frozen=True)
class Day:
    """A day's steps, as shares of its time, and what must at least come of it."""

    about: str
    steps: Callable[[Fleet, float], list[Step]]
    served: float  # part of the calls that were taken
    links_per_call: float = 1.0  # new connections to hosts
    plan: dict[str, Any] = field(default_factory=dict)  # what differs from the usual sizes and figures
    look: Callable[[Fleet, list[WorkerLogEntry], float], list[str]] = (
        lambda fleet, seen, seconds: []
    )  # what is wrong


def cold(fleet: Fleet, places: range) -> None:
    """Hosts end and return cold at their addresses, under new names: nothing of theirs is left."""
    entries = list(fleet.entries)
    for place in places:
        host = fleet.hosts[place]
        host.stop()
        host.name += "x"
        host.start()
        started = int(time.time() * 1000)
        weight = fleet.plan.size_of(place)
        entries[place] = HostEntry(host.name, host.address, False, started, host_zone(place), weight)
    fleet.tell(entries)


def host_zone(place: int) -> str:
    """Every other host stands in the other zone."""
    return ("east", "west")[place % 2]


def calm(fleet: Fleet, seconds: float) -> list[Step]:
    """Nothing goes wrong."""
    return []


def herd(fleet: Fleet, seconds: float) -> list[Step]:
    """Seven in ten gateways are killed at once and start together, before hosts that returned cold."""
    victims = fleet.gateways[: len(fleet.gateways) * 7 // 10]

    def kill() -> None:
        fleet.kill(victims)
        cold(fleet, range(0, max(1, len(fleet.hosts) // 4)))
        fleet.again(victims)

    return [(0.3 * seconds, kill)]


def roll(fleet: Fleet, seconds: float) -> list[Step]:
    """A tenth at a time ends by SIGTERM with calls arriving, while SIGHUP moves the directory."""

    def moved() -> None:
        with fleet.turn:
            old = fleet.directory
            fleet.directory = StubDnsServer(*fleet.entries, serial=old.serial)
            fleet.directory.queries.extend(old.queries)
            for gateway in fleet.gateways:
                gateway.write(fleet.directory.address, fleet.entries, fleet.directory.serial)
                gateway.send(signal.SIGHUP)
            old.close()

    def tenth(some: list[Gateway]) -> Callable[[], None]:
        def restart() -> None:
            with fleet.turn:
                for gateway in some:
                    fleet.leave(gateway)
                for gateway in some:
                    assert gateway.wait() == 0, gateway.log.read_text()[-2000:]
                fleet.again(some)

        return restart

    size = max(1, len(fleet.gateways) // 10)
    groups = [fleet.gateways[at : at + size] for at in range(0, size * 3, size)]
    steps: list[Step] = [((0.1 + 0.2 * n) * seconds, tenth(group)) for n, group in enumerate(groups)]
    return [*steps, (0.55 * seconds, moved)]


def lists(fleet: Fleet, seconds: float) -> list[Step]:
    """A host drains, leaves and returns cold; the directory falls silent, then tells an older list."""

    def drain() -> None:
        fleet.tell([replace(entry, draining=n == 1) for n, entry in enumerate(fleet.entries)])

    def silent() -> None:
        fleet.directory.edit_response = lambda answer: None

    def older() -> None:
        now = fleet.directory
        serial, entries = now.serial, now.entries
        now.serial, now.entries = 1, [entry for entry in entries if not entry.draining][:2]
        now.edit_response = lambda answer: answer
        threading.Event().wait(0.6)
        now.serial, now.entries = serial, entries

    def back() -> None:
        cold(fleet, range(1, 2))

    return [(0.2 * seconds, drain), (0.35 * seconds, silent), (0.5 * seconds, older), (0.7 * seconds, back)]


def split(fleet: Fleet, seconds: float) -> list[Step]:
    """A group of hosts says nothing for a while, without a reset; then answers get lost, links break."""
    group = fleet.hosts[: max(1, len(fleet.hosts) // 5)]
    others = fleet.hosts[len(group) :]

    def stall() -> None:
        for host in group:
            host.set_stalled(True)

    def go_on() -> None:
        for host in group:
            host.set_stalled(False)

    def spoil() -> None:
        for host in others:
            host.faults = Faults(lose_answers=0.02)
            host.calls_to_reset = 3

    def mend() -> None:
        for host in others:
            host.faults = Faults()

    return [(0.15 * seconds, stall), (0.5 * seconds, go_on), (0.6 * seconds, spoil), (0.8 * seconds, mend)]


def sick(fleet: Fleet, seconds: float) -> list[Step]:
    """One host is slow and one fails fast, for most of the day."""

    def fall_ill() -> None:
        fleet.hosts[0].faults = Faults(slow=8.0)
        fleet.hosts[1].faults = Faults(errors=0.9)

    return [(0.1 * seconds, fall_ill)]


def impatient(fleet: Fleet, seconds: float) -> list[Step]:
    """Clients that leave after 70 ms, mostly before a copy is loaded, and come again at once."""
    crowd = Impatient(fleet, clients=12, patience_s=0.07, seconds=0.6 * seconds)
    return [(0.2 * seconds, crowd.run)]


def unreachable(fleet: Fleet, seconds: float) -> list[Step]:
    """A fifth of the hosts is cut off so that connections never come up, and is back."""
    group = fleet.hosts[: max(1, len(fleet.hosts) // 5)]

    def cut() -> None:
        for host in group:
            host.set_unreachable(True)

    def mend() -> None:
        for host in group:
            host.set_unreachable(False)

    return [(0.2 * seconds, cut), (0.7 * seconds, mend)]


DAYS: dict[str, Day] = {
    "calm": Day("no fault", calm, 0.97, 0.6),
    "herd": Day("seven in ten killed and started together before cold hosts", herd, 0.85),
    "roll": Day("restarts a tenth at a time, the directory moves", roll, 0.93),
    "lists": Day("a drain, a silent directory, an older list, a cold return", lists, 0.93),
    "split": Day("a fifth of the hosts stalls and returns, answers lost, links reset", split, 0.80),
    "impatient": Day("clients leave after 70 ms and come again", impatient, 0.9, 1.0),
    "unreachable": Day("a fifth of the hosts can't be reached, and is back", unreachable, 0.80),
    "sick": Day("one host slow, one failing fast", sick, 0.88),
}
