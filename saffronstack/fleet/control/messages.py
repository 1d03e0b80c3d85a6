"""What a daemon is asked and what it answers."""

from __future__ import annotations

from msgspec import Struct

from saffronstack.fleet.control.slots import State

TARGET = "/control"
LEAD = "fleet/lead"  # the lease whose token orders carry
WORDS = "fleet/word"  # the lease in whose value operators leave their words to the leader


class Order(Struct, frozen=True):
    """Run a release (a digest; empty: none), or reread settings."""

    gateway: str
    release: str = ""
    reload: bool = False


class Control(Struct, frozen=True):
    """Orders of whoever leads; without any it is a look. ``seq`` grows with each request under one token:
    what comes late, after a newer one, is refused."""

    fleet: str
    token: int
    seq: int
    life: int = 0  # of the daemon, as it was last seen; orders for another one are refused
    orders: tuple[Order, ...] = ()


class Figures(Struct, frozen=True):
    """What one life of a gateway counted so far. ``classes``: by class of calls, endings and how many; times
    of calls as an encoded histogram in tenths of milliseconds."""

    age_s: float  # of these figures
    classes: dict[str, dict[str, int]] = {}
    times: dict[str, str] = {}
    memory_mb: float = 0.0
    descriptors: int = 0
    release: str = ""  # by the gateway's own word; empty where it has none


class GatewayState(Struct, frozen=True):
    """One gateway, as its daemon sees it; `slots.Seen` and figures."""

    wanted: str
    runs: str
    state: State
    life: int
    restarts: int
    refused: str = ""
    why: str = ""
    pid: int = 0
    figures: Figures | None = None


class DaemonState(Struct, frozen=True):
    """A daemon's answer. ``token``: the greatest it took; ``lost``: it has not learned it again since its
    disk lost it, and takes no orders."""

    daemon: str
    token: int
    lost: bool
    life: int
    gateways: dict[str, GatewayState]
