"""A client of the gateway, for the command line, the days and any other program."""

from saffronstack.client.connection import Answer, Client

__all__ = ["Answer", "Client"]
