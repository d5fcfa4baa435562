"""Seeded soak tests of shutdown and restart: a coordinator under faults and signals, with checks of its responses.

`plan` draws a run from its seed, `engines` and `clients` are the stand-ins, `processes` starts and ends the
coordinator, `checker` checks the records against the rules, and `run` combines them. The coordinator never imports this
package.
"""
