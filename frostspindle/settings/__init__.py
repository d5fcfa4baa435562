"""Settings and lists in agreed versions: no two coordinators act on contradicting rules for longer than a stated time.

Loaded only for a `[settings]` in the operator's file. `schema`, `versions`, `meet`, `agreement`, `deciding`,
`harm` and `audit` have no I/O and no clock; `keep` stands on the store, `service` has the timers, `wiring` the ties.
"""
