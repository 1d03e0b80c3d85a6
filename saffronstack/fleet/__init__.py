"""Coordination of the gateways of a fleet: leases, tasks, control and rollouts.

Disabled, and not imported, on the users' platform.
"""
