"""Subscriptions: operators' programs are told events as they happen, wherever in the fleet they arise.

`schema`, `interest`, `stream`, `cursor`, `fanout`, `subscribers` and `hub` have no I/O and no clock; `wire` is the
messages' form, `service` the timers, `wiring` what ties it to the program. Nothing is loaded unless `[subscriptions]`
stands in the operator's file.
"""
