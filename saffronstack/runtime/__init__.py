"""Foundations that every package may use: threads with small stacks, and where log lines go."""
