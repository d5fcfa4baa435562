"""HTTP/1.1 of the platform, towards clients (listener, clients, connection_limits, calls, request_registry, statements)
and towards engines (engine_connection, connection_pool, replies, load_reports, duplicate_responses, attempts).

net/platform.py and net/engines.py combine them.
"""
