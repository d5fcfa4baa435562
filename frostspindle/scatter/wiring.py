"""Attaches scatter/gather to a program; imported only if the operator's file has a `[scatter]`.

Defines the headers of client requests on spread tables, and registers the service with the fleet, the core, the front
and the operators' port.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from frostspindle.core import ClientRequest
from frostspindle.net.fields import CallRejectedError
from frostspindle.scatter.service import ScatterService

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext


def attach(program: ProgramContext) -> Any:
    """Create the scatter service of a program and register it."""
    catalogue = program.config.scatter
    assert catalogue is not None and program.fleet is not None
    scatter = ScatterService(catalogue, program.core, program.telemetry, program.fleet, len(program.config.classes))
    program.fleet.channels.append(scatter)
    program.core.interceptor = scatter

    def read_headers(request: ClientRequest, fields: Mapping[bytes, bytes]) -> None:
        """Read `X-Partial: yes`, which allows a response without some sites, and `X-Site`, the site of a load."""
        if request.group not in catalogue.groups:
            return
        if (partial := fields.get(b"x-partial")) is not None:
            if partial not in (b"yes", b"no"):
                raise CallRejectedError(400, "X-Partial: neither yes nor no")
            request.partial = partial == b"yes"
        if (site := fields.get(b"x-site")) is not None:
            request.site = site.decode("latin-1")
            if request.site not in catalogue.sites_of(request.group):
                raise CallRejectedError(400, "X-Site: not a site of these tables")

    program.platform.annotate_request = read_headers
    if program.operator_server:
        program.operator_server.handlers["show-scatter"] = scatter.figures
    return scatter
