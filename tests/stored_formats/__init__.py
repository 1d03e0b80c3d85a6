"""Tests that the present code reads and writes the files and messages of commit 0684301 unchanged."""
