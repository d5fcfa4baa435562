"""Faults between processes: what happens when (`script`), a relay that does it to datagrams (`relay`), and a runner
that starts processes, ends, stops and continues them (`runner`).

Owns nothing that serves: tests, benches and the emulator use it, the coordinator never imports it.
"""
