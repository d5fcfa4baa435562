"""Small persistent state: a table of byte keys and values, changed by atomic batches, behind one interface.

`base` defines the interface, `memory` the volatile store. `opening` opens a `durable_store` on one of the engines
`sqlite_engine` and `marker_engine`, by the rules of `opening_decision`; `lock`, `witness` and `records` handle its
files. Imported only by programs that use it.
"""
