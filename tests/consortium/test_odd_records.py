"""Records of the product's own topics that another writer made odd are skipped."""

import cbor2

from pistachiohill.consortium import tail
from pistachiohill.consortium.const import KEY_KEPT_TREE
from pistachiohill.consortium.kept_tree import encode_tree
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.platform.models import KeyedRecord
from pistachiohill.protocol.codec import encode_record
from pistachiohill.protocol.models import (
    MESSAGE_TAGS,
    AnnounceRecord,
    EndRecord,
    ProcessRecord,
    PublishRecord,
    SettingsNodeRecord,
    TreeRecord,
)
from pistachiohill.settings.tree import parse_node

from ..base import TestCase

GOOD = AnnounceRecord("agent", "inc-1", "bern-a", "10.0.0.1", 7001)


class OddRecordTest(TestCase):
    def test_process_with_an_odd_address_is_skipped(self) -> None:
        for host in ("", "a" * 64, "a..b", "b\0", "x\r\ny", "h" * 300, "a b", "\u2603"):
            self._assert_skipped(AnnounceRecord("agent", "odd", "bern-a", host, 7001))
        for port in (0, -1, 65536, 99999, 2**62):
            self._assert_skipped(AnnounceRecord("agent", "odd", "bern-a", "10.0.0.2", port))

    def test_process_with_a_port_beyond_64_bits_is_skipped(self) -> None:
        fields = ["agent", "odd", "bern-a", "10.0.0.2", 10**400]
        view = ConsortiumView()
        record = cbor2.dumps([[MESSAGE_TAGS[AnnounceRecord], fields]])
        tail.apply_process(view, KeyedRecord(1, "odd", record))
        self.assertEqual({}, view.processes.records)

    def test_end_at_an_odd_offset_is_skipped(self) -> None:
        view = ConsortiumView()
        tail.apply_process(view, KeyedRecord(5, "inc-1", encode_record(GOOD)))
        for offset in (-2, 7, 2**62):
            record = encode_record(EndRecord(GOOD, offset))
            tail.apply_process(view, KeyedRecord(6, "inc-1", record))
        self.assertFalse(view.processes.has_ended("inc-1"))

    def test_deeply_nested_settings_of_a_record_are_skipped(self) -> None:
        view = ConsortiumView()
        for text in ("priority = " + "[" * 60_000, "priority = " + "9" * 5000):
            record = PublishRecord("change", "consortium", -1, text, "operator")
            key = tail.change_key(record)
            tail._apply_change(view, KeyedRecord(1, key, encode_record(record)))
        self.assertEqual({}, view.state.nodes)

    def test_process_of_a_peer_with_an_odd_address_is_left_out(self) -> None:
        view = ConsortiumView()
        odd = ProcessRecord("agent", "odd", "bern-a", "a" * 64, 99999, 1, 0.0, -1, 0.0)
        good = ProcessRecord("agent", "inc-1", "bern-a", "10.0.0.1", 7001, 2, 0.0, -1, 0.0)
        view.processes.adopt([odd, good], 2)
        self.assertEqual({"inc-1": good}, view.processes.records)

    def test_odd_copy_of_the_settings_tree_is_skipped_and_written_anew(self) -> None:
        node = SettingsNodeRecord("consortium", "weight = 2.0", 3, False)
        good = encode_tree(TreeRecord(7, [node]))
        odd_trees = TreeRecord(0, [node]), TreeRecord(2**60, [node]), TreeRecord(7, [])
        for value in (encode_record(GOOD), good[:-1], good + good, *map(encode_tree, odd_trees)):
            view = ConsortiumView()
            view.kept_tree.end = 1
            view.state.replace_nodes([parse_node("consortium", "", 1)], 1, 4)
            tail.apply_process(view, KeyedRecord(1, KEY_KEPT_TREE, value))
            self.assertEqual((4, True), (view.state.tree_version, view.kept_tree.is_behind(4)))
        tail.apply_process(view, KeyedRecord(2, KEY_KEPT_TREE, good))
        self.assertEqual((7, False), (view.state.tree_version, view.kept_tree.is_behind(7)))

    def _assert_skipped(self, record: AnnounceRecord) -> None:
        view = ConsortiumView()
        tail.apply_process(view, KeyedRecord(1, record.incarnation, encode_record(record)))
        self.assertEqual({}, view.processes.records, record)
