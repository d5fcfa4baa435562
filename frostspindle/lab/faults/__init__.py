"""Fault injection for tests, benchmarks and the emulator.

`script` parses fault scripts, `relay` and `streams` apply them to datagrams and TCP connections, and `runner` starts,
kills, stops and continues coordinator processes. The coordinator itself never imports this package.
"""
