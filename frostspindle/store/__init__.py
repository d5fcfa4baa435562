"""Small persistent state: a table of byte keys and values, changed by atomic batches, behind one interface.

`base` has the interface, `memory` the store without durability, `opening` makes a `durable_store` with one of the
engines `sqlite_engine` and `marker_engine`, by the rules of `opening_decision`; `lock`, `witness` and `records` have
its files. Loaded only by programs that use it.
"""
