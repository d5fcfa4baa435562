"""pinstage: admission control for queries on a pool of shared engines."""

from pinstage.control import Controller
from pinstage.interface import Settings

__all__ = ["Controller", "Settings"]
