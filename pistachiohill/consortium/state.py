"""Reduce records of the platform's log to the consortium's state.

Offset order decides. A record at or below the applied offset changes nothing, so a process that
reads a record twice, or from two sources, ends in the same state.
"""

from functools import singledispatchmethod

from attrs import define, evolve, field, frozen

from ..protocol.models import (
    AnnounceRecord,
    ChangeRecord,
    DomainChangeRecord,
    DomainRecord,
    Message,
    ProcessRecord,
    PublishRecord,
    ScopeRecord,
    SnapshotRecord,
    WithdrawRecord,
)
from ..settings.errors import SettingsError
from ..settings.models import JobSettings
from ..settings.tree import Node, parse_node, resolve
from .const import ANY_VERSION, ENDED_PROCESS_KEPT_S, MAX_CHANGES_KEPT, NO_OFFSET

JOB_PATH_PARTS = 3  # consortium/MEMBER/JOB


@frozen
class LoggedRecord:
    """A decoded record with its offset and the log's time, in seconds since the epoch."""

    offset: int
    at_s: float
    record: Message


@define
class ConsortiumState:
    """Settings tree, failure domains, announced processes and fates of changes at one offset."""

    offset: int = NO_OFFSET
    nodes: dict[str, Node] = field(factory=dict)
    domains: dict[str, DomainRecord] = field(factory=dict)
    processes: dict[str, ProcessRecord] = field(factory=dict)
    changes: dict[str, ChangeRecord] = field(factory=dict)
    records_since_snapshot: int = 0
    snapshot_at_s: float = 0.0
    _resolved: dict[str, JobSettings] = field(factory=dict, repr=False, eq=False)

    def apply(self, logged: LoggedRecord) -> ChangeRecord | None:
        """Apply one record and return the fate of the change it carries, if any.

        Records at or below the applied offset are passed over, and so the offset never falls.
        """
        if logged.offset <= self.offset:
            return None
        self.offset = logged.offset
        self.records_since_snapshot += 1
        self._resolved.clear()
        return self._reduce(logged.record, logged)

    def skip(self, offset: int) -> None:
        """Move past a record that could not be decoded."""
        self.offset = max(self.offset, offset)

    def adopt(self, snapshot: SnapshotRecord, at_s: float) -> bool:
        """Replace the state by a newer snapshot; return whether it was newer."""
        if snapshot.offset <= self.offset:
            return False
        self.offset = snapshot.offset
        self.nodes = {item.path: _node(item) for item in snapshot.scopes}
        self.domains = {item.name: item for item in snapshot.domains}
        self.processes = {item.incarnation: item for item in snapshot.processes}
        self.changes = {item.change_id: item for item in snapshot.changes}
        self.snapshot_at_s = at_s
        self.records_since_snapshot = 0
        self._resolved.clear()
        return True

    def snapshot(self) -> SnapshotRecord:
        """Return the whole state as a record."""
        return SnapshotRecord(
            offset=self.offset,
            scopes=[ScopeRecord(n.path, n.text, n.version, n.deleted) for n in self.nodes.values()],
            domains=list(self.domains.values()),
            processes=list(self.processes.values()),
            changes=list(self.changes.values()),
        )

    def replace_nodes(self, nodes: list[ScopeRecord], offset: int) -> bool:
        """Replace the whole settings tree as of an offset; return whether that was newer."""
        if offset <= self.offset:
            return False
        self.nodes = {item.path: _node(item) for item in nodes}
        self.offset = offset
        self._resolved.clear()
        return True

    def set_domain(self, record: DomainRecord) -> bool:
        """Set the state of a failure domain as of its version; return whether that was newer."""
        if record.version <= self.offset:
            return False
        self.domains[record.name] = record
        self.offset = record.version
        return True

    def keep_domains(self, out: set[str], offset: int) -> None:
        """Bring back the failure domains that are out and not among `out` as of an offset."""
        if offset <= self.offset:
            return
        for name, record in list(self.domains.items()):
            if record.out and name not in out:
                self.domains[name] = DomainRecord(name, False, offset)

    def announce(self, record: AnnounceRecord, offset: int, at_s: float) -> None:
        """Take in the announcement of a process that stands at an offset of its own topic."""
        self._reduce(record, LoggedRecord(offset, at_s, record))

    def withdraw_address(self, address: str, offset: int, at_s: float) -> None:
        """Take note that the process announced at an address, as host:port, has ended."""
        for process in list(self.processes.values()):
            if f"{process.host}:{process.port}" == address:
                self._end(process.incarnation, offset, at_s)

    def job_settings(self) -> list[tuple[str, str, JobSettings]]:
        """Return member, job and effective settings of every job."""
        found = []
        for path, node in self.nodes.items():
            parts = path.split("/")
            if len(parts) == JOB_PATH_PARTS and not node.deleted:
                found.append((parts[1], parts[2], self.settings(path)))
        return found

    def settings(self, path: str) -> JobSettings:
        """Return the effective settings at a path of the tree."""
        found = self._resolved.get(path)
        if found is None:
            found = self._resolved[path] = resolve(self.nodes, path)
        return found

    def has_node(self, path: str) -> bool:
        """Return whether a node of the settings tree exists."""
        node = self.nodes.get(path)
        return node is not None and not node.deleted

    def domain_is_out(self, domain: str) -> bool:
        """Return whether operators have taken a failure domain out."""
        found = self.domains.get(domain)
        return found is not None and found.out

    def may_have_started(self, issued_offset: int) -> list[ProcessRecord]:
        """Return every agent incarnation that may accept a submission issued at an offset.

        An agent accepts only submissions issued after its announcement, and an incarnation that
        had ended by then can accept nothing.
        """
        return [
            process
            for process in self.processes.values()
            if process.role == "agent"
            and process.announce_offset <= issued_offset
            and (process.ended_offset == NO_OFFSET or process.ended_offset > issued_offset)
        ]

    @singledispatchmethod
    def _reduce(self, record: Message, logged: LoggedRecord) -> ChangeRecord | None:
        return None

    @_reduce.register
    def _(self, record: AnnounceRecord, logged: LoggedRecord) -> ChangeRecord | None:
        if record.incarnation in self.processes:
            return None
        for other in list(self.processes.values()):
            if (other.host, other.port, other.role) == (record.host, record.port, record.role):
                self._end(other.incarnation, logged.offset, logged.at_s)
        self._prune(logged.at_s)
        self.processes[record.incarnation] = ProcessRecord(
            role=record.role,
            incarnation=record.incarnation,
            domain=record.domain,
            host=record.host,
            port=record.port,
            announce_offset=logged.offset,
            announced_at_s=logged.at_s,
            ended_offset=NO_OFFSET,
            ended_at_s=0.0,
        )
        return None

    @_reduce.register
    def _(self, record: WithdrawRecord, logged: LoggedRecord) -> ChangeRecord | None:
        self._end(record.incarnation, logged.offset, logged.at_s)
        return None

    @_reduce.register
    def _(self, record: PublishRecord, logged: LoggedRecord) -> ChangeRecord | None:
        reason = self._why_not_published(record)
        if not reason:
            text = "" if record.deleted else record.values_toml
            node = parse_node(record.path, text, logged.offset, lenient=True)
            self.nodes[record.path] = evolve(node, deleted=record.deleted)
        return self._keep_fate(record.change_id, logged.offset, reason)

    @_reduce.register
    def _(self, record: DomainChangeRecord, logged: LoggedRecord) -> ChangeRecord | None:
        reason = self._why_not_domain(record)
        if not reason:
            self.domains[record.domain] = DomainRecord(record.domain, record.out, logged.offset)
        return self._keep_fate(record.change_id, logged.offset, reason)

    @_reduce.register
    def _(self, record: SnapshotRecord, logged: LoggedRecord) -> ChangeRecord | None:
        self.records_since_snapshot = 0
        self.snapshot_at_s = logged.at_s
        return None

    def _why_not_published(self, record: PublishRecord) -> str:
        if record.change_id in self.changes:
            return "change id already used"
        version = self.nodes[record.path].version if record.path in self.nodes else 0
        if record.expected_version not in (ANY_VERSION, version):
            return f"expected version {record.expected_version}, found {version}"
        try:
            parse_node(record.path, record.values_toml, 0, lenient=True)
        except SettingsError as err:
            return str(err)
        return ""

    def _why_not_domain(self, record: DomainChangeRecord) -> str:
        if record.change_id in self.changes:
            return "change id already used"
        found = self.domains.get(record.domain)
        version = found.version if found else 0
        if record.expected_version not in (ANY_VERSION, version):
            return f"expected version {record.expected_version}, found {version}"
        return ""

    def _keep_fate(self, change_id: str, offset: int, reason: str) -> ChangeRecord:
        fate = ChangeRecord(change_id, offset, not reason, reason)
        self.changes.setdefault(change_id, fate)
        while len(self.changes) > MAX_CHANGES_KEPT:
            del self.changes[next(iter(self.changes))]
        return fate

    def _end(self, incarnation: str, offset: int, at_s: float) -> None:
        found = self.processes.get(incarnation)
        if found is None or found.ended_offset != NO_OFFSET:
            return
        self.processes[incarnation] = evolve(found, ended_offset=offset, ended_at_s=at_s)

    def _prune(self, at_s: float) -> None:
        for process in list(self.processes.values()):
            ended = process.ended_offset != NO_OFFSET
            if ended and at_s - process.ended_at_s > ENDED_PROCESS_KEPT_S:
                del self.processes[process.incarnation]


def _node(record: ScopeRecord) -> Node:
    """Return the node of a snapshot or of a whole tree."""
    node = parse_node(record.path, record.values_toml, record.version, lenient=True)
    return evolve(node, deleted=record.deleted)
