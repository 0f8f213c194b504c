"""Which runner an agent uses, and what a runner that has answered means for it.

An agent has one runner at a time. A runner may restart under its id, move to another address or be
replaced by one with another id, whose predecessor's runs then have to end first.
"""

import math
from enum import Enum, auto

from attrs import define

from .. import logs
from .models import RunnerIdentity
from .runner_discovery import ConfirmedRunner


class Change(Enum):
    """What the answer of a runner changes."""

    NOTHING = auto()  # it is older than what is known
    SAME = auto()
    ADDRESS = auto()
    REPLACED = auto()
    AWAITED = auto()  # until the runs at the present runner have ended


@define
class RunnerInUse:
    """The runner in use, and the one that follows it.

    Fields:
        identity: The runner in use, None before any has answered.
        identified_at_s: Boot time at which it last answered under this identity.
        successor: The runner to use once the runs at the present one have ended.
        shut_down: Whether it has said that it ends, and has not answered since.
    """

    identity: RunnerIdentity | None = None
    identified_at_s: float = -math.inf
    successor: RunnerIdentity | None = None
    shut_down: bool = False

    def is_usable(self) -> bool:
        """Return whether runs may be started at the runner."""
        return self.identity is not None and self.successor is None and not self.shut_down

    def change_by(self, confirmed: ConfirmedRunner, has_runs: bool) -> Change:
        """Return what the answer of a runner changes.

        The runs of the present one have ended if the new one has the same id or address. Otherwise
        they are awaited.
        """
        known, identity = self.identity, confirmed.identity
        if confirmed.sent_at_s < self.identified_at_s:
            return Change.NOTHING
        if identity == known:
            return Change.SAME
        if known is None or not has_runs:
            return Change.REPLACED
        if (identity.runner_id, identity.born_ms) == (known.runner_id, known.born_ms):
            return Change.ADDRESS
        if identity.runner_id == known.runner_id or identity.address == known.address:
            return Change.REPLACED
        return Change.AWAITED

    def use(self, identity: RunnerIdentity, now_s: float) -> None:
        """Use a runner that has answered."""
        self.identity = identity
        self.identified_at_s = now_s
        self.successor = None
        self.shut_down = False

    def log_replacement(self, identity: RunnerIdentity, runs: int) -> None:
        """Log that another runner or incarnation is used from now on."""
        known = self.identity
        logs.event(
            "runner_met",
            runner=identity.runner_id,
            born_ms=identity.born_ms,
            address=identity.address,
            runs=runs,
            known_runner=known.runner_id if known is not None else "",
            known_born_ms=known.born_ms if known is not None else 0,
        )
