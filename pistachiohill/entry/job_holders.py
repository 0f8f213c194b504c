"""Which entries hold a best-effort job, so that no job runs at two entries at once.

A caller that got no answer sends its job again, to any entry. The first entry may not have noticed:
the end of the caller's connection can be lost or late, or the request can have waited on its way.
So each entry tells the others which jobs it has held for a while, well before a caller sends a job
again, and asks the holder to release a job that comes to it:

    entry 1: K arrives and is accepted; 0.6 s later it tells the others: I hold K
    entry 2: K arrives; asks entry 1 to release K, and lets K wait
    entry 1: stops its tasks of K, and answers once all of them have ended
    entry 2: accepts K

Of two requests for a job the newer one is served: its caller has given up the older one. A holder
that doesn't answer is waited for until its runs have ended without it (`RUNS_END_S`). One that does
also tells of which tasks a start may still come, so that a job that can't wait is answered at once.

A request that is old when its job is to be accepted, since it waited behind another one, for a
target or for a release, may have been sent again just now. So all other entries are asked first.
"""

import math
from enum import Enum, auto
from typing import Protocol

import trio
from attrs import define, field

from .. import clock, logs
from ..agent.const import RUNS_END_S
from ..const import VIEW_EXCHANGE_INTERVAL_S
from ..protocol.link import Link
from ..protocol.models import JobReleased, JobsHeld, LateStarts, Message, ReleaseJob
from .const import (
    HELD_AFTER_S,
    HELD_REPEAT_S,
    HELD_RETENTION_S,
    HELD_TICK_S,
    LATE_TIMERS_S,
    RELEASE_POLL_S,
    RELEASE_REPEAT_S,
)
from .late_starts import LateStartTable
from .peers import PeerListener

# Entries exchange views, so that a longer silence means that the peer doesn't run or is cut off.
PEER_HEARD_S = 1.2 * VIEW_EXCHANGE_INTERVAL_S
ASKING_GAP_S = 2.0 * RELEASE_REPEAT_S  # after this time without a question, a new wait begins


class Holding(Enum):
    """Whether a job may run at another entry."""

    FREE = auto()
    HELD = auto()
    KEPT = auto()  # for a newer request


class Release(Enum):
    """What an entry does with a job that it is asked to release."""

    ENDED = auto()
    ENDING = auto()
    KEPT = auto()


class JobTable(Protocol):
    """The jobs of this entry."""

    def held_keys(self, before_s: float) -> set[str]:
        """Return the keys of jobs requested before a boot time whose tasks may run."""

    def age_s(self, key: str, now_s: float) -> float | None:
        """Return the age of the newest request for a job in progress, None if there is none."""

    def release(self, key: str, age_s: float, entry: str, now_s: float) -> Release:
        """Cancel a job that a caller has sent to another entry, unless it has a newer request."""


class PeerLinks(Protocol):
    """The open links to other entries."""

    def find_link(self, incarnation: str) -> Link | None:
        """Return an open link to an entry incarnation."""

    def incarnations(self) -> set[str]:
        """Return the incarnations of all linked entries."""


@define
class Holder:
    """What is known of an entry that holds a job.

    Fields:
        confirmed_at_s: Boot time at which the entry last said so, or was first asked to release it.
        asked_at_s: Boot time at which it was last asked to release the job.
        kept_at_s: Boot time at which it answered that it keeps the job.
    """

    confirmed_at_s: float
    asked_at_s: float = -math.inf
    kept_at_s: float = -math.inf


