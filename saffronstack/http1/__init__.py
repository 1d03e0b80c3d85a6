"""Parses and serializes HTTP/1.1 messages (RFC 9112) for clients and servers, without I/O of its own."""
