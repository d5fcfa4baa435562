"""Several worker processes that serve as one coordinator.

`supervisor.py` starts the workers and serves no request itself; `worker.py` is one of them, a complete coordinator
process. `link.py` connects a worker to the others by shared memory (`shared_memory.py`, in the layout of `layout.py`)
and by Unix sockets (`mesh.py`). Decisions are made in modules without I/O or clock: `leases.py`, `limits.py`,
`restarts.py`, `ownership.py`, `peer_workers.py` and `totals.py`.
"""
