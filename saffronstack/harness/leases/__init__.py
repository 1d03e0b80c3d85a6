"""Leases under faults: virtual time, every order of events, processes and their judge."""
