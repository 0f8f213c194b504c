"""Tests for the reducers of settings, failure domains and processes.

The state is compared with plain dictionaries. A process that starts late reads only the newest
record of each key and must reach the same state as one that has read every record.
"""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.consortium.processes import Processes
from pistachiohill.consortium.tail import change_key
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.protocol.codec import decode_record, encode_record
from pistachiohill.protocol.models import (
    AnnounceRecord,
    DomainChangeRecord,
    DomainRecord,
    EndRecord,
    Message,
    PublishRecord,
    SettingsNodeRecord,
    SnapshotRecord,
)
from pistachiohill.settings.errors import SettingsError
from pistachiohill.settings.tree import parse_node

from ..base import TestCase

PATHS = st.sampled_from(["consortium", "consortium/a", "consortium/a/j", "consortium/b"])
TOMLS = st.sampled_from(["", "max_runs = 2", "deadline_s = 3.0", "new = 1"])
IDS = st.sampled_from(["c1", "c2", "c3", "c4", "c5", "c6"])
VERSIONS = st.integers(-1, 6)
CHANGES: st.SearchStrategy[PublishRecord | DomainChangeRecord] = st.one_of(
    st.builds(PublishRecord, IDS, PATHS, VERSIONS, TOMLS, st.just("op"), st.booleans()),
    st.builds(
        DomainChangeRecord, IDS, st.sampled_from(["x", "y"]), st.booleans(), VERSIONS, st.just("op")
    ),
)
ANNOUNCEMENTS = st.builds(
    AnnounceRecord,
    st.sampled_from(["entry", "agent"]),
    st.sampled_from(["i1", "i2", "i3", "i4"]),
    st.just("x"),
    st.just("h"),
    st.integers(1, 2),
)


class StateTest(TestCase):
    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.lists(CHANGES, max_size=25), st.data())
    def test_equals_newest_of_each_key(
        self, records: list[PublishRecord | DomainChangeRecord], data: st.DataObject
    ) -> None:
        """Repeated and stale records and snapshots lead to the state of the newest records."""
        view = ConsortiumView()
        view.state.advance_offset(0)
        for offset, record in enumerate(records, start=1):
            highest = view.state.offset
            if data.draw(st.booleans()) and offset > 1:
                again = data.draw(st.integers(1, offset - 1))
                view.apply(records[again - 1], again)
            if data.draw(st.integers(0, 9)) == 0:
                snapshot = decode_record(encode_record(view.snapshot()))
                assert isinstance(snapshot, SnapshotRecord)
                view = ConsortiumView()
                view.adopt(snapshot)
            self.assertEqual(highest, view.state.offset)
            view.apply(record, offset)
        newest = {change_key(r): (offset, r) for offset, r in enumerate(records, start=1)}
        nodes = {k: v for k, v in newest.items() if k.startswith("node/")}
        found = {f"node/{n.path}": (n.version, n.text) for n in view.state.nodes.values()}
        self.assertEqual({k: (o, _text(r)) for k, (o, r) in nodes.items()}, found)
        out = {f"domain/{d.name}": (d.version, d.out) for d in view.state.domains.values()}
        domains = {
            k: (o, getattr(r, "out", None)) for k, (o, r) in newest.items() if k not in nodes
        }
        self.assertEqual(domains, out)

    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.lists(CHANGES, max_size=25))
    def test_late_reader_reaches_the_same_state(
        self, records: list[PublishRecord | DomainChangeRecord]
    ) -> None:
        early, late = ConsortiumView(), ConsortiumView()
        for offset, record in enumerate(records):
            early.apply(record, offset)
        newest = {change_key(record): offset for offset, record in enumerate(records)}
        for offset in sorted(newest.values()):
            late.apply(records[offset], offset)
        late.state.advance_offset(len(records) - 1)
        self.assertEqual(early.state.nodes, late.state.nodes)
        self.assertEqual(early.state.domains, late.state.domains)
        self.assertEqual(early.state.offset, late.state.offset)

    def test_invalid_node_changes_nothing(self) -> None:
        view = ConsortiumView()
        view.apply(PublishRecord("c1", "consortium", 0, "weight = 2.0", "op", False), 0)
        bad = PublishRecord("c2", "consortium", 0, "weight = -1.0", "op", False)
        self.assertRaises(SettingsError, view.apply, bad, 1)
        self.assertEqual("weight = 2.0", view.state.nodes["consortium"].text)
        self.assertEqual(1, view.state.offset)

    def test_snapshot_with_an_invalid_node_changes_nothing(self) -> None:
        view, other = ConsortiumView(), ConsortiumView()
        view.apply(PublishRecord("c1", "consortium", 0, "weight = 2.0", "op", False), 0)
        other.apply(PublishRecord("c1", "consortium", 0, "weight = 2.0", "op", False), 3)
        snapshot = other.snapshot()
        snapshot.settings_nodes[0].values_toml = "weight = -1.0"
        self.assertRaises(SettingsError, view.adopt, snapshot)
        self.assertEqual(0, view.state.offset)

    def test_change_is_applied_although_the_snapshot_of_a_peer_passes_over_it(self) -> None:
        """The peer may have refused it, like an older version of the program."""
        view = ConsortiumView()
        node = SettingsNodeRecord("consortium", "weight = 2.0", 3, False)
        domain = DomainRecord("x", True, 4)
        view.adopt(SnapshotRecord(9, [node], [domain], [], [], 0))
        newer = parse_node("consortium", "weight = 3.0", 7)
        self.assertTrue(view.state.replace_nodes([newer], 7, 0))
        self.assertTrue(view.state.set_domain(DomainRecord("x", False, 8)))
        self.assertEqual(9, view.state.offset)

    def test_published_change_is_applied_although_the_snapshot_of_a_peer_passes_over_it(
        self,
    ) -> None:
        view = ConsortiumView()
        node = SettingsNodeRecord("consortium", "weight = 2.0", 3, False)
        view.adopt(SnapshotRecord(9, [node], [], [], [], 0))
        view.apply(PublishRecord("c1", "consortium", 3, "weight = 3.0", "op", False), 7)
        view.apply(DomainChangeRecord("c2", "x", True, 0, "op"), 8)
        self.assertEqual("weight = 3.0", view.state.nodes["consortium"].text)
        self.assertTrue(view.state.domain_is_out("x"))
        self.assertEqual(9, view.state.offset)

    def test_snapshot_replaces_neither_a_newer_tree_nor_a_newer_domain(self) -> None:
        view = ConsortiumView()
        view.state.replace_nodes([parse_node("consortium", "weight = 3.0", 7)], 7, 12)
        view.state.set_domain(DomainRecord("x", False, 8))
        old_node = SettingsNodeRecord("consortium", "weight = 2.0", 3, False)
        old_domain = DomainRecord("x", True, 4)
        view.adopt(SnapshotRecord(9, [old_node], [old_domain], [], [], 0, 11))
        self.assertEqual(
            ("weight = 3.0", 12), (view.state.nodes["consortium"].text, view.state.tree_version)
        )
        self.assertFalse(view.state.domain_is_out("x"))

    def test_the_higher_version_of_the_tree_counts_whatever_its_offset(self) -> None:
        view = ConsortiumView()
        newer, older = (parse_node("consortium", f"weight = {n}.0", n) for n in (7, 9))
        self.assertTrue(view.state.replace_nodes([older], 9, 4))
        self.assertTrue(view.state.replace_nodes([newer], 7, 5))
        self.assertFalse(view.state.replace_nodes([older], 10, 4))
        self.assertEqual((9, 5), (view.state.offset, view.state.tree_version))
        self.assertEqual("weight = 7.0", view.state.nodes["consortium"].text)

    def test_own_nodes_of_a_record_replace_those_that_another_process_built_from_it(self) -> None:
        view = ConsortiumView()
        copied, own = (parse_node("consortium", f"weight = {n}.0", 7) for n in (2, 3))
        self.assertTrue(view.state.replace_nodes([copied], 7, 5))
        self.assertTrue(view.state.replace_nodes([own], 7, 5))
        self.assertEqual("weight = 3.0", view.state.nodes["consortium"].text)

    def test_conflicting_changes_are_rejected_by_version(self) -> None:
        view = ConsortiumView()
        view.state.advance_offset(0)
        first = PublishRecord("c1", "consortium", 0, "weight = 2.0", "op", False)
        self.assertEqual("", view.state.rejection_reason(first))
        view.apply(first, 1)
        self.assertIn("found 1", view.state.rejection_reason(first))
        domain = DomainChangeRecord("c2", "x", True, 0, "op")
        self.assertEqual("", view.state.rejection_reason(domain))
        view.apply(domain, 2)
        self.assertIn("found 2", view.state.rejection_reason(domain))


