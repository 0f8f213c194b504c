"""Random simulations of entries that get one job again and again, as their caller leaves unseen.

Entries run the real `JobHolders`; their jobs are a model: a job runs until it is released or its
time limit is over, and its runs end a while later. Messages take time, links are reset, requests
are read late, and entries are killed, whose runs outlast them by as much as their leases allow.
"""

import random

from attrs import define, field

from pistachiohill.agent.const import RUNS_END_S
from pistachiohill.entry.const import HELD_TICK_S, OLD_REQUEST_S, RELEASE_POLL_S
from pistachiohill.entry.job_holders import Holding, JobHolders, Release
from pistachiohill.protocol.models import JobReleased, JobsHeld, Message, ReleaseJob

from ..base import TestCase

KEY = "5c0e7a21d94b36f8"
SEEDS = 600
ENTRIES = 3
STEP_S = 0.01
RESEND_S = 1.3  # resendMs in the users' requirements
TIME_LIMIT_S = 6.0
LEAVE_AFTER_S = (0.05, 1.5)
READ_LATE_S = (0.2, 2.5)
DELAY_S = (0.001, 0.05)
STOP_S = (0.02, 0.4)
RESET_S = (0.0, 0.2)  # how long two entries are without a link
VIEW_INTERVAL_S = 1.0
SENDS = 5
END_S = 20.0


@define(eq=False)
class SimulatedRequest:
    """A request for the job, which is read some time after it was sent."""

    sent_at_s: float
    read_at_s: float
    asked_others: bool = False
    over: bool = False


@define(eq=False)
class SimulatedLink:
    received_at_s: float = 0.0
    open_from_s: float = 0.0


@define(eq=False)
class SimulatedEntry:
    """An entry with at most one job; `runs_until_s` is when the last task has ended."""

    name: str
    world: "World"
    request: SimulatedRequest | None = None
    accepted_at_s: float | None = None
    runs_until_s: float = -1.0
    killed: bool = False
    links: dict[str, SimulatedLink] = field(factory=dict)
    holders: JobHolders = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.holders = JobHolders(self)  # type: ignore[arg-type]
        self.holders.set_jobs(self)

    # Interface of the jobs

    def runs(self, now_s: float) -> bool:
        return self.accepted_at_s is not None or now_s < self.runs_until_s

    def held_keys(self, before_s: float) -> set[str]:
        requested = self.request is not None and self.request.sent_at_s < before_s
        accepted = self.accepted_at_s is not None and requested
        return {KEY} if accepted or self.world.now_s < self.runs_until_s else set()

    def age_s(self, key: str, now_s: float) -> float | None:
        if self.accepted_at_s is None or self.request is None:
            return None
        return now_s - self.request.sent_at_s

    def release(self, key: str, age_s: float, entry: str, now_s: float) -> Release:
        if self.request is not None and not self.request.over:
            if now_s - self.request.sent_at_s < age_s:
                return Release.KEPT
            self.end_job(now_s)
        return Release.ENDING if self.runs(now_s) else Release.ENDED

    def end_job(self, now_s: float) -> None:
        """Stop the tasks, which takes a while, and forget the request."""
        if self.request is not None:
            self.request.over = True
        if self.accepted_at_s is not None:
            self.runs_until_s = now_s + self.world.rng.uniform(*STOP_S)
        self.request = self.accepted_at_s = None

    # Interface of the links

    def find_link(self, incarnation: str) -> "Sender | None":
        link = self.links[incarnation]
        peer = self.world.entries[incarnation]
        if self.killed or peer.killed or self.world.now_s < link.open_from_s:
            return None
        return Sender(self, peer, link.received_at_s)

    def incarnations(self) -> set[str]:
        return {name for name in self.links if self.find_link(name) is not None}

    # Behaviour

    def step(self, now_s: float) -> None:
        request = self.request
        if request is None or now_s < request.read_at_s:
            return
        if now_s > request.sent_at_s + TIME_LIMIT_S:
            self.end_job(now_s)
            return
        if self.accepted_at_s is not None or now_s < self.runs_until_s:
            return
        age_s = now_s - request.sent_at_s
        holding = self.holders.check(KEY, age_s, now_s)
        if holding == Holding.FREE and age_s > OLD_REQUEST_S and not request.asked_others:
            request.asked_others = True
            self.holders.suspect_all(KEY, now_s)
            holding = self.holders.check(KEY, age_s, now_s)
        if holding == Holding.FREE:
            self.accepted_at_s = now_s
        elif holding == Holding.KEPT:
            self.end_job(now_s)


@define(eq=False)
class Sender:
    """What `JobHolders` sees of a link."""

    sender: SimulatedEntry
    receiver: SimulatedEntry
    received_at_s: float

    def send(self, message: Message) -> None:
        self.sender.world.send(self.sender, self.receiver, message)


