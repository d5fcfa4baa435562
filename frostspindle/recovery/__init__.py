"""What a coordinator trusts after a power loss, whom it asks for the rest, and what it serves until then.

`state.py`, `agree.py`, `stages.py`, `tickets.py`, `intake.py` and `node.py` have no I/O and no clock; `wire.py` is
the messages' form, `service.py` the store, the timers and the ties to the program. Loaded only where `[recovery]` is
set up.
"""
