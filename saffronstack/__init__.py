"""saffronstack: a gateway that routes requests to workers that load functions on demand."""

from saffronstack.routing.router import Router
from saffronstack.routing.settings import Settings

__all__ = ["Router", "Settings"]
