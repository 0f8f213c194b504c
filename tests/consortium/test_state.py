"""The reducer against a naive one that folds the whole history anew."""

from typing import Any

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.consortium.state import ConsortiumState, LoggedRecord
from pistachiohill.protocol.codec import decode_record, encode_record
from pistachiohill.protocol.models import (
    AnnounceRecord,
    DomainChangeRecord,
    Message,
    PublishRecord,
    SnapshotRecord,
    WithdrawRecord,
)

from ..base import TestCase

PATHS = st.sampled_from(
    ["consortium", "consortium/a", "consortium/a/j", "bad path", "consortium/b"]
)
TOMLS = st.sampled_from(
    ["", "weight = 2.0", "deadline_s = 3.0", "weight = -1.0", "x = ", "new = 1"]
)
IDS = st.sampled_from(["c1", "c2", "c3", "c4", "c5", "c6"])
VERSIONS = st.integers(-1, 6)
RECORDS: st.SearchStrategy[Message] = st.one_of(
    st.builds(PublishRecord, IDS, PATHS, VERSIONS, TOMLS, st.just("op"), st.booleans()),
    st.builds(
        DomainChangeRecord, IDS, st.sampled_from(["x", "y"]), st.booleans(), VERSIONS, st.just("op")
    ),
    st.builds(
        AnnounceRecord,
        st.just("id"),
        st.sampled_from(["entry", "agent"]),
        st.sampled_from(["i1", "i2", "i3"]),
        st.just("x"),
        st.just("h"),
        st.integers(1, 2),
    ),
    st.builds(WithdrawRecord, st.just("id"), st.sampled_from(["i1", "i2", "i3"])),
)


class NaiveState:
    """Plain dictionaries, every rule written out once more in the simplest way."""

    def __init__(self) -> None:
        self.weight: dict[str, str] = {}
        self.version: dict[str, int] = {}
        self.out: dict[str, bool] = {}
        self.out_version: dict[str, int] = {}
        self.used: dict[str, tuple[int, bool]] = {}
        self.ended: dict[str, bool] = {}
        self.address: dict[str, tuple[Any, ...]] = {}

    def apply(self, offset: int, record: Message) -> None:
        if isinstance(record, PublishRecord):
            good = record.path != "bad path" and record.values_toml not in ("weight = -1.0", "x = ")
            if record.path.count("/") == 2 and "weight" in record.values_toml:
                good = False
            now = self.version.get(record.path, 0)
            ok = good and record.expected_version in (-1, now) and record.change_id not in self.used
            self.used.setdefault(record.change_id, (offset, ok))
            if ok:
                self.weight[record.path] = "" if record.deleted else record.values_toml
                self.version[record.path] = offset
        elif isinstance(record, DomainChangeRecord):
            now = self.out_version.get(record.domain, 0)
            ok = record.expected_version in (-1, now) and record.change_id not in self.used
            self.used.setdefault(record.change_id, (offset, ok))
            if ok:
                self.out[record.domain] = record.out
                self.out_version[record.domain] = offset
        elif isinstance(record, AnnounceRecord) and record.incarnation not in self.ended:
            address = (record.role, record.port)
            for other, where in self.address.items():
                if where == address:
                    self.ended[other] = True
            self.ended[record.incarnation] = False
            self.address[record.incarnation] = address
        elif isinstance(record, WithdrawRecord) and record.incarnation in self.ended:
            self.ended[record.incarnation] = True


class StateTest(TestCase):
    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.lists(RECORDS, max_size=25), st.data())
    def test_equals_naive_reducer(self, records: list[Message], data: st.DataObject) -> None:
        """Records are read twice, out of order and through snapshots; the state is the same."""
        naive = NaiveState()
        for offset, record in enumerate(records, start=1):
            naive.apply(offset, record)
        state = ConsortiumState(offset=0)
        offset = 0
        while offset < len(records):
            highest = state.offset
            if data.draw(st.booleans()) and offset:
                again = data.draw(st.integers(1, offset))
                state.apply(LoggedRecord(again, 0.0, records[again - 1]))
            if data.draw(st.integers(0, 9)) == 0:
                snapshot = decode_record(encode_record(state.snapshot()))
                assert isinstance(snapshot, SnapshotRecord)
                state = ConsortiumState()
                state.adopt(snapshot, 0.0)
            self.assertEqual(highest, state.offset)
            offset += 1
            state.apply(LoggedRecord(offset, 0.0, records[offset - 1]))
        self.assertEqual(naive.version, {p: n.version for p, n in state.nodes.items()})
        self.assertEqual(naive.weight, {p: n.text for p, n in state.nodes.items()})
        self.assertEqual(naive.out, {d: r.out for d, r in state.domains.items()})
        self.assertEqual(naive.used, {c: (r.offset, r.accepted) for c, r in state.changes.items()})
        ended = {p.incarnation: p.ended_offset >= 0 for p in state.processes.values()}
        self.assertEqual(naive.ended, ended)
