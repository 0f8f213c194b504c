"""Errors of the wire protocol."""

from ..errors import PistachiohillError


class DecodeError(PistachiohillError):
    """Raised when a frame or record does not follow the schema."""


class HandshakeError(PistachiohillError):
    """Raised when a peer's Hello is refused: wrong secret, version or incarnation."""
