"""Announce a process in the log of records, and that it has ended."""

import trio

from .. import logs
from ..platform_log.client import LogClient
from ..platform_log.models import Appended
from ..protocol.codec import encode_record
from ..protocol.models import AnnounceRecord, WithdrawRecord

WITHDRAW_TIMEOUT_S = 2.0
ANNOUNCE_RETRY_S = 0.5


async def async_announce(log: LogClient, record: AnnounceRecord) -> int:
    """Append an announcement until that has succeeded, and return its offset.

    When an answer was lost the record may stand twice; the later offset is the safe one to use.
    """
    while True:
        outcome = await log.async_append(encode_record(record))
        if isinstance(outcome, Appended):
            logs.event("announced", incarnation=record.incarnation, offset=outcome.offset)
            return outcome.offset
        logs.warning("announce_failed", outcome=outcome)
        await trio.sleep(ANNOUNCE_RETRY_S)


async def async_withdraw(log: LogClient, incarnation: str) -> None:
    """Append that an incarnation has ended; tried once, since a successor makes it known too."""
    record = WithdrawRecord(f"{incarnation}-end", incarnation)
    with trio.move_on_after(WITHDRAW_TIMEOUT_S):
        outcome = await log.async_append(encode_record(record))
        logs.event("withdrawn", incarnation=incarnation, outcome=outcome)
