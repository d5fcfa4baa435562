"""A folder for PYTHONPATH: its sitecustomize brings faults of the machine into the process that loads it."""
