"""Bytes that earlier versions wrote, and the tests that the present code reads and writes them unchanged."""
