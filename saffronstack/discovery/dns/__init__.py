"""Discovery over DNS. A resolver polls a server for SRV records and updates the endpoint list."""
