"""The processes of this product, as announced in the store.

Every process has one record, keyed by its incarnation. A process has ended when it records its end,
or when another process announces itself at the same address.
"""

import ipaddress
import re

from attrs import define, evolve, field

from ..const import MAX_PORT, Role
from ..protocol.models import AnnounceRecord, EndRecord, ProcessRecord
from .const import ENDED_ADDRESS_RETENTION_S, ENDED_PROCESS_RETENTION_S, NO_OFFSET

MAX_HOST_CHARS = 253
HOST_NAME_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*")


def has_valid_address(process: AnnounceRecord | ProcessRecord) -> bool:
    """Return whether a process could be connected to at the address that is recorded for it."""
    if not 1 <= process.port <= MAX_PORT or len(process.host) > MAX_HOST_CHARS:
        return False
    return bool(HOST_NAME_PATTERN.fullmatch(process.host)) or _is_ipv6(process.host)


def _is_ipv6(host: str) -> bool:
    try:
        ipaddress.IPv6Address(host)
    except ValueError:
        return False
    return True


@define
class Processes:
    """All announced processes, up to an offset of their topic."""

    offset: int = NO_OFFSET
    records: dict[str, ProcessRecord] = field(factory=dict)

    def announce(self, record: AnnounceRecord, offset: int, at_s: float) -> None:
        """Add an announced process; any process announced earlier at its address has ended."""
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
        at_address = [other for other in self.records.values() if _same_address(other, announced)]
        at_address.sort(key=lambda other: other.announce_offset)
        for previous, successor in zip(at_address, at_address[1:], strict=False):
            self._mark_ended(previous, successor.announce_offset, at_s)

    def end(self, record: EndRecord, offset: int, at_s: float) -> None:
        """Mark a process as ended.

        The record repeats the announcement, which it replaces in the store under the same key.
        """
        self.announce(record.process, record.announce_offset, at_s)
        self.offset = max(self.offset, offset)
        self._mark_ended(self.records[record.process.incarnation], offset, at_s)

    def remove(self, incarnation: str, offset: int) -> None:
        """Remove a process whose record was deleted from the store."""
        self.offset = max(self.offset, offset)
        self.records.pop(incarnation, None)

    def adopt(self, records: list[ProcessRecord], offset: int) -> bool:
        """Replace all records by those of a peer if its offset is later; return whether it was.

        Records with an invalid address are left out.
        """
        if offset <= self.offset:
            return False
        self.offset = offset
        self.records = {item.incarnation: item for item in records if has_valid_address(item)}
        return True

    def live(self, role: Role) -> list[ProcessRecord]:
        """Return the processes of a role that are not known to have ended."""
        return [
            record
            for record in self.records.values()
            if record.role == role and record.ended_offset == NO_OFFSET
        ]

    def addresses(self, role: Role, at_s: float) -> set[tuple[str, int]]:
        """Return the addresses at which processes of a role run or have recently run.

        Recently ended processes are included, because a process that was restarted at its address
        may be reachable before it can announce itself.
        """
        return {
            (record.host, record.port)
            for record in self.records.values()
            if record.role == role
            and (
                record.ended_offset == NO_OFFSET
                or at_s - record.ended_at_s < ENDED_ADDRESS_RETENTION_S
            )
        }

    def has_ended(self, incarnation: str) -> bool:
        """Return whether a process is known to have ended."""
        record = self.records.get(incarnation)
        return record is not None and record.ended_offset != NO_OFFSET

    def possible_agents(self, issued_offset: int) -> list[ProcessRecord]:
        """Return every agent incarnation that may accept a submission issued at an offset.

        An agent accepts only submissions issued after its announcement, and an incarnation that
        had ended by the issued offset accepts none.
        """
        return [
            record
            for record in self.records.values()
            if record.role == Role.AGENT
            and record.announce_offset <= issued_offset
            and (record.ended_offset == NO_OFFSET or record.ended_offset > issued_offset)
        ]

    def purgeable(self, at_s: float) -> list[str]:
        """Return the incarnations that ended so long ago that no valid submission id names them."""
        return [
            record.incarnation
            for record in self.records.values()
            if record.ended_offset != NO_OFFSET
            and at_s - record.ended_at_s > ENDED_PROCESS_RETENTION_S
        ]

    def _mark_ended(self, record: ProcessRecord, offset: int, at_s: float) -> None:
        if record.ended_offset == NO_OFFSET or offset < record.ended_offset:
            ended = evolve(record, ended_offset=offset, ended_at_s=at_s)
            self.records[record.incarnation] = ended


def _same_address(first: ProcessRecord, other: ProcessRecord) -> bool:
    """Return whether two processes were announced at the same address in the same role."""
    return (first.role, first.host, first.port) == (other.role, other.host, other.port)
