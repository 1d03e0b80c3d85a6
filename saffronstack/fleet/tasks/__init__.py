"""Scheduled tasks of a fleet: each runs in one process at a time, under a lease (`docs/leases.md`)."""
