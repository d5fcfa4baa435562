"""frostspindle: the coordinator that runs the decision module on real sockets."""

__version__ = "0.3.0"
