"""Fencing tokens of an agent's requests to its runner."""

import random

from .const import TOKENS_PER_MS


def initial_token(now_wall_s: float) -> int:
    """Return a token from the wall clock that is probably above the tokens of earlier processes.

    The random part makes it unlikely that two processes get the same token. If the wall clock was
    set back, the runner reports that it has seen a higher token, and the agent raises its own.
    """
    return int(now_wall_s * 1000) * TOKENS_PER_MS + random.randrange(TOKENS_PER_MS)
