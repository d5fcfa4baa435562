"""Whose requests they are: tenants, the operator's rules for them, and the export of what they use.

`tenants.py` determines a request's tenant, by the rules of `tenant_rules.py` compiled in `rule_index.py`. The fronts
supply what they know of a request; the decision module limits each tenant to its quota. `export.py` receives exported
ledger periods.
"""
