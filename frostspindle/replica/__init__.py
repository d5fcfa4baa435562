"""The replicated log: the same entries in the same order at all coordinators of a fleet, on disk at a few voters.

Owns agreement on an order, by an existing Raft library (pysyncobj), and what guards around it: docs/design/replica.md.
It must never know what an entry means, and is loaded only where an operator's file has [replica].
"""
