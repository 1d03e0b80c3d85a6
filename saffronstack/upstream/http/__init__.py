"""HTTP/1.1 connection pools to workers, and the dispatcher over them; see docs/worker-protocol.md."""
