"""saffronstack: warm-stack routing decisions for front ends of workers that load programs on demand."""

from saffronstack.routing.router import Router
from saffronstack.routing.settings import Settings

__all__ = ["Router", "Settings"]
