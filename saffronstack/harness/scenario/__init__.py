"""One scripted day of gateway processes under faults: plan, director, clients, verdict."""
