"""Connections to workers: HTTP/1.1 connection pools, and the platform's multiplexed connections."""
