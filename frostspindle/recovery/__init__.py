"""Recovery of a coordinator after a loss of power: what it trusts, whom it asks, and what it serves until then.

Without I/O and clock: `state_kinds`, `stages`, `agreement`, `tickets`, `admission`, and `node` with its parts
(`published_state`, `engine_restarts`, `report`, `state_transfer`, `own_store`, `stored_state`, `peer_stores`,
`load_claims`, `idle_mark`, `write_buffer`, `figures`). `wire` has the messages, `inputs` and `outputs` what the node is
given and wants done. `service` has the timer and the ties to the program, with `gate`, `effect_handler`,
`excluded_engines`, `store_worker` and `store_opening`. Loaded only where `[recovery]` is set up.
"""
