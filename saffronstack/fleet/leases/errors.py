"""Errors of leases. Some also derive from a built-in exception, because callers catch them by that."""

from __future__ import annotations


class LeaseError(Exception):
    """Base class of all errors that this package raises."""


class UnknownServerError(LeaseError, ValueError):
    """The fleet has no lease server of the given name."""


class InvalidLeaseDurationError(LeaseError, ValueError):
    """The requested lease duration exceeds what any server grants."""


class LeaseNotGrantedError(LeaseError, ValueError):
    """A lease was not granted in time."""


class NotHolderError(LeaseError, ValueError):
    """A candidate tried to store a value under a lease that it does not hold."""


class LeaseAlreadyRequestedError(LeaseError, ValueError):
    """This process already waits for the lease or holds it."""


class DecodeError(LeaseError, ValueError):
    """Received or stored bytes are not a valid message or state of this protocol."""


class ServerResponseError(LeaseError, ValueError):
    """A lease server responded with an error status."""


class ForeignStateError(LeaseError):
    """The state directory belongs to another server or fleet; using it would let that server vote twice."""


class StateExistsError(LeaseError, FileExistsError):
    """A new server can't be established in a directory that already contains a server's state."""
