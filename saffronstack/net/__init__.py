"""Blocking sockets with an end to every wait, and writes that never wait; no protocol."""
