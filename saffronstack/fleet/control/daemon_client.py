"""Asks daemons and gives them orders, all at once, under the fencing token of whoever leads."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping, Sequence

import msgspec

from saffronstack.daemon.members import NoAnswerError, NotSentError, exchange
from saffronstack.fleet.control.messages import TARGET, Control, DaemonState, Order
from saffronstack.http1 import writer
from saffronstack.runtime.threads import IdleThreadPool

ASK_S = 2.5  # a look or an order; a daemon answers within 2 s


class Daemons:
    """Asks daemons under one token. One thread uses it; the asking goes on threads of its own."""

    def __init__(
        self, fleet: str, addresses: Mapping[str, str], token: int, still: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:  # fmt: skip
        """``still``: whether the lease is held; without it nothing is sent."""
        self._fleet, self._token, self._still = fleet, token, still
        self._addresses, self._clock = dict(addresses), clock
        self._seq = 0
        self._lives: dict[str, int] = {}  # of daemons, as last seen
        self._crew = IdleThreadPool("ask-daemon")
        self._lock = threading.Condition()

    def ask(self, orders: Mapping[str, Sequence[Order]]) -> dict[str, DaemonState | str]:
        """Each daemon's state after its orders, or why there is none; bounded as one exchange is."""
        found: dict[str, DaemonState | str] = {}
        until_s = self._clock() + ASK_S
        for name, some in orders.items():
            self._seq += 1
            control = Control(self._fleet, self._token, self._seq, self._lives.get(name, 0), tuple(some))

            def run(name: str = name, control: Control = control) -> None:
                answer = self._exchange(name, control, until_s)
                with self._lock:
                    found[name] = answer
                    self._lock.notify_all()

            self._crew.run(run)
        with self._lock:
            self._lock.wait_for(lambda: len(found) == len(orders), ASK_S + 0.5)
            told = dict(found) | {name: "no answer in time" for name in orders if name not in found}
        self._lives |= {name: one.life for name, one in told.items() if isinstance(one, DaemonState)}
        return told

    def look(self) -> dict[str, DaemonState | str]:
        """All of them, without orders."""
        return self.ask({name: () for name in self._addresses})

    def _exchange(self, name: str, control: Control, until_s: float) -> DaemonState | str:
        address = self._addresses[name]
        fields = [("Host", address), ("Connection", "close"), ("Content-Type", "application/json")]
        request = writer.request("POST", TARGET, fields, msgspec.json.encode(control))
        if not self._still():
            return "the lease is lost"
        try:
            head, body = exchange(address, request, until_s, self._clock)
            if head.status != 200:
                return f"refused with {head.status}: {body[:200].decode('utf-8', 'replace')}"
            return msgspec.json.decode(body, type=DaemonState)
        except (NotSentError, NoAnswerError, msgspec.MsgspecError) as error:
            return str(error) or type(error).__name__
