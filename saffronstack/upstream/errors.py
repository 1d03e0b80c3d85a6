"""The errors of connections to workers."""

from __future__ import annotations


class UpstreamError(Exception):
    """Base of all errors that this package raises itself."""


class LineProtocolError(UpstreamError, ValueError):
    """A line that breaks the protocol: the connection that carried it can't be used any further."""


class ConnectTimeoutError(UpstreamError, TimeoutError):
    """No connection could be opened within the time that was left for it."""
