"""Fairness reports: a member's own counters and limits, and the totals of the consortium."""

from typing import Any

import trio

from ..consortium.view import ConsortiumView
from ..protocol.models import CountersReply, CountersRequest, MemberCounters
from .accounting import Accounting
from .peers import PeerDirectory

COUNTERS_TIMEOUT_S = 1.0
RULE_SETTINGS = ("weight", "max_running_tasks", "max_queued_tasks")


class FairnessReporter:
    """Sums the counters of all entries into a report for one member."""

    def __init__(self, view: ConsortiumView, accounting: Accounting, peers: PeerDirectory) -> None:
        """Initialize the reporter."""
        self._view = view
        self._accounting = accounting
        self._peers = peers

    async def async_report(self, member: str) -> dict[str, Any]:
        """Return a member's report; other members appear only in the totals."""
        counters = list(self._accounting.counters())
        peer_incarnations = self._peers.incarnations()
        answered = 1

        async def async_collect(incarnation: str) -> None:
            nonlocal answered
            link = self._peers.find_link(incarnation)
            if link is None:
                return
            reply = await self._peers.async_request(link, CountersRequest, COUNTERS_TIMEOUT_S)
            if isinstance(reply, CountersReply):
                counters.extend(reply.counters)
                answered += 1

        async with trio.open_nursery() as nursery:
            for incarnation in peer_incarnations:
                nursery.start_soon(async_collect, incarnation)
        return self._report(member, counters, answered, len(peer_incarnations) + 1)

    def _report(
        self, member: str, counters: list[MemberCounters], answered: int, entries: int
    ) -> dict[str, Any]:
        settings = self._view.state.settings(f"consortium/{member}")
        own = [item for item in counters if item.member == member]
        total_run_s = sum(item.run_s for item in counters)
        own_run_s = sum(item.run_s for item in own)
        return {
            "member": member,
            "rules": {name: getattr(settings, name) for name in RULE_SETTINGS},
            "own": _total(own),
            "consortium": _total(counters),
            "share_of_run_time": own_run_s / total_run_s if total_run_s else 0.0,
            "entries_asked": entries,
            "entries_answered": answered,
            "offset": self._view.state.offset,
        }


def _total(counters: list[MemberCounters]) -> dict[str, Any]:
    refusals: dict[str, int] = {}
    for item in counters:
        for rule in item.refusals:
            refusals[rule.rule] = refusals.get(rule.rule, 0) + rule.count
    return {
        "offered_tasks": sum(item.offered_tasks for item in counters),
        "started_tasks": sum(item.started_tasks for item in counters),
        "completed_jobs": sum(item.completed_jobs for item in counters),
        "failed_jobs": sum(item.failed_jobs for item in counters),
        "run_s": sum(item.run_s for item in counters),
        "refused_jobs_by_rule": refusals,
    }
