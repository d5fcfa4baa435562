"""Leases: which coordinator of a fleet does a task that only one may do at a time.

Grants are rows of a table on the replicated log, with fencing tokens for receivers, and the jobs that are done under
leases are here too: docs/design/ownership.md.
"""
