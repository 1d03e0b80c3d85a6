"""Adapter to the simulator: its wire format, and the process that speaks it."""
