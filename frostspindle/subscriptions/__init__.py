"""Subscriptions: operators' programs receive events as they happen anywhere in the fleet.

`schema`, `interest`, `stream`, `cursor`, `fanout`, `subscribers` and `hub` do no I/O and read no clock; `wire` defines
the messages, `service` runs the timers, and `wiring` connects all of it to the program. Nothing here is imported unless
the operator's file has `[subscriptions]`.
"""
