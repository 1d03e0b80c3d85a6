"""Errors of connections to workers."""

from __future__ import annotations


class UpstreamError(Exception):
    """Base class of all errors that this package defines."""


class LineProtocolError(UpstreamError, ValueError):
    """A received line violates the protocol; the connection that carried it must be closed."""


class ConnectTimeoutError(UpstreamError, TimeoutError):
    """The deadline passed before a connection could be opened."""
