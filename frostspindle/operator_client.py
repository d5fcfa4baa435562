"""How a running coordinator is called: one request as a client makes it, one call as operators do.

Owns these two calls for the command line, the demo and the benches, and how a command ends that got no figures. It
must never decide what an answer means beyond its form, never wait without a bound, and is not part of what serves.
"""

from __future__ import annotations

import http.client
import json
import socket
from typing import Any

import click

from frostspindle import config as configuration
from frostspindle.config import ConfigError

BAD, AWAY = 2, 5  # exit codes: a call or an address that is no good; nobody there


class FiguresUnavailableError(click.ClickException):
    """A command's end without figures: one line that says why, and its exit code."""

    def __init__(self, message: str, code: int) -> None:
        super().__init__(message)
        self.exit_code = code

    def show(self, file: Any = None) -> None:
        """Print the one-line message to standard error; click calls this, and `file` is ignored."""
        click.echo(f"frostspindle: {self.message}", err=True)


def ask(
    at: str, cls: str, sql: str, ticket: str, timeout_ms: float, cost_ms: float, memory: float
) -> tuple[str, list[list[str]], float]:
    """Send one request as a client does; return how it ended, its rows, and the advised wait in ms.

    Raises ConfigError for a bad address, and OSError or an HTTPException if the connection fails or is silent for
    longer than `timeout_ms` and a second.
    """
    address, port = configuration.address(at, "--at")
    line = http.client.HTTPConnection(address, port, timeout=timeout_ms / 1000.0 + 1.0)
    try:
        line.request(
            "POST",
            f"/call/{cls}",
            sql.encode(),
            {
                "X-Request-Id": ticket,
                "X-Timeout-Ms": f"{timeout_ms:.1f}",
                "X-Cost-Ms": f"{cost_ms:.1f}",
                "X-Memory": f"{memory:.1f}",
            },
        )
        rows: list[list[str]] = []
        while True:
            answer = line.getresponse()
            body = answer.read()
            page = json.loads(body) if body else {}
            if answer.status in (429, 503):
                return "refused", rows, float(answer.headers.get("Retry-After-Ms", 0.0))
            if answer.status != 200 or page.get("failure"):
                return "failed", rows, 0.0
            rows += page.get("rows") or []
            if not page.get("next"):
                return "served", rows, 0.0
            line.request("GET", page["next"])
    finally:
        line.close()


def operate(place: Any, text: str) -> str:
    """Send one call to the operators' address and return the response; OSError, after 5 s of silence too."""
    family = socket.AF_UNIX if isinstance(place, str) else socket.AF_INET6 if ":" in place[0] else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as line:
        line.settimeout(5.0)
        line.connect(place)
        line.sendall(text.encode() + b"\n")
        parts = []
        while part := line.recv(65536):
            parts.append(part)
    return b"".join(parts).decode()


def figures(at: str, text: str, what: str = "") -> Any:
    """Return the decoded response of one call to the operators' address `at`.

    Raises NoFigures for a bad address, a refused call or no connection; `what` tells in the message what a refusal
    means.
    """
    try:
        answer = operate(at if at.startswith("/") else configuration.address(at, "--at"), text)
    except ConfigError as error:
        raise FiguresUnavailableError(str(error), BAD) from None
    except OSError as error:
        raise FiguresUnavailableError(f"{at}: {error}", AWAY) from None
    if answer.startswith("NAK"):
        raise FiguresUnavailableError(
            ": ".join(part for part in (at, what, answer.removeprefix("NAK").strip()) if part), BAD
        )
    return json.loads(answer.splitlines()[0])
