"""Connections to workers: the HTTP/1.1 pools and the multiplexed connections of the platform."""
