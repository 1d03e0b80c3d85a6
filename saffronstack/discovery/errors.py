"""Errors of service discovery."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base of all errors that discovery raises itself."""
