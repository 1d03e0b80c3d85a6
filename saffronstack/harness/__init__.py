"""Fault injection: real gateway processes, stub servers, traffic, faults, and the verdict on the rules."""
