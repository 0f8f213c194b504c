"""Seeded open-loop workloads: arrival times of jobs and run times of their tasks."""

import json

import numpy as np
from attrs import frozen

MIN_RUN_S = 0.05
MAX_RUN_S = 1.0
RUN_SIGMA = 0.1


@frozen
class Arrival:
    """One job: its arrival time, its member, and the run times of its tasks at slowness 1."""

    at_s: float
    member: str
    run_s: tuple[float, ...]

    def payloads(self) -> list[bytes]:
        """Return the payloads of the tasks."""
        return [json.dumps({"run_s": round(item, 4)}).encode() for item in self.run_s]


@frozen
class Stream:
    """Jobs of one member with Poisson arrivals between two times."""

    member: str
    jobs_per_s: float
    tasks: int
    run_s: float
    start_s: float
    end_s: float


def arrivals(streams: list[Stream], seed: int) -> list[Arrival]:
    """Return the jobs of all streams in order of arrival."""
    rng = np.random.default_rng(seed)
    generated = [arrival for stream in streams for arrival in _generate_arrivals(stream, rng)]
    return sorted(generated, key=lambda arrival: arrival.at_s)


def _generate_arrivals(stream: Stream, rng: np.random.Generator) -> list[Arrival]:
    generated = []
    at_s = stream.start_s + rng.exponential(1 / stream.jobs_per_s)
    while at_s < stream.end_s:
        log_run_s = rng.normal(np.log(stream.run_s), RUN_SIGMA, stream.tasks)
        run_s = np.clip(np.exp(log_run_s), MIN_RUN_S, MAX_RUN_S)
        generated.append(Arrival(float(at_s), stream.member, tuple(map(float, run_s))))
        at_s += rng.exponential(1 / stream.jobs_per_s)
    return generated
