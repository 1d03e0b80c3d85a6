"""Deferred calls: a durable ledger, the decisions on what is open, and one final record for each call."""
