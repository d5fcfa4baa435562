"""Recovery of a coordinator after a loss of power: what it trusts, whom it asks, and what it serves until then.

Without I/O and clock: `state_kinds`, `stages`, `agreement`, `tickets`, `admission` and, of the node, `node`,
`state_transfer`, `report`, `peer_stores`, `engine_restarts`, `load_claims`, `idle_mark` and `write_buffer`. `wire` has
the messages, `outputs` and `inputs` the node's effects and settings, `service` the timers and the ties to the program,
`store_opening` the opening of the store, `gate` the core's gate. Loaded only where `[recovery]` is set up.
"""
