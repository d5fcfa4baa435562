"""Tenants: the operator's rules that assign requests to tenants, and the export of their usage.

`tenants.py` determines a request's tenant, by the rules of `tenant_rules.py`, which `rule_index.py` compiles. The
fronts supply the attributes of a request; the decision module limits each tenant to its quota. `export.py` receives
exported ledger periods.
"""
