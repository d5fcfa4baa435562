"""Entry point: serves as the environment configures it or, with arguments, runs the command line.

The command line is not imported by a process that only serves.
"""

from __future__ import annotations

import sys

from frostspindle import signals


def main() -> int:
    """Serve and return the exit code; with arguments run the command line, which exits the process itself."""
    if len(sys.argv) > 1:
        from frostspindle.cli import cli  # loads click, which serving does not need

        cli.main(prog_name="frostspindle")  # exits the process with the code of the command
    signals.block()  # before other imports: a SIGHUP to all processes may reach one that is still starting
    from frostspindle.serving import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
