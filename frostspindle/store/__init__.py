"""Small state that outlives its process: a table of bytes, changed by whole batches, behind one interface.

Owns what a store is (`base`), the three there are (`memory`, `disk`, `marker`), how a durable one is opened (`opening`)
and what is made of what was found there (`judge`). It must never hand out state that is not whole, of another owner or
older than is known here, and nothing of it is loaded by who does not use it.
"""
