"""Errors of the routing package."""

from __future__ import annotations


class RoutingError(ValueError):
    """A value given to the router is impossible; the message says which one and what was expected."""


class InvalidSettingsError(RoutingError):
    """A value of the settings is impossible; the message starts with the path of its field."""


class UnknownRequestClassError(RoutingError):
    """A request names a class that is not in the settings."""
