"""Deferred calls: accepted durably, executed later with retries, and each ended by one final record."""
