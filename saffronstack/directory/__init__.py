"""The directory of hosts: DNS messages without I/O, membership, and the asker over UDP."""
