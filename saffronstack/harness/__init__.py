"""Test harnesses: gateway processes, stub servers, traffic, fault injection and a checker of the rules."""
