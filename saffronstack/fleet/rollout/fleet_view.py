"""State of each gateway as the leader of a rollout knows it. No I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping

from saffronstack.fleet.control.observed_gateway import GatewayPhase, ObservedGateway
from saffronstack.fleet.rollout.events import DaemonReported
from saffronstack.fleet.rollout.plan import RolloutFleet

MAX_NAMES_SHOWN = 5


class FleetView:
    """The last observation of each gateway, and the commands that were sent since."""

    def __init__(self, fleet: RolloutFleet) -> None:
        self._fleet = fleet
        self._observed: dict[str, ObservedGateway] = {}  # if the daemon responded to the last poll
        self._pending: dict[str, str] = {}  # commanded releases by gateway
        self._last_commanded_s: dict[str, float] = {}

    @property
    def observed(self) -> Mapping[str, ObservedGateway]:
        """Observations by gateway, for gateways whose daemons responded to the last poll."""
        return self._observed

    @property
    def pending(self) -> Mapping[str, str]:
        """Releases that were commanded since the last observation, by gateway."""
        return self._pending

    def update(self, report: DaemonReported) -> bool:
        """Store the observations that a daemon reported; return whether any has changed."""
        has_changed = False
        for name, observed in report.gateways.items():
            if self._fleet.daemon_of.get(name) != report.daemon:
                continue
            has_changed |= observed != self._observed.get(name)
            self._observed[name] = observed
            # The poll follows all earlier commands, so each of them has taken effect or never will.
            self._pending.pop(name, None)
        return has_changed

    def remove_daemon(self, daemon: str) -> None:
        """Remove the observations of a daemon's gateways because it did not respond."""
        for name, owner in self._fleet.daemon_of.items():
            if owner == daemon:
                self._observed.pop(name, None)

    def add_command(self, now_s: float, gateway: str, release: str) -> None:
        """Record a command that is about to be sent."""
        self._pending[gateway], self._last_commanded_s[gateway] = release, now_s

    def last_commanded_s(self, gateway: str) -> float:
        """Return the time of the last command to a gateway; minus infinity for none."""
        return self._last_commanded_s.get(gateway, -math.inf)

    def is_settled(self, gateway: str, release: str) -> bool:
        """Return whether a gateway runs a release that is also its desired release."""
        observed = self._observed.get(gateway)
        return (
            observed is not None
            and gateway not in self._pending
            and observed.desired_release == release == observed.running_release
        )

    def unavailable(self) -> set[str]:
        """Return the gateways that do not serve, or may soon stop serving.

        These are gateways without an observation, gateways that do not serve, and gateways whose last command
        has not completed. A gateway that gave up a release and serves another one is available.
        """
        return {gateway.name for gateway in self._fleet.gateways if not self._is_available(gateway.name)}

    def _is_available(self, gateway: str) -> bool:
        observed = self._observed.get(gateway)
        if observed is None or gateway in self._pending:
            return False
        is_changing = observed.desired_release not in (observed.running_release, observed.failed_release)
        return observed.phase is GatewayPhase.SERVING and not is_changing

    def failures_of(self, release: str) -> list[str]:
        """Return a line for each gateway that gave up a release, with its last error."""
        return [
            f"{name}: {observed.last_error}" for name, observed in sorted(self._observed.items())
            if observed.failed_release == release
        ]  # fmt: skip

    def describe_unsettled(self, targets: Mapping[str, str]) -> str:
        """Return a description of the gateways that do not run their target release yet; empty if all do."""
        unsettled = [name for name, release in targets.items() if not self.is_settled(name, release)]
        text = "; ".join(self._describe(name) for name in unsettled[:MAX_NAMES_SHOWN])
        hidden = len(unsettled) - MAX_NAMES_SHOWN
        return f"{text} and {hidden} more" if hidden > 0 else text

    def _describe(self, name: str) -> str:
        observed = self._observed.get(name)
        if observed is None:
            return f"{name}: {self._fleet.daemon_of[name]} is silent"
        error = f" ({observed.last_error})" if observed.last_error else ""
        return f"{name}: {observed.phase}{error}"
