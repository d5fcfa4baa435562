"""Settings as agreed versions: no two coordinators act on contradicting rules for longer than a stated time.

Loaded only for a `[settings]` in the operator's file. Without I/O and clock: the entries and their checks (`schema`,
`document`, `validation`, `applicability`), versions (`versions`, `version_encoding`, `intersection`), the replicated
state machine (`log_commands`, `state_machine`), the decisions (`member_decisions`, `publisher_decisions`, `canary`) and
the `audit`. `version_store` is the durable store, `service` and `pushes` have the timers and tasks, `applied_rules` and
`wiring` tie all to the core and the operators' port.
"""
