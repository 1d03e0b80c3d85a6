"""The errors of leases. Those that callers handled as built-in errors before are such still."""

from __future__ import annotations


class LeaseError(Exception):
    """Base class of all errors of this package."""


class UnknownServerError(LeaseError, ValueError):
    """A server's name is none of those of its fleet."""


class InvalidLeaseDurationError(LeaseError, ValueError):
    """A lease was asked for with a duration that no server grants."""


class NotHolderError(LeaseError, ValueError):
    """A value was stored under a lease that the candidate does not hold."""


class LeaseAlreadyRequestedError(LeaseError, ValueError):
    """This process waits for the lease or holds it already."""


class DecodeError(LeaseError, ValueError):
    """Bytes of a link or of the disk are no message or state of this protocol."""


class ServerResponseError(LeaseError, ValueError):
    """A lease server answered a request with an error status."""


class ForeignStateError(LeaseError):
    """The state directory is another server's or fleet's: starting with it would add a second vote."""


class StateExistsError(LeaseError, FileExistsError):
    """A new server was to be established in a directory that holds a server's state."""
