"""Helpers that tests share: gateways and stub workers in the test's process, clients and raw sockets."""
