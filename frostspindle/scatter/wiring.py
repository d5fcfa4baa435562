"""Ties scatter to a program; imported only where the operator's file has a `[scatter]`.

Owns the headers by which a client's request says more than its statement, and what is called when. It must never hold
state.
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
    """Create the scatter part of a program and register it with fleet, core and front."""
    catalogue = program.config.scatter
    assert catalogue is not None and program.fleet is not None
    scatter = ScatterService(catalogue, program.core, program.telemetry, program.fleet, len(program.config.classes))
    program.fleet.channels.append(scatter)
    program.core.interceptor = scatter

    def marks(ask: ClientRequest, fields: Mapping[bytes, bytes]) -> None:
        """`X-Partial: yes`: an answer without some sites will do; `X-Site`: where a load's rows go."""
        if ask.group not in catalogue.groups:
            return
        if (partial := fields.get(b"x-partial")) is not None:
            if partial not in (b"yes", b"no"):
                raise CallRejectedError(400, "X-Partial: neither yes nor no")
            ask.partial = partial == b"yes"
        if (site := fields.get(b"x-site")) is not None:
            ask.site = site.decode("latin-1")
            if ask.site not in catalogue.sites_of(ask.group):
                raise CallRejectedError(400, "X-Site: not a site of these tables")

    program.platform.annotate_request = marks
    if program.operator_server:
        program.operator_server.handlers["show-scatter"] = scatter.figures
    return scatter
