"""Client for a running coordinator: sends one query as a client, or one call as an operator.

Used by the command line, the demo and the benches; serving processes don't load it. It also defines the error with
which a command exits if it gets no figures. Responses are only parsed, and each wait has a timeout.
"""

from __future__ import annotations

import http.client
import json
import socket
from typing import Any

import click

from frostspindle import config as configuration
from frostspindle.config import ConfigError

# Exit codes of a command.
EXIT_BAD_CALL = 2  # an invalid call or address
EXIT_UNREACHABLE = 5
REJECTED_STATUSES = (429, 503)  # of rejected requests, which may be sent again
OPERATOR_TIMEOUT_S = 5.0


class FiguresUnavailableError(click.ClickException):
    """Ends a command that got no figures, with a one-line reason and an exit code."""

    def __init__(self, message: str, code: int) -> None:
        super().__init__(message)
        self.exit_code = code

    def show(self, file: Any = None) -> None:
        """Print the one-line message to standard error; click calls this, and `file` is ignored."""
        click.echo(f"frostspindle: {self.message}", err=True)


def send_query(
    at: str, cls: str, sql: str, ticket: str, timeout_ms: float, cost_ms: float, memory: float
) -> tuple[str, list[list[str]], float]:
    """Send one request as a client; return its outcome, its rows, and the advised wait before a retry in ms.

    Raise ConfigError for a bad address, and OSError or HTTPException if the connection fails or is silent for longer
    than `timeout_ms` plus a second.
    """
    address, port = configuration.address(at, "--at")
    connection = http.client.HTTPConnection(address, port, timeout=timeout_ms / 1000.0 + 1.0)
    headers = {
        "X-Request-Id": ticket,
        "X-Timeout-Ms": f"{timeout_ms:.1f}",
        "X-Cost-Ms": f"{cost_ms:.1f}",
        "X-Memory": f"{memory:.1f}",
    }
    try:
        connection.request("POST", f"/call/{cls}", sql.encode(), headers)
        return _read_pages(connection)
    finally:
        connection.close()


def _read_pages(connection: http.client.HTTPConnection) -> tuple[str, list[list[str]], float]:
    """Read the response to the request that was sent, and fetch its remaining pages."""
    rows: list[list[str]] = []
    while True:
        response = connection.getresponse()
        body = response.read()
        page = json.loads(body) if body else {}
        if response.status in REJECTED_STATUSES:
            return "refused", rows, float(response.headers.get("Retry-After-Ms", 0.0))
        if response.status != 200 or page.get("failure"):
            return "failed", rows, 0.0
        rows += page.get("rows") or []
        if not page.get("next"):
            return "served", rows, 0.0
        connection.request("GET", page["next"])


def call_operator(place: Any, text: str) -> str:
    """Send one call to the operators' address and return the response. Raise OSError, also after 5 s of silence.

    `place` is the path of a Unix socket, or IP address and port.
    """
    with socket.socket(_family(place), socket.SOCK_STREAM) as connection:
        connection.settimeout(OPERATOR_TIMEOUT_S)
        connection.connect(place)
        connection.sendall(text.encode() + b"\n")
        chunks = []
        while chunk := connection.recv(65536):
            chunks.append(chunk)
    return b"".join(chunks).decode()


def _family(place: Any) -> socket.AddressFamily:
    if isinstance(place, str):
        return socket.AF_UNIX
    return socket.AF_INET6 if ":" in place[0] else socket.AF_INET


def fetch_figures(at: str, text: str, refusal_text: str = "") -> Any:
    """Return the decoded response of one call to the operators' address `at`.

    Raise FiguresUnavailableError for a bad address, a refused call or no connection. `refusal_text` explains a refusal
    in its message.
    """
    try:
        place = at if at.startswith("/") else configuration.address(at, "--at")
        response = call_operator(place, text)
    except ConfigError as error:
        raise FiguresUnavailableError(str(error), EXIT_BAD_CALL) from None
    except OSError as error:
        raise FiguresUnavailableError(f"{at}: {error}", EXIT_UNREACHABLE) from None
    if response.startswith("NAK"):
        message_parts = (at, refusal_text, response.removeprefix("NAK").strip())
        raise FiguresUnavailableError(": ".join(part for part in message_parts if part), EXIT_BAD_CALL)
    return json.loads(response.splitlines()[0])
