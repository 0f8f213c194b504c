"""Open-loop load: every job is sent at its arrival time, regardless of earlier responses."""

import trio
from attrs import define

from pistachiohill.client import Client, ClientError, JobComplete
from standins.deployment import Deployment

from .workload import Arrival


@define
class Sample:
    """Outcome of one job; the response time is measured from the scheduled arrival."""

    arrival: Arrival
    response_s: float
    complete: bool
    reason: str = ""


async def async_run_load(
    deployment: Deployment, arrivals: list[Arrival], job: str, deadline_s: float
) -> list[Sample]:
    """Send all jobs at their arrival times and return their outcomes in order of arrival."""
    clients = {
        (member.name, entry): deployment.client(member.name, [entry])
        for member in deployment.spec.members
        for entry in range(len(deployment.entries))
    }
    samples: dict[int, Sample] = {}
    started_s = trio.current_time()

    async def async_submit_arrival(number: int, arrival: Arrival, client: Client) -> None:
        await trio.sleep_until(started_s + arrival.at_s)
        complete, reason = False, ""
        try:
            (submission_id,) = await client.async_ids(1, job)
            result = await client.async_submit(submission_id, job, arrival.payloads(), deadline_s)
            complete = isinstance(result, JobComplete)
            reason = getattr(result, "reason", "")
        except ClientError as err:
            reason = str(err)
        response_s = trio.current_time() - started_s - arrival.at_s
        samples[number] = Sample(arrival, response_s, complete, reason)

    async with trio.open_nursery() as nursery:
        for number, arrival in enumerate(arrivals):
            client = clients[(arrival.member, number % len(deployment.entries))]
            nursery.start_soon(async_submit_arrival, number, arrival, client)
    for client in clients.values():
        await client.async_close()
    return [samples[number] for number in sorted(samples)]
