"""Test harnesses for leases under faults: a simulation, a model checker and a harness of real processes."""
