"""What goes out to hosts and is answered: attempts and orders, each with exactly one end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from saffronstack.engine.calls import Call, FinalAnswer, FinalStatus, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult, CommandResult, WorkerObservation, WorkerResponse
from saffronstack.hosts import codec
from saffronstack.net.write_buffer import OutgoingMessage, Sent
from saffronstack.routing.events import AttemptOutcome, CacheStatus, LoadReport, Result

LINE_BYTES = 256  # of a request's line beside its body
LEAST_WAIT_MS = 1  # the host is told how long the gateway waits, and zero would be no time at all

Tell = Callable[[AttemptResult | CommandResult | WorkerObservation], None]


class Host(Protocol):
    """What an item needs of the host that it goes to."""

    number: int
    name: str
    answers: int
    broken: int

    @property
    def closed(self) -> bool:
        """Told as draining or gone: nothing new leaves for it."""
        ...


class Carrier(Protocol):
    """The link that an item goes out on."""

    def claim(self, item: Item) -> bool:
        """Whether its first byte may leave."""
        ...

    def unclaim(self, item: Item) -> None:
        """Not one byte of it was taken after all."""
        ...

    def on_dropped(self, item: Item) -> None:
        """It no longer stood when its first byte was to leave."""
        ...

    def give_up(self, item: Item, result: Result, reason: str) -> None:
        """Stop waiting for it."""
        ...


class Item(OutgoingMessage):
    """Something that goes out on a link under a tag. `Link` calls `ended` exactly once."""

    __slots__ = ("clock", "deadline_s", "finished", "host", "link", "sent_s", "started", "tag", "tell")

    def __init__(
        self,
        data: bytes,
        tag: str,
        host: Host,
        deadline_s: float,
        tell: Tell,
        clock: Callable[[], float],
        size: int | None = None,
    ) -> None:
        super().__init__(data, size)
        self.tag = tag
        self.host = host
        self.deadline_s = deadline_s
        self.tell = tell
        self.clock = clock
        self.sent_s = clock()
        self.link: Carrier | None = None
        self.finished = False  # its end is told, or it is given up: no byte may leave any more
        self.started = False  # its first byte may have left

    def may_start(self) -> bool:
        """Whether its first byte may leave now."""
        return not self.host.closed and self.clock() < self.deadline_s and self.still_wanted()

    def still_wanted(self) -> bool:
        """Whether nobody gave it up before its first byte; from then on nobody takes it for unsent."""
        return self.link is None or self.link.claim(self)

    def on_blocked(self) -> None:
        """It is unsent still: whoever gives it up now may say so."""
        if self.link is not None:
            self.link.unclaim(self)

    def on_dropped(self) -> None:
        """It did not stand: no byte of it leaves."""
        if self.link is not None:
            self.link.on_dropped(self)

    def on_answer(self, answer: codec.HostAnswer) -> None:
        """The host's answer came."""
        raise NotImplementedError

    def on_failed(self, result: Result, reason: str) -> None:
        """It ended without an answer."""
        raise NotImplementedError

    def lost(self) -> Result:
        """How it ends where its link ends under it: a line that never left whole was never read."""
        return Result.RESET if self.sent is Sent.WHOLE else Result.CONNECT_FAILED


class Attempt(Item):
    """One attempt of a call."""

    __slots__ = ("call", "number")

    def __init__(
        self,
        call: Call,
        number: int,
        host: Host,
        deadline_s: float,
        tell: Tell,
        clock: Callable[[], float],
    ) -> None:
        size = LINE_BYTES + len(call.payload) * 4 // 3  # in base64
        super().__init__(b"", call.request_id, host, deadline_s, tell, clock, size)
        self.call = call
        self.number = number

    def may_start(self) -> bool:
        """Nothing is sent for a call that has its final answer, or too late to be of use. The line is written
        only now, with the time that is left now: it may have waited for a connection or in an outbox."""
        call = self.call
        wait_ms = int((self.deadline_s - self.clock()) * 1000)
        if call.is_finished or wait_ms < LEAST_WAIT_MS or not super().may_start():
            return False
        self.data = codec.call_line(
            call.request_id, call.class_name, call.function.name, wait_ms, call.payload
        )
        return True

    def on_answer(self, answer: codec.HostAnswer) -> None:
        """Served calls are answered here, on the link's thread: the decision thread need not come first."""
        result = codec.RESULTS.get(answer.word)
        if result is None:  # UP, to something that was no PING
            self.on_failed(self.lost(), "an answer that belongs to no call")
            return
        kept = None
        if result is Result.ERROR:
            self.host.broken += 1
        elif result is Result.OK:
            self.host.answers += 1
            kept = WorkerResponse(answer.body)
            final = FinalAnswer(
                FinalStatus.SERVED, answer.body, attempts=self.number + 1, worker=self.host.name
            )
            self.call.finish(final)
        crowd = (answer.crowd or 0) if result in (Result.OK, Result.AT_CAPACITY) else None
        self._end(result, answer.found, crowd, answer.report, kept)

    def on_failed(self, result: Result, reason: str) -> None:
        """It ended without an answer."""
        self.host.broken += 1
        self._end(result, reason=reason)

    def _end(
        self,
        result: Result,
        found: CacheStatus = CacheStatus.UNKNOWN,
        crowd: int | None = None,
        report: LoadReport | None = None,
        answer: WorkerResponse | None = None,
        reason: str = "",
    ) -> None:
        outcome = AttemptOutcome(
            self.call.number,
            self.number,
            self.host.number,
            result,
            self.clock() - self.sent_s,
            self.call.is_finished,
            found,
            crowd,
            report,
        )
        self.tell(AttemptResult(self.call, outcome, answer, reason))


class Order(Item):
    """An order to load, or a question whether a connection works (no function)."""

    __slots__ = ("copies", "function")

    def __init__(
        self,
        tag: str,
        function: FunctionSpec | None,
        copies: int,
        host: Host,
        deadline_s: float,
        tell: Tell,
        clock: Callable[[], float],
    ) -> None:
        line = codec.ping_line(tag) if function is None else codec.load_line(tag, function.name, copies)
        super().__init__(line, tag, host, deadline_s, tell, clock)
        self.function = function
        self.copies = copies

    def may_start(self) -> bool:
        """Asking alone is no load: it may go to a host that drains."""
        return super().may_start() if self.copies else self.still_wanted()

    def on_answer(self, answer: codec.HostAnswer) -> None:
        """Whether the copies stand."""
        result = codec.RESULTS.get(answer.word, Result.OK if answer.word == codec.UP else Result.ERROR)
        self._end(result, answer.copies, answer.report)

    def on_failed(self, result: Result, reason: str) -> None:
        """It ended without an answer."""
        self._end(result, 0, None)

    def _end(self, result: Result, copies: int, report: LoadReport | None) -> None:
        number = None if self.function is None else self.function.number
        self.tell(CommandResult(self.host.number, result, self.clock() - self.sent_s, number, copies, report))
