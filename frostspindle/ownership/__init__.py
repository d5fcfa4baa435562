"""One owner at a time for work on behalf of the fleet: leases on a replicated log, fenced by tokens that only grow.

`table.py` is the table of leases as a machine on the log, `holder.py` decides who asks for what and when, `fence.py`
is each receiver's; none of them has I/O or a clock. `jobs.py` runs work under a lease, `service.py` is timers and log.
"""
