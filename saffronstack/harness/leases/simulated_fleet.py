"""Acceptors, candidates and a resource in virtual time; links lose, delay and duplicate messages."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import NamedTuple

from saffronstack.fleet.leases.acceptor import Acceptor
from saffronstack.fleet.leases.candidate import Candidate, CandidateAction, LeaseAcquired, LeaseLost
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptorAction,
    AcceptorState,
    DiskState,
    Message,
    PersistState,
    SendMessage,
    SetTimer,
)

LEASE = "task/usage"
ACT_INTERVAL_S = 0.1
MAX_BREACHES = 10
MAX_STORED_STATES = 20
LOST_HOLDER_EXIT_PROBABILITY = 0.1  # of a candidate that loses the lease; a new one replaces it
SLOW_ACT_PROBABILITY = 0.05
MAX_ACT_DELAY_S = 0.02
MAX_SLOW_ACT_DELAY_S = 6.0

AcceptorFactory = Callable[[str, LeaseLimits, DiskState, AcceptorState, float, int], Acceptor]
CandidateFactory = Callable[[str, str, float, LeaseLimits, int], Candidate]


@dataclass(frozen=True)
class FaultRates:
    """Probabilities of faults, and their times in seconds of virtual time."""

    loss: float = 0.1
    duplication: float = 0.05
    delay: float = 0.05  # of a message, by up to ``delay_s``
    delay_s: float = 8.0
    latency_s: float = 0.01
    process_fault_interval_s: float = 1.5  # mean time between faults of servers, candidates and partitions
    down_s: float = 2.0
    rolled_back_disk: float = 0.15  # per restart
    lost_disk: float = 0.15  # per restart
    pause_s: float = 4.0  # maximum pause of a candidate
    partition_s: float = 3.0  # maximum duration of a server's partition, one-way or both ways
    replacement: float = 0.1  # per restart: a new machine replaces a paused one
    replaced_awake_s: float = 30.0  # maximum time that a replaced machine runs on; half of its peers reach it
    one_disk_at_a_time: bool = True  # a disk fails only while all other servers are recovered


@dataclass
class SimulationResult:
    """Breaches of the lease rules in a simulation, counts of acts, and holding time in seconds."""

    seed: int
    breaches: list[str] = field(default_factory=list)
    acquired: int = 0
    held_s: float = 0.0
    acts: int = 0
    rejected: int = 0  # acts under an older token, rejected by the resource

    def add_breach(self, now: float, text: str) -> None:
        """Record a breach of the lease rules; breaches beyond `MAX_BREACHES` are dropped."""
        if len(self.breaches) < MAX_BREACHES:
            self.breaches.append(f"{now:.3f} s: {text}")


class _Event(NamedTuple):
    """An event; events of the same time run in the order in which they were scheduled."""

    at_s: float
    sequence: int
    run: Callable[[], None]


class EventQueue:
    """Virtual clock that runs events in the order of their times."""

    def __init__(self) -> None:
        """Start at time 0 without events."""
        self.now = 0.0
        self._sequence = count()
        self._events: list[_Event] = []  # a heap

    def schedule(self, after_s: float, event: Callable[[], None]) -> None:
        """Run an event after some seconds of virtual time."""
        heapq.heappush(self._events, _Event(self.now + after_s, next(self._sequence), event))

    def run_next(self, until_s: float) -> bool:
        """Run the next event; return False if there is none before ``until_s``."""
        if not self._events or self._events[0].at_s >= until_s:
            return False
        event = heapq.heappop(self._events)
        self.now = event.at_s
        event.run()
        return True


class Resource:
    """Resource that the lease protects; it rejects acts under an older fencing token."""

    def __init__(self, result: SimulationResult) -> None:
        """Count acts and breaches in a result."""
        self._result = result
        self._token = 0
        self._holder = ""

    def act(self, now: float, token: int, name: str) -> None:
        """Accept or reject an act."""
        if token < self._token:
            self._result.rejected += 1
            return
        if token == self._token and name != self._holder:
            self._result.add_breach(now, f"{name} and {self._holder} acted under one token, {token}")
        self._token, self._holder = token, name
        self._result.acts += 1


class SimulatedFleet:
    """Servers and candidates, whose clocks run at different rates within the drift limit."""

    def __init__(
        self,
        seed: int,
        *,
        servers: int = 3,
        candidates: int = 3,
        lease_s: float = 3.0,
        faults: FaultRates | None = None,
        make_acceptor: AcceptorFactory = Acceptor,
        make_candidate: CandidateFactory = Candidate,
    ) -> None:
        """Create new servers and candidates; the seed determines the whole simulation."""
        self.random = random.Random(seed)
        self.faults = faults or FaultRates()
        self.limits = LeaseLimits(tuple(f"k{number}" for number in range(servers)), max_lease_s=lease_s)
        self.result = SimulationResult(seed)
        self.make_acceptor, self._make_candidate = make_acceptor, make_candidate
        self._lease_s = lease_s
        self.events = EventQueue()
        self._resource = Resource(self.result)
        self._clock_rates = {name: self._draw_clock_rate() for name in self.limits.servers}
        # States that each server persisted, oldest first. A server with none starts with a lost disk.
        self.disks: dict[str, list[AcceptorState]] = {name: [AcceptorState()] for name in self.limits.servers}
        self.acceptors: dict[str, Acceptor | None] = {
            name: make_acceptor(name, self.limits, DiskState.NEW, AcceptorState(), 0.0, 0)
            for name in self.limits.servers
        }
        self.partitioned: set[tuple[str, str]] = set()  # senders and receivers of dropped messages
        self.replaced: dict[str, Acceptor] = {}
        self.stale_routes: set[tuple[str, str]] = set()  # peers that reach the replaced server, with its name
        self.candidates: dict[str, Candidate] = {}
        self.paused_until_s: dict[str, float] = {}
        self._process_numbers = count()
        self.acquired_by: dict[int, str] = {}  # candidates by token
        for _ in range(candidates):
            self._start_candidate()

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self.events.now

    def _draw_clock_rate(self) -> float:
        return 1 + self.limits.max_clock_drift * (self.random.random() - 0.5)

    def clock(self, name: str) -> float:
        """Return the time of a process's own clock."""
        return self.now * self._clock_rates[name]

    # ---- messages

    def _send(self, sender: str, receiver: str, message: Message) -> None:
        faults, rng = self.faults, self.random
        if (sender, receiver) in self.partitioned or rng.random() < faults.loss:
            return
        for _ in range(1 + (rng.random() < faults.duplication)):
            delay_s = faults.latency_s * rng.expovariate(1.0)
            if rng.random() < faults.delay:
                delay_s += rng.random() * faults.delay_s
            self.events.schedule(delay_s, lambda: self._deliver(sender, receiver, message))

    def _deliver(self, sender: str, receiver: str, message: Message) -> None:
        if receiver in self.acceptors:
            self._deliver_to_server(sender, receiver, message)
        elif receiver in self.paused_until_s:  # receives the message when it resumes
            wait_s = self.paused_until_s[receiver] - self.now
            self.events.schedule(wait_s, lambda: self._deliver(sender, receiver, message))
        elif receiver in self.candidates:
            candidate = self.candidates[receiver]
            actions = candidate.handle(self.clock(receiver), sender, message)
            self._apply_candidate_actions(receiver, actions)

    def _deliver_to_server(self, sender: str, server: str, message: Message) -> None:
        replaced = self.replaced.get(server)
        if replaced is not None and (sender, server) in self.stale_routes:
            actions = replaced.handle(self.clock(server), sender, message)
            self.apply(server, [action for action in actions if isinstance(action, SendMessage)])
            return
        acceptor = self.acceptors[server]
        if acceptor is not None:
            self.apply(server, acceptor.handle(self.clock(server), sender, message))

    def apply(self, server: str, actions: list[AcceptorAction]) -> None:
        """Execute the actions of an acceptor."""
        for action in actions:
            match action:
                case PersistState():
                    self.disks[server].append(action.state)
                    del self.disks[server][:-MAX_STORED_STATES]
                case SendMessage():
                    self._send(server, action.receiver, action.message)
                case SetTimer():
                    self._set_timer(server, action)

    def _apply_candidate_actions(self, name: str, actions: list[CandidateAction]) -> None:
        for action in actions:
            match action:
                case SendMessage():
                    self._send(name, action.receiver, action.message)
                case SetTimer():
                    self._set_timer(name, action)
                case LeaseAcquired():
                    self._record_acquired(name, action.token)
                case LeaseLost():
                    if self.random.random() < LOST_HOLDER_EXIT_PROBABILITY:
                        self.events.schedule(0.0, lambda: self.replace_candidate(name))

    def _record_acquired(self, name: str, token: int) -> None:
        self.result.acquired += 1
        owner = self.acquired_by.setdefault(token, name)
        newest = max(self.acquired_by)
        if owner != name or token < newest:
            self.result.add_breach(self.now, f"{name} acquired token {token}, after {newest}")

    def _set_timer(self, name: str, timer: SetTimer) -> None:
        after_s = max(0.0, timer.deadline_s / self._clock_rates[name] - self.now) + 1e-6
        self.events.schedule(after_s, lambda: self.tick(name))

    def tick(self, name: str) -> None:
        """Fire the timer of a process; a paused candidate handles it when it resumes."""
        acceptor = self.acceptors.get(name)
        if acceptor is not None:
            self.apply(name, acceptor.tick(self.clock(name)))
        elif name in self.paused_until_s:
            self.events.schedule(self.paused_until_s[name] - self.now, lambda: self.tick(name))
        elif name in self.candidates:
            self._apply_candidate_actions(name, self.candidates[name].tick(self.clock(name)))

    # ---- candidates and the resource

    def _start_candidate(self) -> None:
        name = f"c{next(self._process_numbers)}"
        self._clock_rates[name] = self._draw_clock_rate()
        seed = self.random.randrange(2**31)
        candidate = self._make_candidate(name, LEASE, self._lease_s, self.limits, seed)
        self.candidates[name] = candidate
        self._apply_candidate_actions(name, candidate.acquire(self.clock(name)))

    def replace_candidate(self, name: str) -> None:
        """Remove a candidate and start a new one."""
        if self.candidates.pop(name, None) is not None:
            self.paused_until_s.pop(name, None)
            self._start_candidate()

    def act(self) -> None:
        """Schedule an act for each holder, executed after a delay even if the holder is paused meanwhile."""
        for name, candidate in self.candidates.items():
            if name not in self.paused_until_s and candidate.is_holder(self.clock(name)):
                fraction = self.random.random()
                delay_s = (
                    MAX_ACT_DELAY_S
                    if self.random.random() < 1 - SLOW_ACT_PROBABILITY
                    else MAX_SLOW_ACT_DELAY_S
                )
                self._schedule_act(fraction * delay_s, candidate.token, name)
                self.result.held_s += ACT_INTERVAL_S
        self.events.schedule(ACT_INTERVAL_S, self.act)

    def _schedule_act(self, after_s: float, token: int, name: str) -> None:
        self.events.schedule(after_s, lambda: self._resource.act(self.now, token, name))
