"""Incremental updates of an endpoint list, used by DNS discovery and by file discovery."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

EndpointT = TypeVar("EndpointT")
IdT = TypeVar("IdT")


@dataclass(frozen=True, slots=True)
class EndpointChanges(Generic[EndpointT, IdT]):
    """The difference between two endpoint lists. It is falsy if the lists are equal.

    Attributes:
        updated: Endpoints that are new or changed.
        removed: Identifiers of endpoints that are no longer listed.
    """

    updated: tuple[EndpointT, ...] = ()
    removed: tuple[IdT, ...] = ()

    def __bool__(self) -> bool:
        """Return whether anything changed."""
        return bool(self.updated or self.removed)
