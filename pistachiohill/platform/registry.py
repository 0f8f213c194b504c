"""HTTP endpoints at which a runner announces itself to its agent."""

import math
import re
from collections.abc import Callable

from .. import clock, logs
from ..http.app import Route, route
from ..http.models import Request, Response, invalid, json_response
from ..scheduling.models import Demand
from .address import parse_runner_address
from .announcement_order import AnnouncementOrder
from .const import (
    MAX_ANNOUNCEMENT_ITEMS,
    MAX_CLOCK_SKEW_S,
    MAX_CPU_M,
    MAX_MEM_MB,
    MAX_RUNNER_CLOCK_MS,
    MAX_SERVICE_CHARS,
    PATH_INSTANCE,
)
from .errors import WireError
from .models import RunnerAnnouncement
from .wire import (
    Fields,
    decode_object,
    read_int,
    read_list,
    read_name,
    read_str,
    require_object,
)

RUNNER_ID_PATTERN = re.compile(r"[!-~]{1,128}")  # fits into a header of a request
LEAVING_BY_STATE = {"ready": False, "draining": True}


def decode_announcement(runner_id: str, body: bytes) -> RunnerAnnouncement:
    """Decode a runner's announcement; raise WireError if it is malformed."""
    fields = decode_object(body, MAX_ANNOUNCEMENT_ITEMS)
    state = read_str(fields, "state")
    if state not in LEAVING_BY_STATE:
        raise WireError(f"state: unknown state {state!r}")
    capacity = require_object(fields.get("capacity"), "capacity")
    _check_unused(fields, capacity)
    return RunnerAnnouncement(
        runner_id=require_runner_id(runner_id),
        born_ms=read_int(fields, "born", 0),
        sequence=read_int(fields, "seq"),
        service=read_name(fields, "service", MAX_SERVICE_CHARS),
        address=str(parse_runner_address(read_str(fields, "address"))),
        capacity=Demand(
            read_int(capacity, "cpu", maximum=MAX_CPU_M),
            read_int(capacity, "memMb", maximum=MAX_MEM_MB),
        ),
        leaving=LEAVING_BY_STATE[state],
        clock_s=read_int(fields, "clockMs", maximum=MAX_RUNNER_CLOCK_MS) / 1000,
        remaining_s=_read_remaining_s(fields) if LEAVING_BY_STATE[state] else math.inf,
    )


def _read_remaining_s(fields: Fields) -> float:
    """Return the minimum time that a leaving runner is left, infinite if it doesn't say."""
    return read_int(fields, "remainingMs") / 1000 if "remainingMs" in fields else math.inf


def _check_unused(fields: Fields, capacity: Fields) -> None:
    """Raise WireError if a field that this product has no use for is missing or of another type.

    Such an announcement comes from another writer, so that nothing of it may be used.
    """
    for name in ("zone", "version"):
        read_str(fields, name)
    for name in ("slots", "coldLeftMs"):
        read_int(fields, name)
    read_int(fields, "remainingMs", 0)  # only while the runner drains
    read_int(capacity, "gpu")
    if not all(isinstance(label, str) for label in read_list(fields, "labels")):
        raise WireError("labels: expected strings")


def require_runner_id(runner_id: str) -> str:
    """Return a runner's id; raise WireError if no request could name it."""
    if not RUNNER_ID_PATTERN.fullmatch(runner_id):
        raise WireError("id: expected 1 to 128 printable ASCII characters")
    return runner_id


def require_past_start(announcement: RunnerAnnouncement, now_wall_s: float) -> None:
    """Raise WireError if a runner claims to have started later than now, by the clock of the day.

    The two processes may read clocks that differ.
    """
    if announcement.born_ms / 1000 > now_wall_s + MAX_CLOCK_SKEW_S:
        raise WireError("born: later than now")


class RunnerRegistry:
    """Receives the announcements of a runner and tells those that arrive out of order apart."""

    def __init__(
        self,
        on_announcement: Callable[[RunnerAnnouncement, float], None],
        on_out_of_order: Callable[[RunnerAnnouncement, float], None],
        on_deregister: Callable[[str, float], None],
    ) -> None:
        """Initialize the registry.

        `on_announcement` is called with each new announcement, `on_out_of_order` with each other
        one that is well-formed, `on_deregister` with the id of a runner that has ended; the second
        argument of all three is the current boot-clock time.
        """
        self._on_announcement = on_announcement
        self._on_out_of_order = on_out_of_order
        self._on_deregister = on_deregister
        self._order = AnnouncementOrder()

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the registry."""
        return [
            route("PUT", PATH_INSTANCE, self._async_put),
            route("DELETE", PATH_INSTANCE, self._async_delete),
        ]

    async def _async_put(self, request: Request) -> Response:
        try:
            announcement = decode_announcement(request.path_values[0], request.body)
            require_past_start(announcement, clock.wall_s())
        except WireError as err:
            logs.warning("announcement_refused", runner=request.path_values[0], detail=err)
            raise invalid("body", str(err)) from err
        now_s = clock.boot_s()
        if not self._order.accepts(announcement, now_s):
            logs.event(
                "announcement_out_of_order",
                runner=announcement.runner_id,
                sequence=announcement.sequence,
            )
            self._on_out_of_order(announcement, now_s)
            return json_response({})
        self._on_announcement(announcement, now_s)
        return json_response({})

    async def _async_delete(self, request: Request) -> Response:
        try:
            runner_id = require_runner_id(request.path_values[0])
        except WireError as err:
            logs.warning("deregistration_refused", runner=request.path_values[0], detail=err)
            raise invalid("id", str(err)) from err
        logs.event("runner_deregistered", runner=runner_id)
        self._order.deregister(runner_id)
        self._on_deregister(runner_id, clock.boot_s())
        return json_response({})
