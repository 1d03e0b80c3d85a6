"""Errors of service discovery."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base class of the errors that the discovery package defines."""
