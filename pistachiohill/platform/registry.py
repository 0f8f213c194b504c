"""The runner's announcements at the agent beside it."""

from collections.abc import Callable

from .. import clock, logs
from ..http.models import Request, Response, invalid, json_response
from ..http.server import Route, route
from ..scheduling.models import Demand
from .const import PATH_INSTANCE
from .errors import WireError
from .models import RunnerBeat
from .wire import as_object, read_int, read_object, read_str

LEAVING_STATES = {"ready": False, "draining": True}


def decode_beat(runner_id: str, body: bytes) -> RunnerBeat:
    """Return what a runner says of itself; raise WireError when it can't be used."""
    fields = read_object(body)
    state = read_str(fields, "state")
    if state not in LEAVING_STATES:
        raise WireError(f"state: unknown state {state!r}")
    capacity = as_object(fields.get("capacity"), "capacity")
    return RunnerBeat(
        runner_id=runner_id,
        born_ms=read_int(fields, "born", 0),
        sequence=read_int(fields, "seq"),
        service=read_str(fields, "service"),
        address=read_str(fields, "address"),
        room=Demand(read_int(capacity, "cpu"), read_int(capacity, "memMb")),
        leaving=LEAVING_STATES[state],
        clock_s=read_int(fields, "clockMs", 0) / 1000,
    )


class RunnerRegistry:
    """Routes to which the runner announces itself, and the order in which it did."""

    def __init__(
        self,
        announced: Callable[[RunnerBeat, float], None],
        gone: Callable[[str, float], None],
    ) -> None:
        """Hand announcements on; `gone` hears of a runner that has ended."""
        self._announced = announced
        self._gone = gone
        self._latest: tuple[int, int] = (0, 0)

    def routes(self) -> list[Route]:
        """Return the routes of this interface."""
        return [
            route("PUT", PATH_INSTANCE, self._async_put),
            route("DELETE", PATH_INSTANCE, self._async_delete),
        ]

    async def _async_put(self, request: Request) -> Response:
        try:
            beat = decode_beat(request.path_values[0], request.body)
        except WireError as err:
            logs.warning("announcement_refused", runner=request.path_values[0], detail=err)
            raise invalid("body", str(err)) from err
        order = (beat.born_ms, beat.sequence)
        if order <= self._latest:
            logs.event("announcement_late", runner=beat.runner_id, sequence=beat.sequence)
            return json_response({})
        self._latest = order
        self._announced(beat, clock.boot_s())
        return json_response({})

    async def _async_delete(self, request: Request) -> Response:
        logs.event("runner_gone", runner=request.path_values[0])
        self._gone(request.path_values[0], clock.boot_s())
        return json_response({})
