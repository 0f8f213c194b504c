"""Tests for TargetClient."""

import math

from pistachiohill.agent.models import RunPermission, TargetCall, TargetResult
from pistachiohill.agent.target_client import TargetClient
from pistachiohill.errors import RefusalReason, Verdict

from ..base import TestCase


class TargetClientTest(TestCase):
    async def test_task_whose_permission_has_ended_is_not_sent(self) -> None:
        permission = RunPermission(lambda _now_s: RefusalReason.STALE_VIEW, lambda: math.inf)
        call = TargetCall("a/0", 1, "m", "j", b"", 5.0, False)
        result = await TargetClient().async_call("http://127.0.0.1:1", call, permission)
        self.assertEqual(TargetResult(Verdict.NOT_RUN, RefusalReason.STALE_VIEW), result)
