"""Errors of the wire protocol."""

from ..errors import PistachiohillError


class DecodeError(PistachiohillError):
    """Raised when a frame or record does not match the schema."""


class HandshakeError(PistachiohillError):
    """Raised when a handshake fails, such as for a wrong secret, version or incarnation."""
