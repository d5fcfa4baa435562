"""The replicated log: the same entries in the same order at all coordinators of a fleet, durable at a few voters.

Consensus is implemented by a Raft library (pysyncobj) with guards around it: see docs/design/replica.md. The package
does not interpret entries, and is loaded only if the configuration has [replica].
"""
