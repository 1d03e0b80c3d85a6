"""Restarts a gateway process, by a seeded schedule, under clients that keep their connections open."""
