"""HTTP/1.1 as the platform speaks it, by concern: towards clients (door, clients, places, calls, paths, statements)
and towards engines (line, peer, replies, readings, attempts). net/platform.py and net/engines.py put them together.
"""
