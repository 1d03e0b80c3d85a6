"""A client of the gateway, for the command line, scenario runs and other programs."""

from saffronstack.client.connection import Client, Response

__all__ = ["Client", "Response"]
