"""Tests of saffronstack/engine/, one file for each module."""
