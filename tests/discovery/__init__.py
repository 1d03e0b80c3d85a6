"""Tests of service discovery."""
