"""Parses and encodes the frames of clients, which are RESP arrays of bulk strings; no I/O."""
