"""Tests of file discovery."""
