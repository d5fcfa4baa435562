"""frostspindle: the coordinator that runs pinstage's decisions on real sockets."""

__version__ = "0.3.0"
