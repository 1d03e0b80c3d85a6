"""Stub workers with memory, cores, a shared artifact store and fault injection, for tests and scenarios."""
