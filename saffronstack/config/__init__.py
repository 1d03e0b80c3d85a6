"""Operators' configuration: JSON5 files that are validated completely before anything starts."""

from saffronstack.config.load import ConfigError, load, parse
from saffronstack.config.schema import Config

__all__ = ["Config", "ConfigError", "load", "parse"]
