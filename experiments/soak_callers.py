"""Callers of the soak test that use channels of their own, until the entry's process is gone.

Each sends one job after the other on a channel, some before the earlier one is answered. A caller
may leave a channel: it closes it, resets it, or leaves it open, so that the entry can't notice. A
job without an answer is sent again to another entry after the time that the platform's callers
wait.
"""

import math
import random
import secrets
from enum import StrEnum
from typing import Final

import trio
from attrs import define, field

from standins.caller import LOST, NO_RESPONSE, CallerChannel, JobReply
from standins.platform_deployment import RESEND_DELAY_S, JobResponse, PlatformDeployment

CHANNELS_PER_ENTRY: Final = 3
LEAVE_SHARE: Final = 0.25
PIPELINED_SHARE: Final = 0.15
LEAVE_AFTER_S: Final = (0.05, 1.2)
RUN_S: Final = (0.05, 0.3, 0.8, 1.6)
DEADLINES_S: Final = (2.0, 4.0)
PAUSE_S: Final = (0.0, 0.5)
RECONNECT_S: Final = 0.1
# Added to a caller's deadline, because the checker may be delayed on a loaded machine.
ANSWER_TOLERANCE_S: Final = 2.0
BEHIND_TOLERANCE_S: Final = 0.5  # after the answer of the job ahead on the same channel
MAX_SENDS: Final = 4
SENT_AGAIN_STATUSES: Final = (NO_RESPONSE, 502, 504)


class Leaving(StrEnum):
    """How a caller leaves a channel."""

    OPEN = "open"
    CLOSE = "close"
    RESET = "reset"


@define
class CallerJob:
    """A job of one caller, and what it got for it so far."""

    key: str
    tasks: int
    run_s: float
    deadline_s: float
    first_sent_s: float
    replies: list[JobReply] = field(factory=list)

    @property
    def is_over(self) -> bool:
        """Return whether the job isn't sent again."""
        lost = self.replies[-1].status in SENT_AGAIN_STATUSES
        return not lost or len(self.replies) >= MAX_SENDS

    def response(self, now_s: float) -> JobResponse:
        """Return the job's outcome in the form of the other callers."""
        statuses = tuple(reply.status for reply in self.replies)
        elapsed_s = now_s - self.first_sent_s
        state = self.replies[-1].state
        return JobResponse(statuses[-1], state, len(statuses), elapsed_s, "", self.key, statuses)


def answer_due_s(deadline_s: float, ahead_answered_s: float = -math.inf) -> float:
    """Return how long after a job was sent its answer counts as late.

    Answers on a channel come in the order of the requests, so that of a job behind another is due
    shortly after the other's, which came `ahead_answered_s` after the job was sent.
    """
    return max(deadline_s + ANSWER_TOLERANCE_S, ahead_answered_s + BEHIND_TOLERANCE_S)


@define(eq=False)
class ChannelCallers:
    """Sends jobs on long-lived channels to all entries until it is stopped."""

    deployment: PlatformDeployment
    seed: int
    answers: list[tuple[JobResponse, int, float]] = field(factory=list)  # tasks, due after s
    pending: int = 0
    stopped: bool = False
    _abandoned: list[CallerChannel] = field(factory=list)

    async def async_run(self) -> None:
        """Run all callers until each has finished its last job."""
        count = CHANNELS_PER_ENTRY * len(self.deployment.entries)
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self._async_call, number)

    async def _async_call(self, number: int) -> None:
        """Send jobs, always to the next entry after a loss."""
        rng = random.Random(f"channels {self.seed} {number}")
        lost: list[CallerJob] = []
        while lost or not self.stopped:
            entry = self.deployment.entries[number % len(self.deployment.entries)]
            number += 1
            try:
                channel = await CallerChannel.async_open(entry.url)
            except OSError:
                await trio.sleep(RECONNECT_S)
                continue
            lost = await self._async_use(channel, rng, lost)
            if lost:
                await trio.sleep(RESEND_DELAY_S)

    async def _async_use(
        self, channel: CallerChannel, rng: random.Random, first: list[CallerJob]
    ) -> list[CallerJob]:
        """Use a channel until it ends or its caller leaves; return the jobs to send again."""
        while first or not self.stopped:
            jobs = first or self._new_jobs(rng)
            first = []
            leaves = rng.random() < LEAVE_SHARE
            leave_after_s = rng.uniform(*LEAVE_AFTER_S) if leaves else jobs[0].deadline_s
            ended = await self._async_exchange(channel, jobs, leave_after_s)
            if any(job.replies[-1] == LOST for job in jobs):
                await self._async_leave(channel, Leaving.CLOSE if ended else self._leaving(rng))
                return [job for job in jobs if not job.is_over]
            if lost := [job for job in jobs if not job.is_over]:
                await channel.async_close()
                return lost
            await trio.sleep(rng.uniform(*PAUSE_S))
        await channel.async_close()
        return []

    def _new_jobs(self, rng: random.Random) -> list[CallerJob]:
        """Return the jobs to send next, the second one before the first is answered."""
        count = 2 if rng.random() < PIPELINED_SHARE else 1
        jobs = [
            CallerJob(
                secrets.token_hex(8),
                rng.randint(1, 3),
                rng.choice(RUN_S),
                rng.choice(DEADLINES_S),
                trio.current_time(),
            )
            for _ in range(count)
        ]
        self.pending += count
        return jobs

    async def _async_exchange(
        self, channel: CallerChannel, jobs: list[CallerJob], limit_s: float
    ) -> bool:
        """Send jobs and wait for their answers; return whether the channel has ended."""
        until_s = trio.current_time() + limit_s
        lost = ended = False
        try:
            for job in jobs:
                await channel.async_send_job(job.key, job.tasks, job.run_s, job.deadline_s)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            lost = ended = True
        ahead_answered_at_s = -math.inf
        for job in jobs:
            left_s = max(0.0, until_s - trio.current_time())
            if not lost:
                reply = await channel.async_read_reply(left_s)
                lost = reply == LOST
                ended = lost and trio.current_time() < until_s
            due_s = answer_due_s(job.deadline_s, ahead_answered_at_s - job.first_sent_s)
            self._record(job, LOST if lost else reply, due_s)
            ahead_answered_at_s = trio.current_time()
        return ended

    def _record(self, job: CallerJob, reply: JobReply, due_s: float) -> None:
        job.replies.append(reply)
        if job.is_over:
            self.pending -= 1
            self.answers.append((job.response(trio.current_time()), job.tasks, due_s))

    def _leaving(self, rng: random.Random) -> Leaving:
        return rng.choice((Leaving.OPEN, Leaving.OPEN, Leaving.CLOSE, Leaving.RESET))

    async def _async_leave(self, channel: CallerChannel, leaving: Leaving) -> None:
        if leaving == Leaving.OPEN:
            self._abandoned.append(channel)
        elif leaving == Leaving.RESET:
            channel.reset()
        else:
            await channel.async_close()
