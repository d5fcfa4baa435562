"""Several worker processes that serve as one coordinator.

`supervisor.py` composes the supervisor's process, which starts the workers and serves no request itself; its parts are
`worker_processes.py`, `listening_sockets.py`, `resource_sharing.py`, `control_publisher.py`, `status.py` and
`operator_commands.py`. `worker.py` is one of the workers, a complete coordinator process. `link.py` connects it to the
others by shared memory (`shared_memory.py`, in the layout of `layout.py`) and by Unix sockets (`mesh.py`). Decisions
are made in modules without I/O or clock: `leases.py`, `limits.py`, `restarts.py`, `ownership.py`, `peer_workers.py` and
`totals.py`.
"""
