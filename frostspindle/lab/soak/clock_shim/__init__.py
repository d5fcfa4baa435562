"""A folder for PYTHONPATH: its sitecustomize steps the wall clock of the process that loads it."""
