"""Publish changes through the platform's log, each at most once.

A change carries an identifier chosen by its publisher. The reducer lets only the first record of an
identifier take effect, so an append whose answer was lost is looked up and, if it is missing,
repeated without risk.
"""

import trio

from .. import logs
from ..errors import Refusal, RefusalReason, Verdict
from ..platform_log.client import LogClient
from ..platform_log.const import RETRY_MIN_S
from ..platform_log.models import Appended, AppendRefused
from ..protocol.codec import encode_record
from ..protocol.models import ChangeRecord, DomainChangeRecord, PublishRecord
from .view import ConsortiumView

PUBLISH_TIMEOUT_S = 8.0
LOOKUP_TIMEOUT_S = 1.5


async def async_publish(
    client: LogClient, view: ConsortiumView, record: PublishRecord | DomainChangeRecord
) -> ChangeRecord | Refusal:
    """Publish a change and return its fate, or a refusal that says whether it may take effect."""
    verdict = Verdict.NOT_RUN
    with trio.move_on_after(PUBLISH_TIMEOUT_S):
        while True:
            fate = view.state.changes.get(record.change_id)
            if fate is not None:
                return fate
            outcome = await client.async_append(encode_record(record))
            if isinstance(outcome, Appended):
                verdict = Verdict.MAY_HAVE_RUN
                await view.async_wait_offset(outcome.offset)
            elif isinstance(outcome, AppendRefused):
                await trio.sleep(RETRY_MIN_S)
            else:
                verdict = Verdict.MAY_HAVE_RUN
                logs.warning("append_unknown", change=record.change_id, outcome=outcome)
                await _async_look_up(view, record.change_id)
    detail = f"the platform's log does not answer; look up change {record.change_id} later"
    return Refusal(RefusalReason.OVERLOAD, verdict, detail, retry_after_s=2.0)


async def _async_look_up(view: ConsortiumView, change_id: str) -> None:
    with trio.move_on_after(LOOKUP_TIMEOUT_S):
        while change_id not in view.state.changes:
            await view.async_changed()
