"""Scattered requests: one statement answered from the sites whose summaries say that they may hold rows of its answer.

Owns the catalogue of what is spread over which sites (`catalogue`), what a statement becomes (`plan`, `merge`), who may
leave a site out and what a load owes before and after it runs (`leases`, `wire`), one request's parts (`gather`), and
how all of it hangs in the program (`service`, `wiring`). It must never send a part by itself, each goes through the
core like any client's request, and nothing of it is loaded where no operator's file has a `[scatter]`.
"""
