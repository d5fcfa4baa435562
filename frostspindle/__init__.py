"""frostspindle: the coordinator that runs pinstage's decisions on real sockets."""
