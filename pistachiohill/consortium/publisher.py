"""Publishing of changes, each at most once.

A change is appended only at the end offset that its publisher has applied, so its expected version
is checked against exactly the state that it changes. An append whose reply was lost is repeated at
the same end offset: either one of the two attempts is appended there, or another change was and
neither attempt takes effect.
"""

import trio

from .. import logs
from ..errors import Refusal, RefusalReason, Verdict
from ..platform.models import AppendConflict, Appended, AppendRefused
from ..platform.store import StoreClient
from ..protocol.codec import encode_record
from ..protocol.models import ChangeRecord, DomainChangeRecord, PublishRecord
from .const import NO_OFFSET, RETRY_MIN_S, TOPIC_SETTINGS
from .tail import change_key
from .view import ConsortiumView

PUBLISH_TIMEOUT_S = 8.0


async def async_publish(
    store: StoreClient, view: ConsortiumView, record: PublishRecord | DomainChangeRecord
) -> ChangeRecord | Refusal:
    """Publish a change and return its result.

    Without a result within PUBLISH_TIMEOUT_S, return a refusal that says whether the change may
    still take effect.
    """
    verdict = Verdict.NOT_RUN
    value = encode_record(record)
    with trio.move_on_after(PUBLISH_TIMEOUT_S):
        while True:
            published = view.state.changes.get(record.change_id)
            if published is not None:
                return published
            reason = view.state.rejection_reason(record)
            if reason:
                return ChangeRecord(record.change_id, NO_OFFSET, False, reason)
            end = view.state.offset + 1
            outcome = await store.async_append(TOPIC_SETTINGS, change_key(record), value, end)
            if isinstance(outcome, Appended):
                verdict = Verdict.MAY_HAVE_RUN
                await view.async_wait_offset(outcome.offset)
            elif isinstance(outcome, AppendConflict):
                await view.async_wait_offset(outcome.end - 1)
            elif isinstance(outcome, AppendRefused):
                await trio.sleep(RETRY_MIN_S)
            else:
                verdict = Verdict.MAY_HAVE_RUN
                logs.warning("append_unknown", change=record.change_id, outcome=outcome)
    detail = f"the platform's store does not answer; look up change {record.change_id} later"
    return Refusal(RefusalReason.OVERLOAD, verdict, detail, retry_after_s=2.0)
