"""Errors of stored data. Messages name the directory or file, and the byte offset if there is one."""

from __future__ import annotations


class StorageError(Exception):
    """Stored data cannot be used."""


class JournalError(StorageError):
    """A journal's directory cannot be locked, read or written."""


class RunDamagedError(StorageError):
    """A sorted run is missing or truncated, or neither copy of one of its blocks can be read."""
