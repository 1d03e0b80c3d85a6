"""Draws the schedule of one run from a seed. No I/O; all times in seconds."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

LONGEST_DEADLINES_S = (0.3, 1.0, 3.0, 8.0)
COUNTED_DEADLINE_MAX_S = 3.0  # the platform counts at most this much of the deadline before a kill
KILL_AFTER_S = 0.7  # after SIGTERM plus the counted deadline; no earlier kill is allowed
CLIENTS, MANY_CLIENTS = 16, 60
MANY_CLIENTS_SEED_STEP = 3  # each third seed uses MANY_CLIENTS
SOCKET_LIMITS = (256, 1024)
CLIENT_DESCRIPTOR_DIVISOR = 3  # the connection limit is the descriptor limit divided by this
IDLE_CLIENTS_PROBABILITY = 0.3
# Client connections as multiples of the connection limit; the gateway can't keep all of the larger multiple.
CONNECTION_LIMIT_MULTIPLES = (1.0, 1.5)


class HostBehaviour(Enum):
    """How a host responds to calls."""

    QUICK = "quick"
    SLOW = "slow"  # responds after a large part of the deadline
    HANGING = "hanging"  # reads calls and never responds


class ClientKind(Enum):
    """How a client sends on its connection."""

    CLOSED_LOOP = "closed loop"  # sends the next request once the last is answered
    OPEN_LOOP = "open loop"  # sends at its own rate
    PIPELINED = "pipelined"  # sends several requests in one write
    IN_PARTS = "in pieces"  # sends each request in two writes with a pause between them
    IDLE = "crowd"  # sends one request and keeps the connection; reconnects with a delay


@dataclass(frozen=True, slots=True)
class SignalAt:
    """A signal to the gateway; ``at_s`` is relative to SIGTERM."""

    name: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Schedule:
    """The schedule of one run. The run ends when the gateway exits, at the latest at the kill.

    Attributes:
        seed: The seed.
        longest_deadline_s: The deadline of the gateway's request classes.
        host_delay_s: The longest delay of a quick host.
        hosts: The behaviour of each host.
        clients: The kind of each client.
        descriptor_limit: The gateway's maximum of open file descriptors.
        before_s: Seconds of load before SIGTERM.
        signals: Signals in addition to the SIGTERM at 0.
        host_replaced_at_s: When a host is replaced, relative to SIGTERM; None for never.
    """

    seed: int
    longest_deadline_s: float
    host_delay_s: float
    hosts: tuple[HostBehaviour, ...]
    clients: tuple[ClientKind, ...]
    descriptor_limit: int
    before_s: float
    signals: tuple[SignalAt, ...]
    host_replaced_at_s: float | None

    @property
    def kill_s(self) -> float:
        """When the gateway is killed, relative to SIGTERM."""
        return min(self.longest_deadline_s, COUNTED_DEADLINE_MAX_S) + KILL_AFTER_S

    @property
    def busy_clients_fit(self) -> bool:
        """Return whether the clients that send until the end fit within the connection limit."""
        busy_clients = sum(kind is not ClientKind.IDLE for kind in self.clients)
        return busy_clients <= self.descriptor_limit // CLIENT_DESCRIPTOR_DIVISOR

    def describe(self) -> str:
        """Return the schedule as one readable line."""
        kinds = {kind.value: self.clients.count(kind) for kind in ClientKind if kind in self.clients}
        signals = [f"{signal.name} {signal.at_s:+.2f}" for signal in self.signals]
        return (
            f"seed {self.seed}: deadline {self.longest_deadline_s:g} s, kill +{self.kill_s:.1f} s, "
            f"hosts {[host.value for host in self.hosts]}, clients {kinds}, "
            f"{self.descriptor_limit} descriptors, "
            f"signals {signals}, discovery {self.host_replaced_at_s}"
        )


def draw(seed: int) -> Schedule:
    """Draw the schedule of a seed; the same seed always gives the same schedule."""
    rng = random.Random(seed)
    longest_s = LONGEST_DEADLINES_S[seed % len(LONGEST_DEADLINES_S)]
    descriptor_limit = rng.choice(SOCKET_LIMITS)
    kill_s = min(longest_s, COUNTED_DEADLINE_MAX_S) + KILL_AFTER_S
    return Schedule(
        seed=seed,
        longest_deadline_s=longest_s,
        host_delay_s=min(0.3, longest_s / 4),
        hosts=_draw_hosts(rng),
        clients=_draw_clients(seed, rng, descriptor_limit),
        descriptor_limit=descriptor_limit,
        before_s=rng.uniform(1.1, 1.6),
        signals=_draw_signals(rng, kill_s),
        host_replaced_at_s=rng.choice((None, rng.uniform(-0.5, kill_s))),
    )


def _draw_hosts(rng: random.Random) -> tuple[HostBehaviour, ...]:
    third = rng.choice((HostBehaviour.QUICK, HostBehaviour.QUICK, HostBehaviour.SLOW, HostBehaviour.HANGING))
    return (HostBehaviour.QUICK, HostBehaviour.QUICK, third)


def _draw_clients(seed: int, rng: random.Random, descriptor_limit: int) -> tuple[ClientKind, ...]:
    has_many_clients = seed % MANY_CLIENTS_SEED_STEP == 0
    clients = [ClientKind.CLOSED_LOOP] * (MANY_CLIENTS if has_many_clients else CLIENTS)
    others = (ClientKind.OPEN_LOOP, ClientKind.PIPELINED, ClientKind.IN_PARTS)
    clients += [kind for kind in others for _ in range(rng.randrange(4))]
    if rng.random() < IDLE_CLIENTS_PROBABILITY:
        connections = round(
            rng.choice(CONNECTION_LIMIT_MULTIPLES) * descriptor_limit / CLIENT_DESCRIPTOR_DIVISOR
        )
        clients += [ClientKind.IDLE] * max(0, connections - len(clients))
    return tuple(clients)


def _draw_signals(rng: random.Random, kill_s: float) -> tuple[SignalAt, ...]:
    early = [SignalAt("SIGHUP", -rng.choice((0.001, 0.05, 0.3))) for _ in range(rng.randrange(3))]
    late = [
        SignalAt(rng.choice(("SIGHUP", "SIGTERM")), rng.uniform(0.0, kill_s)) for _ in range(rng.randrange(3))
    ]
    return tuple(sorted([*early, *late], key=lambda signal: signal.at_s))
