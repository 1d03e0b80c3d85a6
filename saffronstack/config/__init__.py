"""The operators' configuration: JSON5 files, checked by a schema and for sense before anything starts."""

from saffronstack.config.load import ConfigError, load, parse
from saffronstack.config.schema import Config

__all__ = ["Config", "ConfigError", "load", "parse"]
