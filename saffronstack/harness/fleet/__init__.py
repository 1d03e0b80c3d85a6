"""Many gateways of the platform among stub servers: cluster, faults, load, verdict."""
