"""The hosts that the directory lists: lists in, what is new, changed and gone out. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from saffronstack.discovery.dns.messages import SRV, Answer, DnsError
from saffronstack.engine.identifiers import worker_number
from saffronstack.engine.worker_registry import WorkerSpec

HALF = 1 << 31  # serials are compared as RFC 1982 has it: the newer one is less than half the circle ahead
DRAINING = 1  # the priority of a host that drains
WEIGHT_TIMES = 10.0


@dataclass(frozen=True, slots=True)
class ListedHost:
    """One host as listed; ``since_ms`` is the Unix millisecond of its start, 0 for long ago."""

    name: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int = 0
    draining: bool = False
    weight: float = 1.0
    since_ms: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """What a list changed; both may be empty."""

    changed: tuple[WorkerSpec, ...] = ()
    gone: tuple[int, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.changed or self.gone)


def newer(serial: int, than: int) -> bool:
    """Whether a serial number comes after another."""
    return serial != than and (serial - than) % (2 * HALF) < HALF


class Membership:
    """The list that is held; one thread owns it. What it remembers is the present list and no more."""

    def __init__(self, zones: Iterable[str], kinds: Iterable[str]) -> None:
        self._zones = {name: place for place, name in enumerate(zones)}
        self._kinds = {name: place for place, name in enumerate(kinds)}
        self._held: dict[str, tuple[ListedHost, WorkerSpec]] = {}
        self.serial = 0

    @property
    def specs(self) -> tuple[WorkerSpec, ...]:
        """The hosts that are held."""
        return tuple(spec for _, spec in self._held.values())

    def holds(self, listed: Iterable[ListedHost]) -> bool:
        """Whether the list that is held is this one, in whatever order."""
        return {one.name: one for one in listed} == {name: one for name, (one, _) in self._held.items()}

    def replace(self, serial: int, listed: Iterable[ListedHost]) -> Change:
        """A whole list: what is missing is gone."""
        fresh = {one.name: one for one in listed}
        self.serial = serial
        return self._apply(fresh.values(), [name for name in self._held if name not in fresh])

    def update(self, serial: int, listed: Iterable[ListedHost], gone: Iterable[str]) -> Change:
        """Changes alone."""
        self.serial = serial
        return self._apply(listed, [name for name in gone if name in self._held])

    def _apply(self, listed: Iterable[ListedHost], gone: Iterable[str]) -> Change:
        left = [self._held.pop(name)[1].number for name in gone]
        changed = []
        for one in listed:
            known = self._held.get(one.name)
            if known is not None and known[0] == one:
                continue
            if known is not None and (known[0].host, known[0].port) != (one.host, one.port):
                left.append(known[1].number)  # another host under an old name
                known = None
            spec = self._spec(one, known[1].number if known is not None else None)
            self._held[one.name] = one, spec
            changed.append(spec)
        return Change(tuple(changed), tuple(left))

    def _spec(self, one: ListedHost, number: int | None) -> WorkerSpec:
        if number is None:  # the same at every gateway, so that their ranks agree
            number = worker_number(one.name)
            taken = {spec.number for _, spec in self._held.values()}
            while number in taken:
                number = (number + 1) % (1 << 32)
        return WorkerSpec(
            number,
            one.name,
            one.host,
            one.port,
            one.draining,
            one.weight,
            self._kinds.get(one.kind, len(self._kinds)),
            self._zones.get(one.zone, len(self._zones)),
            one.cell,
            one.since_ms / 1000,
        )


def listed_of(answer: Answer, ident: int, name: str) -> tuple[int, list[ListedHost]]:
    """Serial and list of a good answer to this very question; DnsError."""
    if answer.ident != ident or answer.question != (name, SRV):
        raise DnsError("an answer to another question")
    if answer.serial is None:
        raise DnsError("no serial number")
    listed = []
    for service in answer.services:
        address = answer.addresses.get(service.target)
        if address is None:
            raise DnsError(f"no address for {service.target[:60]}")
        labels = service.target.split(".")
        texts = answer.texts.get(service.target, {})
        listed.append(
            ListedHost(
                labels[0],
                address,
                service.port,
                labels[1] if len(labels) > 1 else "",
                texts.get("kind", ""),
                _whole_number(texts.get("cell", "0")),
                service.priority >= DRAINING,
                service.weight / WEIGHT_TIMES,
                _whole_number(texts.get("started", "0")),
            )
        )
    return answer.serial, listed


def _whole_number(text: str) -> int:
    if not text.isdigit() or len(text) > 16:
        raise DnsError(f"no whole number: {text[:20]!r}")
    return int(text)


def take_known(membership: Membership, known: Mapping[str, Any]) -> Change:
    """The events of the start, in their order; ValueError, KeyError or TypeError where they can't be read."""
    for place, event in enumerate(known.get("notices") or ()):
        serial, listed, gone = _event(event)
        if place == 0 or event["pool"].get("snapshot"):
            membership.replace(serial, listed)
        else:
            membership.update(serial, listed, gone)
    last = int(known.get("rev", membership.serial))
    if newer(last, membership.serial):
        membership.serial = last
    return Change(membership.specs)


def _event(event: Mapping[str, Any]) -> tuple[int, list[ListedHost], list[str]]:
    listed, gone = [], []
    for one in event["pool"].get("endpoints") or ():
        if one["status"] == "Gone":
            gone.append(str(one["name"]).lower())
            continue
        host, _, port = str(one["address"]).rpartition(":")
        listed.append(
            ListedHost(
                str(one["name"]).lower(),
                host,
                int(port),
                str(one.get("zone", "")),
                str(one.get("type", "")),
                int(one.get("group", 0)),
                one["status"] != "Ready",
                float(one.get("weight", 1)),
                int(one.get("since_ms", 0)),
            )
        )
    return int(event["rev"]), listed, gone
