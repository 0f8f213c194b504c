"""Errors of the adapter."""

from ..errors import PistachiohillError


class WireError(PistachiohillError):
    """Raised when a body of the platform can't be read; the message names the field."""
