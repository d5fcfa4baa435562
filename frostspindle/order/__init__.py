"""Order by key among the processes of one coordinator: an upgrade's two sides, several workers, a crash's successor.

`turns.py` decides whose turn it is, without I/O or clock; `sheets.py` is the memory in which the processes read of each
other; `service.py` ties both to the core. Within one process the decision module keeps the order by itself.
"""
