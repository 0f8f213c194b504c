"""Notices to entries of starts that may still be executed although they got no answer.

A runner's next process may execute such a start after this agent has ended. So the agent tells all
linked entries as soon as it knows of one, and not only when it ends, which it may do at any time:

    the runner leaves a start of task K/3 unanswered
    this agent sends to all entries: a start of K/3 may come for 15 s
    this agent is killed
    the entries place K/3 nowhere before the 15 s are over
"""

from attrs import define, field

from .. import logs
from ..protocol.link import Link
from ..protocol.models import LateStart, LateStarts
from .models import TargetCall


@define(eq=False)
class LateStartNotices:
    """The unanswered starts of this agent, and the links on which entries are told of them."""

    _until_s: dict[str, float] = field(factory=dict)
    _links: set[Link] = field(factory=set)

    def record(self, call: TargetCall, until_s: float, now_s: float) -> None:
        """Tell all entries until which boot time a start of a task may be executed.

        A time that is not after `now_s` means that no start can be executed any more.
        """
        self._expire(now_s)
        if until_s > now_s:
            self._until_s[call.task_id] = until_s
        elif self._until_s.pop(call.task_id, None) is None:
            return
        for_s = max(0.0, until_s - now_s)
        logs.event("late_start_expected", name=call.name, for_s=for_s)
        message = LateStarts([LateStart(call.task_id, for_s)])
        for link in self._links:
            link.send(message)

    def link_opened(self, link: Link, now_s: float) -> None:
        """Tell an entry that was linked of all starts that may still be executed."""
        self._links.add(link)
        self._expire(now_s)
        if self._until_s:
            starts = [LateStart(name, until_s - now_s) for name, until_s in self._until_s.items()]
            link.send(LateStarts(starts))

    def link_closed(self, link: Link) -> None:
        """Send nothing more on a link."""
        self._links.discard(link)

    def _expire(self, now_s: float) -> None:
        for task_id in [name for name, until_s in self._until_s.items() if until_s <= now_s]:
            del self._until_s[task_id]
