"""The optional parts of a running coordinator, behind one interface; `registry` lists them."""
