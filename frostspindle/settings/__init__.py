"""Versioned settings that the coordinators agree on through the replicated log.

The protocol bounds the time during which two coordinators can act on contradicting rules. The package is imported only
if the operator's file has a `[settings]` section.

Modules without I/O or a clock: the entries and their checks (`schema`, `document`, `validation`, `applicability`),
versions (`versions`, `version_encoding`, `intersection`), the replicated state machine (`log_commands`,
`state_machine`), the decisions (`member_decisions`, `publisher_decisions`, `canary`) and the `audit`. `version_store`
is the durable store, `service` and `pushes` run the timers and tasks, and `applied_rules` and `wiring` connect the
package to the core and the operators' port.
"""
