"""Foundations that every package may use: threads with small stacks, and loggers."""
