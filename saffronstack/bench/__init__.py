"""Simulator adapter: the codec of its wire format, and the process that it starts."""
