"""Idempotent requests: deduplication by idempotency key, coalescing, and replay of stored responses.

A request with an idempotency key belongs to an *operation*. However often a client or an SDK retries, the
operation takes effect once: concurrent requests wait for the one that executes, later ones get its response.
"""
