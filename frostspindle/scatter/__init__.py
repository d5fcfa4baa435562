"""Scatter/gather: one statement is sent to the sites that may have rows of its result, and their rows are merged.

`catalogue` defines which tables are spread over which sites, `plan` and `merge` what a statement becomes, `leases` and
`wire` who may skip a site and what a load does before and after it runs, `gather` collects the parts of one request,
and `service` and `wiring` connect all of it to the program. Parts are submitted to the core like any client's request.
Nothing here is imported unless the operator's file has a `[scatter]`.
"""
