"""Errors of the fleet's control plane."""

from __future__ import annotations


class ControlError(Exception):
    """Base of all errors of this package."""


class UnusableReleaseError(ControlError):
    """A directory is no release, or not the release that was asked for; the text names path and reason."""


class ForeignDesiredStateError(ControlError, ValueError):
    """The state directory belongs to another daemon."""


class RejectedRequestError(ControlError):
    """A control request does not count; the subclass and the text say why."""


class TokenLostError(RejectedRequestError):
    """The daemon lost its fencing token and has not learned it again yet."""


class StaleTokenError(RejectedRequestError):
    """The request carries an older fencing token than one that was accepted before."""


class OutOfOrderError(RejectedRequestError):
    """A newer request of the same leader was accepted before this one."""


class WrongIncarnationError(RejectedRequestError):
    """The request's commands were meant for an earlier incarnation of the daemon."""


class InvalidCommandError(ControlError):
    """A command names a gateway that the daemon does not run."""
