"""Stand-ins and load for trying the coordinator out: engines, bus and clients that speak raw protocols.

Owns nothing that serves: `demo`, `bench` and the tests start it, the coordinator never imports it.
"""
