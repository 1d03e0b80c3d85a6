"""Sends of operations that another process runs: passed on to it, with a bound on every wait."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.daemon.errors import NoAnswerError, NotSentError
from saffronstack.daemon.http_exchange import exchange
from saffronstack.daemon.process_group import FORWARDED_HEADER
from saffronstack.http1 import writer
from saffronstack.http1.messages import RequestHead
from saffronstack.invoke import errors
from saffronstack.invoke.errors import InvokeError
from saffronstack.invoke.response import Response
from saffronstack.operations.errors import SlotNotHeldError
from saffronstack.operations.slot_assignment import slot_for
from saffronstack.operations.slot_manager import SlotManager

UNTIL = "x-saffron-until"  # seconds of the machine's monotonic clock, which its processes share
LOOK_AGAIN_S = 0.05
ROUTE_S = 2.0  # how long an owner is looked for, while none answers
HELD_BACK = ("connection", "transfer-encoding", "content-length", "expect", FORWARDED_HEADER, UNTIL)
PASSED_BACK = ("content-type", "retry-after", "x-saffron-repeated")
MISDIRECTED = 421


@dataclass(frozen=True, slots=True)
class Sent:
    """A send as it came, and what may be said of it where its owner is silent."""

    head: RequestHead
    body: bytes
    digest: bytes
    latest_s: float  # its client's patience
    noted: bool  # whoever holds the slot next knows what became of it
    unknown: Callable[[], Response]  # the answer where it may have run


def misdirected() -> InvokeError:
    """A send was passed on to a process that does not hold its slot."""
    return InvokeError(MISDIRECTED, "MisdirectedRequest", "Another process runs this operation.")


class Router:
    """Finds the process that runs an operation, for a process that does not."""

    def __init__(self, slots: SlotManager, clock: Callable[[], float]) -> None:
        self.slots = slots
        self._clock = clock
        self._pause = threading.Event()
        self.passed_on = 0
        self.lost = 0  # sends whose owner gave no answer

    def run(self, sent: Sent, here: Callable[[], Response]) -> Response:
        """The answer, by ``here`` where this process holds the slot by now, else by the one that does.
        InvokeError 429 where none could be reached: then nothing was begun.
        """
        slot = slot_for(sent.digest)
        look_until_s = min(self._clock() + ROUTE_S, sent.latest_s)
        may_have_run = False
        while True:
            try:
                return here()
            except SlotNotHeldError:
                pass
            peer = self.slots.assigned_peer(slot)
            if peer is not None and peer.member != self.slots.member:
                try:
                    answer = self._pass_on(peer.address, sent)
                except NotSentError:
                    answer = None
                except NoAnswerError:
                    self.lost += 1
                    answer = None
                    may_have_run = may_have_run or not sent.noted
                if answer is not None:
                    return answer
            now = self._clock()
            if may_have_run or now >= sent.latest_s:
                return sent.unknown()
            if now >= look_until_s:
                raise errors.too_many("The process that runs this operation does not answer now.", 1.0)
            self._pause.wait(LOOK_AGAIN_S)

    def _pass_on(self, address: str, sent: Sent) -> Response | None:
        """The owner's answer, None where it is not the owner."""
        fields = [(name, value) for name, value in sent.head.headers.items if name not in HELD_BACK]
        fields += [(FORWARDED_HEADER, self.slots.member), (UNTIL, f"{sent.latest_s:.6f}")]
        request = writer.request(sent.head.method, sent.head.target, fields, sent.body)
        self.passed_on += 1
        found, body = exchange(address, request, sent.latest_s, self._clock)
        if found.status == MISDIRECTED:
            return None
        back = [
            (name, value)
            for name, value in found.headers.items
            if name in PASSED_BACK or name.startswith("x-amz")
        ]
        return Response(found.status, tuple(back), body)
