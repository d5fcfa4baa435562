"""Exceptions of the fleet package, with a common base class."""

from __future__ import annotations


class FleetError(Exception):
    """Base class of all exceptions that the fleet package raises."""


class InvalidPacketError(FleetError, ValueError):
    """Raised for data that is not a valid message: malformed, too long, or with a value out of range."""


class ChainExhaustedError(FleetError, ValueError):
    """Raised for an incarnation beyond the end of the hash chain, for which no proof exists."""


class QuotaUnavailableError(FleetError, ValueError):
    """Raised for a negative number of units to lend, or more units than are ready."""


class InvalidCountError(FleetError, ValueError):
    """Raised for a negative increment, or a stream number out of range."""
