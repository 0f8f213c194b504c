"""Errors of the platform adapter."""

from ..errors import PistachiohillError


class WireError(PistachiohillError):
    """Raised when data from the platform is malformed; the message names the invalid field."""
