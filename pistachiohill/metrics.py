"""Labels and histogram buckets shared by the Prometheus metrics of entries and agents."""

from typing import Final

MAX_LABEL_PAIRS: Final = 500
OTHER_LABEL: Final = "other"
DURATION_BUCKETS_S: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0)


class JobLabels:
    """Limits the number of (member, job) label pairs; further pairs are labelled `other`."""

    def __init__(self) -> None:
        """Initialize with no label pairs."""
        self._pairs: set[tuple[str, str]] = set()

    def labels_for(self, member: str, job: str) -> tuple[str, str]:
        """Return the labels to use for a member's job."""
        if (member, job) in self._pairs:
            return member, job
        if len(self._pairs) >= MAX_LABEL_PAIRS:
            return OTHER_LABEL, OTHER_LABEL
        self._pairs.add((member, job))
        return member, job
