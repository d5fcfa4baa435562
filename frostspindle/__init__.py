"""frostspindle: a coordinator between clients and query engines."""

__version__ = "0.3.0"
