"""Defects that can be injected into a simulation, to show that its invariants detect them."""

from __future__ import annotations

import enum

from saffronstack.fleet.control.observed_gateway import GatewayPhase
from saffronstack.fleet.rollout.controller import RolloutController


class Defect(enum.Enum):
    """A rule of the rollout that is not enforced."""

    NONE = "none"
    TOKEN_FORGOTTEN = "token forgotten"  # a daemon does not restore its fencing token at a restart
    COMMANDED_BEFORE_STORED = "commanded before stored"
    UNOBSERVED_IS_AVAILABLE = "unobserved is available"
    ROLLOUT_RESTARTED = "rollout restarted"  # a new leader restarts a rollout that is being rolled back
    LATE_COMMAND_ACCEPTED = "late command accepted"
    INCARNATION_IGNORED = "incarnation ignored"
    TWO_ZONES_AT_ONCE = "two zones at once"
    NOT_SETTLED = "not settled"  # a leader does not wait until gateways have settled after an update


def apply_defect(controller: RolloutController, defect: Defect) -> None:
    """Disable a rule of a controller; defects of the other simulated parts are ignored."""
    view, scheduler = controller.view, controller.scheduler
    match defect:
        case Defect.UNOBSERVED_IS_AVAILABLE:
            view.unavailable = lambda: {  # type: ignore[method-assign]
                name
                for name, observed in view.observed.items()
                if observed.phase is not GatewayPhase.SERVING
                or observed.desired_release not in (observed.running_release, observed.failed_release)
            }
        case Defect.TWO_ZONES_AT_ONCE:
            scheduler._zone_of = dict.fromkeys(scheduler._zone_of, "")
            scheduler._batches = lambda record, names: [tuple(names)]  # type: ignore[method-assign]
        case Defect.NOT_SETTLED:
            view.is_settled = lambda gateway, release: True  # type: ignore[method-assign]
            view.unavailable = set  # type: ignore[method-assign]
        case _:
            pass
