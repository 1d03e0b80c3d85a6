"""Idempotent requests: deduplication by idempotency key, coalescing, and replay of stored responses.

All requests with the same idempotency key belong to one *operation*, which takes effect once however often a
client or an SDK retries. Requests that arrive while the operation executes wait for its response. Later
requests get the stored response.
"""
