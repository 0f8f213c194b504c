"""Seeded open-loop workloads: when each job arrives, and how long each of its tasks runs."""

import json

import numpy as np
from attrs import frozen

MIN_RUN_S = 0.05
MAX_RUN_S = 1.0
RUN_SIGMA = 0.1


@frozen
class Arrival:
    """One job: its time of arrival, its member, and its tasks' run times at slowness 1."""

    at_s: float
    member: str
    run_s: tuple[float, ...]

    def payloads(self) -> list[bytes]:
        """Return the tasks' payloads."""
        return [json.dumps({"run_s": round(item, 4)}).encode() for item in self.run_s]


@frozen
class Stream:
    """A Poisson stream of one member's jobs, from and until a time."""

    member: str
    jobs_per_s: float
    tasks: int
    run_s: float
    from_s: float
    until_s: float


def arrivals(streams: list[Stream], seed: int) -> list[Arrival]:
    """Return all jobs of some streams in order of arrival."""
    rng = np.random.default_rng(seed)
    found = [arrival for stream in streams for arrival in _stream(stream, rng)]
    return sorted(found, key=lambda arrival: arrival.at_s)


def _stream(stream: Stream, rng: np.random.Generator) -> list[Arrival]:
    found = []
    at_s = stream.from_s + rng.exponential(1 / stream.jobs_per_s)
    while at_s < stream.until_s:
        logs = rng.normal(np.log(stream.run_s), RUN_SIGMA, stream.tasks)
        runs = np.clip(np.exp(logs), MIN_RUN_S, MAX_RUN_S)
        found.append(Arrival(float(at_s), stream.member, tuple(map(float, runs))))
        at_s += rng.exponential(1 / stream.jobs_per_s)
    return found
