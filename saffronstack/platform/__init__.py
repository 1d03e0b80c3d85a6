"""The program as the users' platform runs it: configuration, client front, signals, assembly."""