def _text(record: Message) -> str:
    assert isinstance(record, PublishRecord)
    return "" if record.deleted else record.values_toml


class ProcessesTest(TestCase):
    @seed(20261204)
    @settings(max_examples=400, deadline=None, database=None)
    @given(st.lists(st.tuples(ANNOUNCEMENTS, st.booleans()), max_size=12))
    def test_late_reader_knows_the_live_processes(
        self, events: list[tuple[AnnounceRecord, bool]]
    ) -> None:
        """Each process announces itself once, and may record its end later."""
        early = Processes()
        written: dict[str, tuple[int, AnnounceRecord | EndRecord]] = {}
        announced: dict[str, tuple[int, AnnounceRecord]] = {}
        for offset, (record, ends) in enumerate(events):
            known = announced.get(record.incarnation)
            if known is None:
                announced[record.incarnation] = (offset, record)
                written[record.incarnation] = (offset, record)
                early.announce(record, offset, 0.0)
            elif ends and not isinstance(written[record.incarnation][1], EndRecord):
                end = EndRecord(known[1], known[0])
                written[record.incarnation] = (offset, end)
                early.end(end, offset, 0.0)
        late = Processes()
        for offset, kept in sorted(written.values(), key=lambda item: item[0]):
            if isinstance(kept, EndRecord):
                late.end(kept, offset, 0.0)
            else:
                late.announce(kept, offset, 0.0)
        for role in ("entry", "agent"):
            self.assertEqual(_incarnations(early.live(role)), _incarnations(late.live(role)))
        for issued in range(len(events)):
            before, after = early.possible_agents(issued), late.possible_agents(issued)
            self.assertEqual(_incarnations(before), _incarnations(after))


def _incarnations(records: list) -> set[str]:
    return {record.incarnation for record in records}
