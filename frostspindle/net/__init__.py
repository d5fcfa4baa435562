"""The wires: the platform's HTTP front and engines, the event bus, TDS and SNMP."""
