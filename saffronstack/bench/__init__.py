"""The bench adapter: the simulator's wire, and the process that speaks it."""
