"""Discovery over DNS: a resolver polls a server for SRV records and keeps the endpoint list current."""
