"""Utilities that every package may use: threads with small stacks, loggers and process exit."""
