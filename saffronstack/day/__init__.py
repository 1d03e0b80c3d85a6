"""Scripted days: real gateway processes, stand-in workers, traffic, trouble, and the verdict."""
