"""What a majority of keepers shows of leases, for whoever holds none: operators, daemons, watchers."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from saffronstack.daemon.members import NoAnswerError, NotSentError, exchange
from saffronstack.fleet.leases.messages import Written
from saffronstack.fleet.leases.server import LeaseLine
from saffronstack.http1 import writer
from saffronstack.runtime.threads import start_thread

JOIN_S = 0.5  # over the exchange's own bound


@dataclass(frozen=True, slots=True)
class Shown:
    """One lease by the keepers that answered. ``holder`` is empty where no majority shows one."""

    lease: str
    holder: str
    token: int
    granted_by: int
    left_s: float
    value: Written


@dataclass(frozen=True, slots=True)
class Reading:
    """What could be read. ``troubles`` by keeper; ``majority``: whether enough answered to believe it: any
    value that was stored before it was asked for is then among what is shown."""

    majority: bool
    leases: dict[str, Shown]
    troubles: dict[str, str] = field(default_factory=dict)


def read_leases(addresses: Mapping[str, str], wait_s: float) -> Reading:
    """Ask all keepers at once; bounded by ``wait_s`` and a little."""
    found: dict[str, list[LeaseLine]] = {}
    troubles: dict[str, str] = {}

    def ask(keeper: str, address: str) -> None:
        request = writer.request("GET", "/leases", [("Host", address), ("Connection", "close")])
        try:
            head, body = exchange(address, request, time.monotonic() + wait_s, time.monotonic)
            if head.status != 200:
                raise ValueError(f"status {head.status}")
            found[keeper] = msgspec.json.decode(body, type=list[LeaseLine])
        except (NotSentError, NoAnswerError, ValueError, msgspec.MsgspecError) as error:
            troubles[keeper] = str(error) or type(error).__name__

    threads = [
        start_thread("read-leases", lambda k=keeper, a=address: ask(k, a))  # type: ignore[misc]
        for keeper, address in addresses.items()
    ]
    until_s = time.monotonic() + wait_s + JOIN_S
    for thread in threads:
        thread.join(max(0.0, until_s - time.monotonic()))
    told = dict(found)  # one that answers from now on comes too late
    for keeper in addresses:
        if keeper not in told:
            troubles.setdefault(keeper, "no answer in time")
    return agree(told, len(addresses), troubles)


def agree(told: Mapping[str, list[LeaseLine]], keepers: int, troubles: dict[str, str]) -> Reading:
    """What follows from what each keeper shows."""
    majority = keepers // 2 + 1
    lines: dict[str, list[LeaseLine]] = {}
    for shown in told.values():
        for line in shown:
            lines.setdefault(line.lease, []).append(line)
    leases: dict[str, Shown] = {}
    for lease, some in lines.items():
        newest = max(some, key=lambda line: (line.token, line.left_s))
        agreeing = [line for line in some if line.token == newest.token and line.left_s > 0]
        held = len(agreeing) >= majority
        left_s = sorted((line.left_s for line in agreeing), reverse=True)
        leases[lease] = Shown(
            lease, newest.holder if held else "", newest.token, len(agreeing),
            left_s[majority - 1] if held else 0.0, max(line.value for line in some),
        )  # fmt: skip
    return Reading(len(told) >= majority, leases, troubles)
