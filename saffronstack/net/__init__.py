"""Socket I/O without a protocol: blocking sockets with timeouts, a read loop and non-blocking writes."""