@define(eq=False)
class JobHolders(PeerListener):
    """Exchanges with the other entries which jobs each of them holds."""

    _links: PeerLinks
    _late_starts: LateStartTable = field(factory=LateStartTable)
    _jobs: JobTable | None = None
    _holders: dict[str, dict[str, Holder]] = field(factory=dict)
    _heard_at_s: dict[str, float] = field(factory=dict)
    _announced: set[str] = field(factory=set)
    _repeated_at_s: float = -math.inf
    _askers: set[tuple[str, str]] = field(factory=set)
    _asked: trio.Event = field(factory=trio.Event)

    def set_jobs(self, jobs: JobTable) -> None:
        """Set the jobs of this entry, about which the others are told."""
        self._jobs = jobs

    async def async_run(self) -> None:
        """Tell the other entries about held and released jobs until cancelled."""
        while True:
            if self._askers:
                await trio.sleep(RELEASE_POLL_S)
            else:
                with trio.move_on_after(HELD_TICK_S):
                    await self._asked.wait()
            now_s = clock.boot_s()
            self.answer_askers(now_s)
            self.announce(now_s)

    # Jobs that come to this entry

    def suspect_all(self, key: str, now_s: float) -> None:
        """Take all entries for holders of a job until they have answered.

        Those whose links were closed just now may have runs as well, or be linked again soon.
        """
        for entry in self._links.incarnations() | self._heard_at_s.keys():
            self._holders.setdefault(key, {}).setdefault(entry, Holder(now_s))

    def check(self, key: str, age_s: float, now_s: float) -> Holding:
        """Return whether a job may run at another entry, and ask its holders to release it.

        `age_s` is the age of the caller's request to this entry.
        """
        holders = self._holders.get(key, {})
        for entry, holder in list(holders.items()):
            if now_s - holder.kept_at_s < RELEASE_REPEAT_S:
                return Holding.KEPT
            if now_s - holder.asked_at_s > ASKING_GAP_S:
                holder.confirmed_at_s = now_s
            if self._runs_have_ended(entry, holder, now_s):
                logs.event("job_holder_given_up", key=key, entry=entry)
                del holders[entry]
            else:
                self._ask(key, entry, holder, age_s, now_s)
        if holders:
            return Holding.HELD
        self._holders.pop(key, None)
        return Holding.FREE

    def _runs_have_ended(self, entry: str, holder: Holder, now_s: float) -> bool:
        """Return whether the runs of a holder that doesn't answer have ended."""
        sent_at_s = min(holder.confirmed_at_s, self._last_heard_s(entry, now_s))
        return now_s > sent_at_s + RUNS_END_S + LATE_TIMERS_S

    def _last_heard_s(self, entry: str, now_s: float) -> float:
        """Return a boot time until which an entry may have renewed its leases at agents."""
        link = self._links.find_link(entry)
        if link is None:
            return self._heard_at_s.get(entry, -math.inf)
        return min(now_s, link.received_at_s + PEER_HEARD_S)

    def _ask(self, key: str, entry: str, holder: Holder, age_s: float, now_s: float) -> None:
        if now_s - holder.asked_at_s < RELEASE_REPEAT_S:
            return
        if now_s - holder.asked_at_s > ASKING_GAP_S:
            logs.event("job_held_elsewhere", key=key, entry=entry, age_s=age_s)
        holder.asked_at_s = now_s
        self._send(entry, ReleaseJob(key, age_s))

    # Jobs that this entry holds

    def announce(self, now_s: float) -> None:
        """Tell the other entries about jobs held for a while, and about those released since."""
        assert self._jobs is not None
        held = self._jobs.held_keys(now_s - HELD_AFTER_S)
        released = self._announced - held
        repeat_due = now_s - self._repeated_at_s >= HELD_REPEAT_S
        keys = held if repeat_due else held - self._announced
        if repeat_due:
            self._repeated_at_s = now_s
            self._expire(now_s)
        self._announced = held
        if keys or released:
            message = JobsHeld(sorted(keys), sorted(released))
            for entry in self._links.incarnations():
                self._send(entry, message)

    def answer_askers(self, now_s: float) -> None:
        """Tell the entries that wait for a job of this entry once none of its tasks runs."""
        self._asked = trio.Event()
        assert self._jobs is not None
        for key, entry in list(self._askers):
            if key not in self._jobs.held_keys(now_s):
                self._askers.discard((key, entry))
                self._send(entry, JobReleased(key, True))

    def _expire(self, now_s: float) -> None:
        """Forget holders that have not repeated what they hold, and links closed long ago."""
        for key, holders in list(self._holders.items()):
            for entry, holder in list(holders.items()):
                if now_s - holder.confirmed_at_s > HELD_RETENTION_S:
                    del holders[entry]
            if not holders:
                del self._holders[key]
        for entry, heard_at_s in list(self._heard_at_s.items()):
            if now_s - heard_at_s > HELD_RETENTION_S:
                del self._heard_at_s[entry]

    # Messages and links

    def jobs_held(self, entry: str, message: JobsHeld, now_s: float) -> None:
        """Record which jobs another entry holds; ask for those that this entry runs as well."""
        for key in message.released:
            self._remove(key, entry)
        for key in message.keys:
            holder = self._holders.setdefault(key, {}).setdefault(entry, Holder(now_s))
            holder.confirmed_at_s = now_s
            age_s = self._jobs.age_s(key, now_s) if self._jobs is not None else None
            if age_s is not None:
                self._ask(key, entry, holder, age_s, now_s)

    def release_requested(self, entry: str, message: ReleaseJob, now_s: float) -> None:
        """Cancel a job whose caller has sent it to another entry, unless this one is newer.

        That entry is going to hold the job.
        """
        assert self._jobs is not None
        release = self._jobs.release(message.key, message.age_s, entry, now_s)
        if release != Release.KEPT:
            self._holders.setdefault(message.key, {})[entry] = Holder(now_s)
        starts = self._late_starts.starts_of(message.key, now_s)
        if starts:
            self._send(entry, LateStarts(starts))
        if release == Release.ENDING:
            self._send(entry, JobsHeld([message.key], []))
            self._askers.add((message.key, entry))
            self._asked.set()
            return
        self._send(entry, JobReleased(message.key, release == Release.ENDED))

    def job_released(self, entry: str, message: JobReleased, now_s: float) -> None:
        """Record the answer of a holder."""
        holder = self._holders.get(message.key, {}).get(entry)
        if message.released:
            self._remove(message.key, entry)
        elif holder is not None:
            holder.kept_at_s = now_s

    def late_starts_told(self, entry: str, message: LateStarts, now_s: float) -> None:
        """Store which starts may come of a job that this entry has asked another one for."""
        self._late_starts.record(entry, message, now_s)

    def peer_linked(self, entry: str, now_s: float) -> None:
        """Tell a newly linked entry which jobs this one holds."""
        if self._announced:
            self._send(entry, JobsHeld(sorted(self._announced), []))

    def peer_unlinked(self, entry: str, received_at_s: float, now_s: float) -> None:
        """Record when an entry was last heard."""
        self._heard_at_s[entry] = min(now_s, received_at_s + PEER_HEARD_S)

    def _remove(self, key: str, entry: str) -> None:
        holders = self._holders.get(key, {})
        holders.pop(entry, None)
        if not holders:
            self._holders.pop(key, None)

    def _send(self, entry: str, message: Message) -> None:
        link = self._links.find_link(entry)
        if link is not None:
            link.send(message)
