"""Errors of the fleet's package, under one base class."""

from __future__ import annotations


class FleetError(Exception):
    """Base class of the errors that the fleet's package raises."""


class InvalidPacketError(FleetError, ValueError):
    """Bytes that are not a valid message: malformed, too long, or with a value out of range."""


class ChainExhaustedError(FleetError, ValueError):
    """An incarnation beyond the end of the hash chain, for which no proof can be made."""


class QuotaUnavailableError(FleetError, ValueError):
    """More units to lend than are ready, or a negative number."""


class InvalidCountError(FleetError, ValueError):
    """A negative increment, or a stream out of range."""
