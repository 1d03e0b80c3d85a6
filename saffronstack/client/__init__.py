"""A client of the gateway, for the command line, the days and any other program."""

from saffronstack.client.connection import Client, Response

__all__ = ["Client", "Response"]
