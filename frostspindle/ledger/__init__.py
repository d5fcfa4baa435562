"""Whose requests they are: tenants, their rules and shares. The ledger of what they use comes here too.

`tenants.py` decides which tenant a request is of; the fronts say what they know of it, the decision module holds each
tenant to its share.
"""
