"""The way in: without arguments the program serves as the environment says; else they are the command line's.

Owns nothing but that choice. It must never import the command line for those who only serve.
"""

from __future__ import annotations

import sys

from frostspindle import signals


def main() -> int:
    """Serve and return the exit code; with arguments run the command line, which ends the process itself."""
    if len(sys.argv) > 1:
        from frostspindle.cli import cli  # click is loaded only for those who type

        cli.main(prog_name="frostspindle")  # ends the process itself, with the code of the command
    signals.block()  # before all else is loaded: a fleet is told of a new configuration while some of it starts
    from frostspindle.serving import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
