"""The directory of hosts: DNS messages without I/O, membership, and the resolver over UDP."""
