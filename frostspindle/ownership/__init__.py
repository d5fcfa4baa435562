"""Leases for tasks that only one coordinator of a fleet may do at a time, and the jobs that run under them.

Grants are rows of a table on the replicated log, with fencing tokens for receivers. See docs/design/ownership.md.
"""
