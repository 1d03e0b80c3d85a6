"""HTTP/1.1 connection pools to workers, and the dispatcher that uses them; see docs/worker-protocol.md."""
