"""The processes of this system, as they have announced themselves in the store.

Every process has a record of its own, by its incarnation. A process ends when it says so, or when
another one announces itself at the same address.
"""

from attrs import define, evolve, field

from ..const import Role
from ..protocol.models import AnnounceRecord, EndRecord, ProcessRecord
from .const import ADDRESS_KEPT_S, ENDED_PROCESS_KEPT_S, NO_OFFSET


@define
class Processes:
    """All announced processes as of an offset of their topic."""

    offset: int = NO_OFFSET
    records: dict[str, ProcessRecord] = field(factory=dict)

    def announce(self, record: AnnounceRecord, offset: int, at_s: float) -> None:
        """Take in an announcement; whatever was announced at its address before has ended."""
        self.offset = max(self.offset, offset)
        if record.incarnation in self.records:
            return
        announced = ProcessRecord(
            role=record.role,
            incarnation=record.incarnation,
            domain=record.domain,
            host=record.host,
            port=record.port,
            announce_offset=offset,
            announced_at_s=at_s,
            ended_offset=NO_OFFSET,
            ended_at_s=0.0,
        )
        self.records[record.incarnation] = announced
        there = [other for other in self.records.values() if _same_place(other, announced)]
        there.sort(key=lambda other: other.announce_offset)
        for before, after in zip(there, there[1:], strict=False):
            self._end(before, after.announce_offset, at_s)

    def end(self, record: EndRecord, offset: int, at_s: float) -> None:
        """Take in that a process has ended; its announcement may have been replaced by this."""
        self.announce(record.process, record.announce_offset, at_s)
        self.offset = max(self.offset, offset)
        self._end(self.records[record.process.incarnation], offset, at_s)

    def forget(self, incarnation: str, offset: int) -> None:
        """Forget a process whose record was dropped."""
        self.offset = max(self.offset, offset)
        self.records.pop(incarnation, None)

    def adopt(self, records: list[ProcessRecord], offset: int) -> bool:
        """Replace all records by those of a peer as of a later offset; return whether it was."""
        if offset <= self.offset:
            return False
        self.offset = offset
        self.records = {record.incarnation: record for record in records}
        return True

    def live(self, role: Role) -> list[ProcessRecord]:
        """Return the processes of a role that are not known to have ended."""
        return [
            record
            for record in self.records.values()
            if record.role == role and record.ended_offset == NO_OFFSET
        ]

    def addresses(self, role: Role, at_s: float) -> set[tuple[str, int]]:
        """Return where processes of a role are or have lately been.

        A process that is started again at its address may be there before it can announce itself.
        """
        return {
            (record.host, record.port)
            for record in self.records.values()
            if record.role == role
            and (record.ended_offset == NO_OFFSET or at_s - record.ended_at_s < ADDRESS_KEPT_S)
        }

    def has_ended(self, incarnation: str) -> bool:
        """Return whether a process is known to have ended."""
        record = self.records.get(incarnation)
        return record is not None and record.ended_offset != NO_OFFSET

    def may_have_started(self, issued_offset: int) -> list[ProcessRecord]:
        """Return every agent incarnation that may accept a submission issued at an offset.

        An agent accepts only submissions issued after its announcement, and an incarnation that
        had ended by then can accept nothing.
        """
        return [
            record
            for record in self.records.values()
            if record.role == Role.AGENT
            and record.announce_offset <= issued_offset
            and (record.ended_offset == NO_OFFSET or record.ended_offset > issued_offset)
        ]

    def expired(self, at_s: float) -> list[str]:
        """Return the incarnations that ended so long ago that no submission can name them."""
        return [
            record.incarnation
            for record in self.records.values()
            if record.ended_offset != NO_OFFSET and at_s - record.ended_at_s > ENDED_PROCESS_KEPT_S
        ]

    def _end(self, record: ProcessRecord, offset: int, at_s: float) -> None:
        if record.ended_offset == NO_OFFSET or offset < record.ended_offset:
            ended = evolve(record, ended_offset=offset, ended_at_s=at_s)
            self.records[record.incarnation] = ended


def _same_place(one: ProcessRecord, other: ProcessRecord) -> bool:
    """Return whether two processes were announced at the same address in the same role."""
    return (one.role, one.host, one.port) == (other.role, other.host, other.port)
