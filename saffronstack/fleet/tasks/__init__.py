"""Scheduled tasks of a fleet. Each task runs in one process at a time, under a lease (`docs/leases.md`)."""
