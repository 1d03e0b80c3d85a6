"""Multiplexed connections that carry JSON lines to the platform's workers, and their dispatcher."""
