"""Construction of a router's components and the dependencies between them."""

from __future__ import annotations

import random

from saffronstack.routing.concurrency_limit import ConcurrencyLimiter
from saffronstack.routing.cpu_utilization import CpuUtilization
from saffronstack.routing.eligibility import Eligibility
from saffronstack.routing.idle_sweep import IdleSweep
from saffronstack.routing.load_commands import LoadCommands
from saffronstack.routing.load_control import LoadControl
from saffronstack.routing.load_shedding import LoadShedder
from saffronstack.routing.membership import Membership
from saffronstack.routing.memory_account import MemoryAccount
from saffronstack.routing.outlier_detection import OutlierDetection
from saffronstack.routing.placement import Placement
from saffronstack.routing.rate_estimator import RequestRates
from saffronstack.routing.request_queue import RequestQueue
from saffronstack.routing.retry_policy import RetryPolicy
from saffronstack.routing.settings import Settings
from saffronstack.routing.shared_instances import SharedInstances
from saffronstack.routing.slow_start import SlowStart
from saffronstack.routing.state import Attempt, Fleet, Function, PendingRequest
from saffronstack.routing.warm_pool import WarmPool, keep_alive_s


class Components:
    """The state of one router and the components that read and update it.

    Attributes:
        fleet: Known workers.
        functions: Known functions, by function ID.
        requests: Requests that are owed a final answer, by request ID.
        attempts: Attempts in flight, by request ID and attempt index.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the components; they share one random generator whose draws affect decisions."""
        rng = random.Random(seed)
        keep_s = keep_alive_s(settings)
        self.settings = settings
        self.fleet = Fleet()
        self.functions: dict[int, Function] = {}
        self.requests: dict[int, PendingRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.rates = RequestRates()
        self.cpu = CpuUtilization()
        self.shared_instances = SharedInstances()
        self.slow_start = SlowStart(settings, self.fleet, self.rates, self.cpu, rng)
        self.eligibility = Eligibility(self.slow_start)
        self.warm_pool = WarmPool(self.functions, self.eligibility, keep_s)
        self.memory = MemoryAccount(settings, self.fleet, keep_s)
        self.membership = Membership(self.fleet, self.slow_start, self.memory, self.warm_pool)
        self.idle_sweep = IdleSweep(self.functions, self.membership, self.warm_pool, self.rates, keep_s)
        self.concurrency_limiter = ConcurrencyLimiter(settings)
        self.outlier_detection = OutlierDetection(self.fleet)
        self.load_shedder = LoadShedder(settings, self.rates, self.shared_instances, rng)
        self.load_control = LoadControl(settings, self.fleet, self.shared_instances)
        self.load_commands = LoadCommands(settings, self.load_control, self.memory, self.warm_pool)
        self.retry_policy = RetryPolicy(settings)
        self.request_queue = RequestQueue(self.requests)
        self.placement = Placement(
            self.fleet, self.attempts, self.memory, self.rates, self.cpu, self.shared_instances, rng
        )
