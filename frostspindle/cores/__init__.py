"""Several processes that serve as one coordinator.

`supervisor.py` starts the workers and holds no request; `worker.py` is one of them, a whole coordinator of its own;
`link.py` ties it to the others by the board (`board.py`, in the form of `layout.py`) and by `mesh.py`. What is decided
here stands in modules without I/O or clocks: `leases.py`, `limits.py`, `restarts.py`, `ownership.py`, `fleet.py`.
"""
