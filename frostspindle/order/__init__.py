"""Ordering by key across the processes of a coordinator: workers, both sides of an upgrade, a restart after a crash.

`key_queue` decides which request is at the head of its key's queue, without I/O or clock. `shared_cells` is the mapped
memory in which the processes read each other's positions. `service` connects both to the core. Within one process the
decision module keeps the order.
"""
