"""Waiting submissions of one service, in the order in which they are served."""

from typing import NamedTuple

from attrs import define, field

from ..scheduling.fair_queue import FairQueue
from ..scheduling.urgency import Urgency
from ..submissions.models import Submission


class ServiceClass(NamedTuple):
    """Waiting submissions that are served together; classes are served in ascending order."""

    priority: int
    urgency: Urgency


@define
class ServiceQueue:
    """The waiting submissions of one service by class, and the number of waiting tasks."""

    by_class: dict[ServiceClass, FairQueue[Submission]] = field(factory=dict)
    waiting_tasks: int = 0

    def queue_for(self, priority: int, waits_as: Urgency) -> FairQueue[Submission]:
        """Return the queue of a class, creating it if needed."""
        return self.by_class.setdefault(ServiceClass(priority, waits_as), FairQueue())

    def queue_of(self, submission: Submission) -> FairQueue[Submission]:
        """Return the queue in which a submission waits or is to wait."""
        return self.queue_for(submission.settings.priority, submission.urgency)

    def nonempty_queues(self) -> list[FairQueue[Submission]]:
        """Return the queues with submissions in order of service."""
        return [queue for _, queue in self.nonempty_classes()]

    def nonempty_classes(self) -> list[tuple[ServiceClass, FairQueue[Submission]]]:
        """Return the classes with submissions and their queues, in order of service."""
        return [(key, queue) for key, queue in sorted(self.by_class.items()) if queue]

    def queues_up_to(self, last: ServiceClass) -> list[FairQueue[Submission]]:
        """Return the queues that are served before or with a class."""
        return [queue for key, queue in sorted(self.by_class.items()) if key <= last]

    def on_time_by_priority(self, count: int) -> list[list[Submission]]:
        """Return the submissions that can meet their goals, by priority; the last has the rest."""
        found: list[list[Submission]] = [[] for _ in range(count)]
        for key, queue in self.by_class.items():
            if key.urgency == Urgency.ON_TIME:
                found[min(key.priority, count - 1)] += queue.all_items()
        return found

    def all_items(self) -> list[Submission]:
        """Return all waiting submissions."""
        return [item for queue in self.by_class.values() for item in queue.all_items()]

    def items_of(self, member: str) -> list[Submission]:
        """Return all waiting submissions of a member."""
        return [item for queue in self.by_class.values() for item in queue.items_of(member)]
