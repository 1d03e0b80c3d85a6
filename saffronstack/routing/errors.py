"""Errors of the routing package."""

from __future__ import annotations


class RoutingError(ValueError):
    """A value given to the router is invalid; the message names it and the expected values."""


class InvalidSettingsError(RoutingError):
    """A settings value is invalid; the message starts with the path of its field."""


class UnknownRequestClassError(RoutingError):
    """A request names a class that is not in the settings."""
