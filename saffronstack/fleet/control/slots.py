"""What a daemon does about one gateway: which release runs, how one takes another's place. No I/O.

A change never leaves the address without a listener: it is the daemon's, and connections wait in its queue
meanwhile. The new life is *prepared* first (program loaded, configuration read, nothing opened) while the old
one serves; a release that can't even do that costs no call. Then the old one is told to end, and once it has
ended the new one is told to *go*: two lives never own one ledger. Times in seconds of one clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from saffronstack.daemon.restart_backoff import RestartBackoff

START_S = 30.0  # a life that is not prepared, or does not take calls, so long after it was asked to
TRIES = 2  # starts of a release that may fail before it is given up for the one before
CRASHES = 5  # ends in a row, none after a calm life, after which a release is called unable to run

State = Literal["none", "starting", "up", "changing", "down", "ending"]


@dataclass(frozen=True, slots=True)
class Spawn:
    """Start a life of a release, which prepares itself and waits for ``Go``."""

    life: int
    release: str


@dataclass(frozen=True, slots=True)
class Go:
    """Let a prepared life take calls."""

    life: int


@dataclass(frozen=True, slots=True)
class Follow:
    """Tell a prepared life whom it follows: should nobody be there to say ``Go``, it goes once that one has
    ended."""

    life: int
    after: int


@dataclass(frozen=True, slots=True)
class Term:
    """Have a life answer what it took, and end."""

    life: int


@dataclass(frozen=True, slots=True)
class Kill:
    """End a life at once."""

    life: int


Action = Spawn | Go | Follow | Term | Kill


@dataclass(slots=True)
class Life:
    """One process of the gateway."""

    number: int
    release: str
    began_s: float
    phase: Literal["preparing", "prepared", "going", "up", "ending"] = "preparing"
    until_s: float = 0.0  # by when it must be further, or is killed


@dataclass(frozen=True, slots=True)
class Seen:
    """A slot as others see it."""

    wanted: str
    runs: str  # the release that takes calls; empty where none does
    state: State
    life: int
    restarts: int  # ends that nobody asked for, since the daemon began
    refused: str  # a release that could not be started and was given up
    why: str  # what went wrong last


@dataclass(slots=True)
class Slot:
    """One gateway. ``wanted``: the release that was ordered, empty for none. Methods return what is to be
    done about it."""

    drain_s: float
    start_s: float = START_S
    wanted: str = ""
    before: str = ""  # the release that ran before the wanted one
    refused: str = ""
    why: str = ""
    restarts: int = 0
    current: Life | None = None
    next: Life | None = None
    _again_s: float = 0.0
    _failed: int = 0  # starts of the wanted release that failed in a row
    _ends: RestartBackoff = field(default_factory=RestartBackoff)
    _numbers: int = 0

    def want(self, now: float, release: str) -> list[Action]:
        """An order; the same one twice changes nothing, but has a release that was given up tried again."""
        if release == self.wanted and self.refused != release:
            return []
        if self.current is not None and self.current.release != release:
            self.before = self.current.release
        self.wanted, self.refused, self.why = release, "", ""
        self._failed, self._again_s, self._ends = 0, now, RestartBackoff()
        return self.tick(now)

    def adopt(self, now: float, release: str) -> int:
        """A life that was up before this daemon: its number. It is wanted until an order says otherwise: a
        daemon that forgot what was wanted ends nothing."""
        self._numbers += 1
        self.wanted = release
        self.current = Life(self._numbers, release, now, "up")
        return self._numbers

    def seen(self) -> Seen:
        """As others see it."""
        current = self.current
        runs = current.release if current is not None and current.phase == "up" else ""
        state: State = "none"
        if self.next is not None:
            state = "changing" if current is not None else "starting"
        elif current is not None:
            state = "up" if runs else "ending"
        elif self._target():
            state = "down"
        number = current.number if current is not None else 0
        return Seen(self.wanted, runs, state, number, self.restarts, self.refused, self.why)

    def prepared(self, now: float, number: int) -> list[Action]:
        """A life loaded its program and configuration."""
        life = self.next
        if life is None or life.number != number or life.phase != "preparing":
            return []
        life.phase, life.until_s = "prepared", float("inf")
        return self.tick(now)

    def up(self, now: float, number: int) -> list[Action]:
        """A life takes calls."""
        life = self.next
        if life is None or life.number != number or life.phase != "going":
            return []
        life.phase, life.until_s = "up", float("inf")
        self.current, self.next, self._failed = life, None, 0
        life.began_s = now
        return self.tick(now)

    def ended(self, now: float, number: int, why: str) -> list[Action]:
        """A life is over, asked or not."""
        if self.next is not None and self.next.number == number:
            return self._start_failed(now, self.next, why)
        life = self.current
        if life is None or life.number != number:
            return []
        self.current = None
        if life.phase == "up":
            self.restarts += 1
            self.why = f"{life.release} ended: {why}"
            self._again_s = self._ends.process_exited(life.began_s, now)
            if self._ends.exits >= CRASHES and life.release == self._target():
                self._give_up(life.release)
        return self.tick(now)

    def tick(self, now: float) -> list[Action]:
        """Time has passed: what is late, due or in the way."""
        actions: list[Action] = []
        for life in (self.next, self.current):
            if life is not None and now >= life.until_s > 0:
                self.why = self.why or f"{life.release} {life.phase} for too long and was killed"
                life.until_s = now + 1.0  # its end is told soon
                actions.append(Kill(life.number))
        target = self._target()
        if self.next is not None:
            if self.next.release != target and self.next.phase in ("preparing", "prepared"):
                actions.append(Kill(self.next.number))
                self.next = None
            elif self.next.phase == "prepared":
                if self.current is None:
                    self.next.phase, self.next.until_s = "going", now + self.start_s
                    actions.append(Go(self.next.number))
                elif self.current.phase == "up":
                    actions.append(Follow(self.next.number, self.current.number))
                    actions += self._end(now, self.current)
        if self.next is None and target and now >= self._again_s:
            running = self.current
            if running is None or (running.phase == "up" and running.release != target):
                self._numbers += 1
                self.next = Life(self._numbers, target, now, "preparing", now + self.start_s)
                actions.append(Spawn(self._numbers, target))
        if not target and self.current is not None and self.current.phase == "up":
            actions += self._end(now, self.current)
        return actions

    def due_s(self) -> float:
        """When ``tick`` has something to do at the latest."""
        dues = [life.until_s for life in (self.next, self.current) if life is not None and life.until_s > 0]
        if self.next is None and self._target() and self._again_s > 0:
            dues.append(self._again_s)
        return min(dues, default=float("inf"))

    def _target(self) -> str:
        """What is to run: the wanted release, or the one before where that could not be started."""
        return self.before if self.refused and self.refused == self.wanted else self.wanted

    def _end(self, now: float, life: Life) -> list[Action]:
        life.phase, life.until_s = "ending", now + self.drain_s
        return [Term(life.number)]

    def _start_failed(self, now: float, life: Life, why: str) -> list[Action]:
        self.next = None
        if life.release == self._target():
            self._failed += 1
            self.why = f"{life.release} did not start: {why}"
            self._again_s = self._ends.process_exited(now, now)
            if self._failed >= TRIES:
                self._give_up(life.release)
        return self.tick(now)

    def _give_up(self, release: str) -> None:
        """The one before takes its place, where there is one; the daemon's master hears of it."""
        if release == self.wanted and self.before and self.before != release:
            self.refused = release
            self._failed, self._again_s, self._ends = 0, 0.0, RestartBackoff()
