"""State of the decision thread, apart from the router's."""

from __future__ import annotations

from dataclasses import dataclass, field

from saffronstack.engine.engine_statistics import EngineStatistics
from saffronstack.engine.open_calls import OpenCalls
from saffronstack.engine.recent_functions import RecentFunctions
from saffronstack.engine.timers import Timers
from saffronstack.routing.events import TimerFired

CallNumber = int  # a deadline timer has the number, not the call, so that it does not keep the payload alive


@dataclass(frozen=True, slots=True)
class EngineState:
    """State that the components of the decision thread share; only the decision thread changes it.

    Attributes:
        statistics: Counters, which any thread may read.
        open_calls: Calls between their arrival and the end of their last attempt.
        functions: Recently called functions.
        timers: Timers of the router, and the deadlines of open calls.
    """

    statistics: EngineStatistics = field(default_factory=EngineStatistics)
    open_calls: OpenCalls = field(default_factory=OpenCalls)
    functions: RecentFunctions = field(default_factory=RecentFunctions)
    timers: Timers[TimerFired | CallNumber] = field(default_factory=Timers)
