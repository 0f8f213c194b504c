"""Acknowledgement of the ended runs that a runner lists."""

from attrs import define


@define
class EndAcks:
    """Up to which of the ended runs the runner may forget.

    Fields:
        pending: Whether the newest list had ends, so that another request has to acknowledge them.
    """

    pending: bool = False
    _cursor: int = 0

    def record_end(self, number: int) -> None:
        """Record that the end with a number was listed."""
        self._cursor = max(self._cursor, number)

    def next_ack(self) -> int:
        """Return the number up to which ends are acknowledged, 0 if none is left to acknowledge.

        A restarted runner that the agent doesn't know of yet counts its ends anew, and would take
        them for acknowledged.
        """
        return self._cursor if self.pending else 0
