"""Stand-in workers with memory, lanes, cores, a shared store and injectable faults, for tests and days."""
