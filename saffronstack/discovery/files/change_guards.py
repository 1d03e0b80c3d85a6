"""Decides whether a valid version may be applied without an operator's approval. No I/O.

A list that can be read may still be wrong: written by a broken script, restored from an old copy, cut to one
rack. Such a version waits for approval by its digest, and the last one stays in force. Workers that it shows
as draining are drained all the same: an unneeded drain does no harm, a missed one does.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from saffronstack.discovery.files.flap_detection import FlapSettings
from saffronstack.discovery.files.parsing import WorkerListVersion


@dataclass(frozen=True, slots=True)
class GuardSettings:
    """What needs no approval.

    Attributes:
        allow_empty: Whether a version may list no workers.
        max_removed_fraction: Fraction of the ready workers that one version may remove.
        always_removable_count: Workers that a version may remove whatever fraction they are.
        allow_older: Whether a version may have a lower generation than the one in force.
        flapping: When a worker counts as flapping.
    """

    allow_empty: bool = False
    max_removed_fraction: float = 0.5
    always_removable_count: int = 2
    allow_older: bool = False
    flapping: FlapSettings = field(default_factory=FlapSettings)


@dataclass(frozen=True, slots=True)
class ApprovalRequired:
    """A version waits for an operator."""

    reason: str


def review_version(
    settings: GuardSettings,
    current: WorkerListVersion | None,
    candidate: WorkerListVersion,
    is_approved: bool,
) -> ApprovalRequired | None:
    """Return why a version needs approval; None where it may be applied.

    Args:
        settings: What needs no approval.
        current: The version in force; None before the first.
        candidate: The version to apply.
        is_approved: Whether an operator approved it.
    """
    if is_approved:
        return None
    if not candidate.workers and not settings.allow_empty:
        return ApprovalRequired("it lists no workers")
    if current is None:
        return None
    return _review_generation(settings, current, candidate) or _review_removals(settings, current, candidate)


def _review_generation(
    settings: GuardSettings, current: WorkerListVersion, candidate: WorkerListVersion
) -> ApprovalRequired | None:
    generation = candidate.generation
    if 0 < generation < current.generation and not settings.allow_older:
        return ApprovalRequired(
            f"generation {generation} is older than {current.generation}, which is applied"
        )
    if generation and generation == current.generation and candidate.workers != current.workers:
        return ApprovalRequired(f"generation {generation} is applied with other workers: two writers?")
    return None


def _review_removals(
    settings: GuardSettings, current: WorkerListVersion, candidate: WorkerListVersion
) -> ApprovalRequired | None:
    ready = {worker.id for worker in current.workers if worker.state == "ready"}
    removed = ready - {worker.id for worker in candidate.workers}
    if len(removed) > max(settings.always_removable_count, settings.max_removed_fraction * len(ready)):
        return ApprovalRequired(f"{len(removed)} of {len(ready)} ready workers are gone from it")
    return None
