"""A folder for PYTHONPATH, whose sitecustomize injects faults of the machine into a process."""
