"""Leases with fencing tokens, for tasks that one process of a fleet may do at a time (`docs/leases.md`).

Decisions, free of I/O: `acceptor`, `recovery` and `lease_table` (a server), `candidate` (a process that wants
a lease), with `messages` and `limits`. Around them: `disk`, `acceptor_service`, `http_endpoint` and
`lease_server` (a server), `server_link` and `client` (a process), `quorum_read` (reads without a lease),
`store` (the interface that tasks use).
"""
