"""What happens in one play, drawn from its seed. No I/O; all times in seconds."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

LONGEST_DEADLINES_S = (0.3, 1.0, 3.0, 8.0)
COUNTED_DEADLINE_MAX_S = 3.0  # by the protocol's page
KILL_AFTER_S = 0.7  # the earliest kill: this long after SIGTERM and the counted deadline
CLIENTS, MANY_CLIENTS = 16, 60
MANY_CLIENTS_SEED_STEP = 3  # one in so many seeds has many clients
SOCKET_LIMITS = (256, 1024)
CLIENT_DESCRIPTOR_DIVISOR = 3  # clients use at most one in so many of the gateway's descriptors
IDLE_CLIENTS_PROBABILITY = 0.3
CONNECTION_LIMIT_MULTIPLES = (
    1.0,
    1.5,
)  # of what clients may use; the gateway holds fewer connections than the larger one


class HostBehaviour(Enum):
    """How a host treats calls."""

    QUICK = "quick"
    SLOW = "slow"  # takes a large part of the deadline
    HANGING = "hanging"  # reads calls and never answers


class ClientKind(Enum):
    """How a client sends on its connection."""

    CLOSED_LOOP = "closed loop"  # the next request once the last is answered
    OPEN_LOOP = "open loop"  # at a rate of its own
    PIPELINED = "pipelined"  # several requests in one write
    IN_PARTS = "in pieces"  # each request in two writes with a pause between them
    IDLE = "crowd"  # one request, and then the connection is kept; where it has ended, again after a while


@dataclass(frozen=True, slots=True)
class SignalAt:
    """A signal to the gateway, at a time relative to SIGTERM."""

    name: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Schedule:
    """One play. It ends at the kill, or once the gateway has ended by itself.

    Attributes:
        seed: It was drawn from.
        longest_deadline_s: Of the gateway's request classes.
        host_delay_s: The longest delay of a quick host.
        hosts: One behaviour each.
        clients: One kind each.
        sockets: The gateway's limit of descriptors.
        before_s: Of load before SIGTERM.
        signals: Beside the one SIGTERM at 0.
        discovery_moves_at_s: When a host is replaced, relative to SIGTERM; None for never.
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
        """Whether the clients that go on calling need no more connections than clients may use."""
        busy_clients = sum(kind is not ClientKind.IDLE for kind in self.clients)
        return busy_clients <= self.descriptor_limit // CLIENT_DESCRIPTOR_DIVISOR

    def describe(self) -> str:
        """Return a line for a person."""
        kinds = {kind.value: self.clients.count(kind) for kind in ClientKind if kind in self.clients}
        signals = [f"{signal.name} {signal.at_s:+.2f}" for signal in self.signals]
        return (
            f"seed {self.seed}: deadline {self.longest_deadline_s:g} s, kill +{self.kill_s:.1f} s, "
            f"hosts {[host.value for host in self.hosts]}, clients {kinds}, "
            f"{self.descriptor_limit} descriptors, "
            f"signals {signals}, discovery {self.host_replaced_at_s}"
        )


def draw(seed: int) -> Schedule:
    """Draw the play of a seed; the same one each time."""
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
