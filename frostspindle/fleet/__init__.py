"""State that the coordinators of a fleet share: membership, budgets, counters and verdicts on engines.

Nothing here owns requests. All that decides or keeps state has no I/O and no clock: events and the time come in,
messages come out. `wire` defines the messages, `node` ties the parts together, `service` owns the socket and the timer.
Off unless the operator's file has a section `[fleet]`.
"""
