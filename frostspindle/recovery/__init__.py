"""Recovery of a coordinator after a power loss: which state it trusts, which peers it asks, and how it limits service.

These modules do no I/O and read no clock: `state_kinds`, `stages`, `agreement`, `tickets`, `admission`, and `node` with
its components (`published_state`, `engine_restarts`, `report`, `state_transfer`, `own_store`, `stored_state`,
`peer_stores`, `load_claims`, `idle_mark`, `write_buffer`, `figures`). `wire` defines the messages, `inputs` and
`outputs` the values that the node takes and the messages and effects that it produces. `service` runs the timer and
connects the node to the program, with `gate`, `effect_handler`, `excluded_engines`, `store_worker` and
`store_opening`. The package is imported only if `[recovery]` is configured.
"""
