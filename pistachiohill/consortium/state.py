"""Reduce records of the store to the consortium's settings and failure domains.

Each node of the settings tree and each failure domain has its own key, and the store retains the
newest record of each key, so a process that starts late reaches the same state as one that read
every record. Changes apply in offset order: one at or below the applied offset is ignored.

The settings tree as a whole and each failure domain also have an offset of their own, so that none
of them is replaced by an older one, even if a peer's snapshot includes later records of the others.
If operators give the whole tree a version, the higher version is the newer one whatever its offset.
"""

from collections.abc import Iterable
from functools import singledispatchmethod

from attrs import define, evolve, field

from ..protocol.models import (
    ChangeRecord,
    DomainChangeRecord,
    DomainRecord,
    Message,
    PublishRecord,
    SettingsNodeRecord,
    SnapshotRecord,
)
from ..settings.models import JobSettings
from ..settings.tree import Node, parse_node, resolve, update_node
from .const import ANY_VERSION, MAX_RETAINED_CHANGES, MAX_TREE_VERSION, NO_OFFSET

JOB_PATH_PARTS = 3  # consortium/MEMBER/JOB


@define
class ConsortiumState:
    """Settings tree, failure domains and recent changes, as of an offset.

    `tree_version` is the version that operators gave the whole tree, 0 if they publish its nodes
    one by one. `revision` counts the changes of the tree, which may come without a later offset.
    """

    offset: int = NO_OFFSET
    tree_version: int = 0
    revision: int = 0
    nodes: dict[str, Node] = field(factory=dict)
    domains: dict[str, DomainRecord] = field(factory=dict)
    changes: dict[str, ChangeRecord] = field(factory=dict)
    _resolved: dict[str, JobSettings] = field(factory=dict, repr=False, eq=False)

    def apply(self, record: Message, offset: int) -> ChangeRecord | None:
        """Apply one record and return the result of the change it carries, if any.

        A change that is not newer than what it changes is ignored. Raises SettingsError for a node
        that can't be parsed, which then keeps its previous values.
        """
        if offset <= self._known_version(record):
            return None
        self.advance_offset(offset)
        self._mark_changed()
        return self._reduce(record, offset)

    def advance_offset(self, offset: int) -> None:
        """Advance the applied offset past records that do not change this state."""
        self.offset = max(self.offset, offset)

    @property
    def tree_offset(self) -> int:
        """Offset of the latest change of the settings tree."""
        return _latest_version(self.nodes.values())

    def adopt(self, snapshot: SnapshotRecord) -> bool:
        """Take over a snapshot if its offset is later, or only its tree if that is newer.

        Return whether anything was newer. Parts of the snapshot that are older than those of this
        state are left out.
        """
        if snapshot.offset <= self.offset:
            return self.adopt_tree(snapshot.settings_nodes, snapshot.tree_version)
        nodes = [self._parse_node_record(item) for item in snapshot.settings_nodes]
        self.offset = snapshot.offset
        self.changes = {item.change_id: item for item in snapshot.changes}
        for domain in snapshot.domains:
            self.set_domain(domain)
        self.replace_nodes(nodes, _latest_version(nodes), snapshot.tree_version)
        return True

    def adopt_tree(self, records: list[SettingsNodeRecord], tree_version: int) -> bool:
        """Take over a settings tree if its version is higher; return whether it was.

        The applied offset stays, since the other records up to the tree's offset may be unknown.
        """
        if not self.tree_version < tree_version <= MAX_TREE_VERSION:
            return False
        nodes = [self._parse_node_record(item) for item in records]
        self._set_nodes(nodes, tree_version)
        return True

    def replace_nodes(self, nodes: list[Node], offset: int, tree_version: int) -> bool:
        """Replace the settings tree by a newer one; return whether it was newer.

        An older version may have a later offset, if the store executed its write late. The nodes of
        the version in use replace those that another process built from the same record.
        """
        is_own = tree_version > 0 and (offset, tree_version) == (
            self.tree_offset,
            self.tree_version,
        )
        if not is_own and not self._is_newer_tree(offset, tree_version):
            return False
        self._set_nodes(nodes, tree_version)
        self.advance_offset(offset)
        return True

    def _is_newer_tree(self, offset: int, tree_version: int) -> bool:
        if tree_version > 0 and self.tree_version > 0 and tree_version != self.tree_version:
            return tree_version > self.tree_version
        return offset > self.tree_offset

    def _set_nodes(self, nodes: list[Node], tree_version: int) -> None:
        self.nodes = {node.path: node for node in nodes}
        self.tree_version = tree_version
        self._mark_changed()

    def set_domain(self, record: DomainRecord) -> bool:
        """Set a failure domain if its version is newer than known; return whether it was."""
        known = self.domains.get(record.name)
        if known is not None and known.version >= record.version:
            return False
        self.domains[record.name] = record
        self.advance_offset(record.version)
        return True

    def restore_domains_except(self, out: set[str], offset: int) -> None:
        """Return failure domains to service, as of an offset, unless they are listed in `out`."""
        for name, record in list(self.domains.items()):
            if record.out and name not in out and record.version < offset:
                self.domains[name] = DomainRecord(name, False, offset)

    def node_records(self) -> list[SettingsNodeRecord]:
        """Return the records of all nodes of the settings tree."""
        return [
            SettingsNodeRecord(node.path, node.text, node.version, node.deleted)
            for node in self.nodes.values()
        ]

    def job_settings(self) -> list[tuple[str, str, JobSettings]]:
        """Return member, job and effective settings of every job."""
        jobs = []
        for path, node in self.nodes.items():
            parts = path.split("/")
            if len(parts) == JOB_PATH_PARTS and not node.deleted:
                jobs.append((parts[1], parts[2], self.settings(path)))
        return jobs

    def settings(self, path: str) -> JobSettings:
        """Return the effective settings at a path of the tree."""
        resolved = self._resolved.get(path)
        if resolved is None:
            resolved = self._resolved[path] = resolve(self.nodes, path)
        return resolved

    def has_node(self, path: str) -> bool:
        """Return whether a node of the settings tree exists."""
        node = self.nodes.get(path)
        return node is not None and not node.deleted

    def domain_is_out(self, domain: str) -> bool:
        """Return whether operators have taken a failure domain out of service."""
        found = self.domains.get(domain)
        return found is not None and found.out

    @singledispatchmethod
    def rejection_reason(self, record: Message) -> str:
        """Return why a change may not be published on this state; empty if it may."""
        return f"not a change: {type(record).__name__}"

    @rejection_reason.register
    def _(self, record: PublishRecord | DomainChangeRecord) -> str:
        return _version_mismatch(record.expected_version, max(0, self._known_version(record)))

    @singledispatchmethod
    def _known_version(self, record: Message) -> int:
        """Return the version of what a record changes, NO_OFFSET if that is new."""
        return self.offset

    @_known_version.register
    def _(self, record: PublishRecord) -> int:
        node = self.nodes.get(record.path)
        return node.version if node is not None else NO_OFFSET

    @_known_version.register
    def _(self, record: DomainChangeRecord) -> int:
        domain = self.domains.get(record.domain)
        return domain.version if domain is not None else NO_OFFSET

    @singledispatchmethod
    def _reduce(self, record: Message, offset: int) -> ChangeRecord | None:
        return None

    @_reduce.register
    def _(self, record: PublishRecord, offset: int) -> ChangeRecord | None:
        text = "" if record.deleted else record.values_toml
        node = parse_node(record.path, text, offset, lenient=True)
        self.nodes[record.path] = evolve(node, deleted=record.deleted)
        return self._record_change(record.change_id, offset)

    @_reduce.register
    def _(self, record: DomainChangeRecord, offset: int) -> ChangeRecord | None:
        self.domains[record.domain] = DomainRecord(record.domain, record.out, offset)
        return self._record_change(record.change_id, offset)

    def _parse_node_record(self, record: SettingsNodeRecord) -> Node:
        """Parse a node record of a snapshot."""
        known = self.nodes.get(record.path)
        node = update_node(known, record.path, record.values_toml, record.version, lenient=True)
        return evolve(node, deleted=record.deleted)

    def _mark_changed(self) -> None:
        self.revision += 1
        self._resolved.clear()

    def _record_change(self, change_id: str, offset: int) -> ChangeRecord:
        change = self.changes[change_id] = ChangeRecord(change_id, offset, True, "")
        while len(self.changes) > MAX_RETAINED_CHANGES:
            del self.changes[next(iter(self.changes))]
        return change


def _latest_version(nodes: Iterable[Node]) -> int:
    return max((node.version for node in nodes), default=NO_OFFSET)


def _version_mismatch(expected: int, found: int) -> str:
    if expected in (ANY_VERSION, found):
        return ""
    return f"expected version {expected}, found {found}"
