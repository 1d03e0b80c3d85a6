"""Seeded restarts of a real gateway process under clients that keep their connections."""
