"""Stand-in engines, event bus and clients that use the raw protocols, and emulators, for tests and load tests.

Only `demo`, `bench` and the tests use this package; the coordinator never imports it.
"""
