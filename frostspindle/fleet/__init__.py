"""State shared by the coordinators of a fleet: membership, budgets, counters and verdicts on engines.

Requests are not handled here. The modules that make decisions or hold state do no I/O and read no clock: events and the
time are passed in, messages are returned. `wire` defines the messages, `node` combines the components, and `service`
owns the socket and the timer. Disabled unless the operator's file has a `[fleet]` section.
"""
