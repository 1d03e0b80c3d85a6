"""The client side towards workers: connections, attempts, orders; see docs/worker-protocol.md."""