class World:
    """Entries, the messages between them, and the caller."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        names = [f"entry-{number}" for number in range(ENTRIES)]
        self.entries: dict[str, SimulatedEntry] = {}
        for name in names:
            self.entries[name] = SimulatedEntry(name, self)
        for entry in self.entries.values():
            entry.links = {name: SimulatedLink() for name in names if name != entry.name}
        self._messages: list[tuple[float, int, SimulatedEntry, SimulatedEntry, Message]] = []
        self._sent = 0
        self._sends_left = SENDS
        self._next_send_s = 0.1
        self._next_entry = self.rng.randrange(ENTRIES)

    def send(self, sender: SimulatedEntry, receiver: SimulatedEntry, message: Message) -> None:
        """Deliver a message later, in the order of the link."""
        self._sent += 1
        at_s = self.now_s + self.rng.uniform(*DELAY_S)
        earlier = [item[0] for item in self._messages if item[2:4] == (sender, receiver)]
        self._messages.append((max([at_s, *earlier]), self._sent, sender, receiver, message))

    def run(self) -> list[str]:
        """Run to the end, and return the entries that ran the job together, if there were any."""
        ticks: dict[str, float] = {name: self.rng.uniform(0, HELD_TICK_S) for name in self.entries}
        next_view_s = 0.0
        while self.now_s < END_S:
            self.now_s += STEP_S
            self._call()
            self._disturb()
            self._deliver()
            if self.now_s >= next_view_s:
                next_view_s += VIEW_INTERVAL_S
                self._exchange_views()
            for name, entry in self.entries.items():
                if entry.killed:
                    continue
                entry.step(self.now_s)
                entry.holders.answer_askers(self.now_s)
                if self.now_s >= ticks[name]:
                    ticks[name] = self.now_s + HELD_TICK_S + self.rng.uniform(0, RELEASE_POLL_S)
                    entry.holders.announce(self.now_s)
            running = [name for name, entry in self.entries.items() if entry.runs(self.now_s)]
            if len(running) > 1:
                return running
        return []

    def _call(self) -> None:
        """Send the job when its time has come; the caller leaves it without being seen."""
        if not self._sends_left or self.now_s < self._next_send_s:
            return
        self._sends_left -= 1
        entry = list(self.entries.values())[self._next_entry]
        late_s = self.rng.uniform(*READ_LATE_S) if self.rng.random() < 0.3 else 0.0
        if not entry.killed and entry.request is None:
            entry.request = SimulatedRequest(self.now_s, self.now_s + late_s)
        self._next_send_s = self.now_s + self.rng.uniform(*LEAVE_AFTER_S) + RESEND_S
        self._next_entry = (self._next_entry + self.rng.randint(1, ENTRIES - 1)) % ENTRIES

    def _disturb(self) -> None:
        if self.rng.random() < 0.3 * STEP_S:
            first, second = self.rng.sample(list(self.entries.values()), 2)
            self._reset(first, second, self.now_s + self.rng.uniform(*RESET_S))
        killed = any(entry.killed for entry in self.entries.values())
        if not killed and self.rng.random() < 0.05 * STEP_S:
            self._kill(self.rng.choice(list(self.entries.values())))

    def _kill(self, entry: SimulatedEntry) -> None:
        for other in self.entries.values():
            if other is not entry:
                self._reset(entry, other, self.now_s)
        entry.killed = True
        if entry.accepted_at_s is not None:
            entry.runs_until_s = self.now_s + self.rng.uniform(0.0, RUNS_END_S)
        entry.request = entry.accepted_at_s = None

    def _reset(self, first: SimulatedEntry, second: SimulatedEntry, until_s: float) -> None:
        """Lose what is under way between two entries; they are linked again later."""
        pair = {first, second}
        self._messages = [item for item in self._messages if {item[2], item[3]} != pair]
        for entry, other in ((first, second), (second, first)):
            link = entry.links[other.name]
            entry.holders.peer_unlinked(other.name, link.received_at_s, self.now_s)
            link.open_from_s = until_s
            link.received_at_s = self.now_s

    def _exchange_views(self) -> None:
        """Let all linked entries hear of each other, and of held jobs after a new link."""
        for entry in self.entries.values():
            for name, link in entry.links.items():
                if entry.find_link(name) is not None:
                    link.received_at_s = self.now_s

    def _deliver(self) -> None:
        self._relink()
        due = sorted(item for item in self._messages if item[0] <= self.now_s)
        self._messages = [item for item in self._messages if item[0] > self.now_s]
        for _, _, sender, receiver, message in due:
            if receiver.killed:
                continue
            receiver.links[sender.name].received_at_s = self.now_s
            if isinstance(message, JobsHeld):
                receiver.holders.jobs_held(sender.name, message, self.now_s)
            elif isinstance(message, ReleaseJob):
                receiver.holders.release_requested(sender.name, message, self.now_s)
            elif isinstance(message, JobReleased):
                receiver.holders.job_released(sender.name, message, self.now_s)

    def _relink(self) -> None:
        for entry in self.entries.values():
            for name, link in entry.links.items():
                if 0.0 < link.open_from_s <= self.now_s and not entry.killed:
                    link.open_from_s = 0.0
                    if not self.entries[name].killed:
                        entry.holders.peer_linked(name, self.now_s)


class JobHoldersSimulationTest(TestCase):
    def test_no_job_runs_at_two_entries(self) -> None:
        found = {seed: running for seed in range(SEEDS) if (running := World(seed).run())}
        self.assertEqual({}, found)
