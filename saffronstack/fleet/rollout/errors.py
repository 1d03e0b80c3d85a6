"""Errors of rollouts."""

from __future__ import annotations


class RolloutError(Exception):
    """Base of all errors of this package."""


class RecordError(RolloutError, ValueError):
    """A stored rollout record can't be read by this program."""
