"""Chooses the gateways to command next, within the limit of unavailable gateways. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from saffronstack.fleet.rollout.events import SetRelease
from saffronstack.fleet.rollout.fleet_view import FleetView
from saffronstack.fleet.rollout.plan import RolloutFleet
from saffronstack.fleet.rollout.record import RolloutPhase, RolloutRecord
from saffronstack.fleet.rollout.rollout_order import stage_targets, zone_batches

ROLLBACK_RETRY_S = 10.0  # interval between commands to run the old release after a daemon gave it up


class CommandScheduler:
    """Derives commands from the target releases of a rollout, batch by batch."""

    def __init__(self, fleet: RolloutFleet, record: RolloutRecord, view: FleetView) -> None:
        self._fleet, self._view = fleet, view
        self._zone_of = fleet.zone_of()
        self._stage_targets = stage_targets(record.plan, fleet.gateways)

    def targets(self, record: RolloutRecord) -> dict[str, str]:
        """Return the target release of each gateway, in the order of the update."""
        if record.is_rolling_back:
            return dict.fromkeys(reversed(self._stage_targets[-1]), record.old_release.digest)
        reached = self._stage_targets[record.stage]
        remaining = (gateway.name for gateway in self._fleet.gateways if gateway.name not in reached)
        new, old = record.new_release.digest, record.old_release.digest
        return dict.fromkeys(reached, new) | dict.fromkeys(remaining, old)

    def next_commands(
        self, now_s: float, record: RolloutRecord, targets: Mapping[str, str]
    ) -> list[SetRelease]:
        """Return the next commands.

        Unavailable gateways are commanded immediately because a command cannot make them worse. The others
        are commanded batch by batch, each batch after the previous one has settled.
        """
        unavailable = self._view.unavailable()
        due = {name for name, release in targets.items() if self._is_due(now_s, record, name, release)}
        commands = [
            self._create_command(now_s, name, release) for name, release in targets.items()
            if name in unavailable and name in due
        ]  # fmt: skip
        due -= unavailable
        for batch in self._batches(record, list(targets)):
            due_in_batch = [name for name in batch if name in due]
            for name in due_in_batch:
                if self._may_interrupt(record, name, unavailable):
                    unavailable.add(name)
                    commands.append(self._create_command(now_s, name, targets[name]))
            if due_in_batch or not all(self._view.is_settled(name, targets[name]) for name in batch):
                break
        return commands

    def _may_interrupt(self, record: RolloutRecord, gateway: str, unavailable: set[str]) -> bool:
        """Return whether a gateway may become unavailable.

        It may if fewer gateways than the limit are unavailable and all of these are in its zone.
        """
        zones = {self._zone_of[name] for name in unavailable}
        return len(unavailable) < record.plan.max_unavailable and zones <= {self._zone_of[gateway]}

    def _create_command(self, now_s: float, gateway: str, release: str) -> SetRelease:
        self._view.add_command(now_s, gateway, release)
        return SetRelease(self._fleet.daemon_of[gateway], gateway, release)

    def _is_due(self, now_s: float, record: RolloutRecord, gateway: str, release: str) -> bool:
        observed = self._view.observed.get(gateway)
        if observed is None or gateway in self._view.pending:
            return False
        has_given_up = observed.desired_release == release == observed.failed_release
        if has_given_up and record.phase is RolloutPhase.ROLLING_BACK:  # there is no other release to run
            return now_s - self._view.last_commanded_s(gateway) >= ROLLBACK_RETRY_S
        return observed.desired_release != release

    def _batches(self, record: RolloutRecord, names: list[str]) -> Iterable[tuple[str, ...]]:
        """Return batches stage by stage, so that gateways of earlier stages are repaired first."""
        limit = record.plan.max_unavailable
        if record.phase is RolloutPhase.ROLLING_BACK:
            yield from zone_batches(names, self._fleet.gateways, limit)
            return
        previous_stage: tuple[str, ...] = ()
        for stage in self._stage_targets[: record.stage + 1]:
            yield from zone_batches(stage[len(previous_stage) :], self._fleet.gateways, limit)
            previous_stage = stage
        remaining = [name for name in names if name not in previous_stage]
        yield from zone_batches(remaining, self._fleet.gateways, limit)
