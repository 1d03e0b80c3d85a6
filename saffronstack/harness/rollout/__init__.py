"""Test harnesses for rolling updates under faults: a simulation, and a harness of real processes."""
