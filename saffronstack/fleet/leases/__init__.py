"""Leases with fencing tokens: at most one process of a fleet holds a lease at a time (`docs/leases.md`).

The protocol logic performs no I/O. `acceptor`, `recovery` and `lease_table` run in a lease server.
`candidate` runs in a process that requests a lease. `messages` and `limits` are common to both.

The other modules perform I/O. `disk`, `acceptor_service`, `http_endpoint` and `lease_server` are the lease
server. `server_link` and `client` connect a process to the lease servers. `quorum_read` reads leases without
holding one. `store` is the interface that tasks use.
"""
