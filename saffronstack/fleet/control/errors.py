"""Errors of the fleet's control plane."""

from __future__ import annotations


class ControlError(Exception):
    """Base of all errors of this package."""


class UnusableReleaseError(ControlError):
    """A directory has no usable release, or not the requested one; the text names path and reason."""


class ForeignDesiredStateError(ControlError, ValueError):
    """The state directory belongs to another daemon."""


class RejectedRequestError(ControlError):
    """A daemon rejects a control request; the subclass and the text give the reason."""


class TokenLostError(RejectedRequestError):
    """The daemon lost its fencing token and has not recovered it from the lease servers yet."""


class StaleTokenError(RejectedRequestError):
    """The request has an older fencing token than an accepted request."""


class OutOfOrderError(RejectedRequestError):
    """A later request of the same leader has already been accepted."""


class WrongIncarnationError(RejectedRequestError):
    """The request's commands name another incarnation of the daemon."""


class InvalidCommandError(ControlError):
    """A command names a gateway that the daemon does not run."""
