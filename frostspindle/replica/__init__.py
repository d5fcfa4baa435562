"""The replicated log: the same entries in the same order at all coordinators of a fleet, on disk at a few voters.

Consensus comes from an existing Raft library (pysyncobj) with guards around it: docs/design/replica.md. The package
does not know what an entry means, and is loaded only if the configuration has [replica].
"""
