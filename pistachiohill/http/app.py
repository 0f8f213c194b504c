"""ASGI application with route matching, for any of the HTTP servers."""

import re
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from attrs import evolve, frozen

from .. import logs
from ..errors import RefusalReason, Verdict
from .models import Handler, HttpError, Problem, Request, Response, parse_query, problem_response

BODY_TIMEOUT_S = 15.0
KEEP_ALIVE_TIMEOUT_S = 75.0
MAX_HEADER_BYTES = 32 * 1024
Scope = dict[str, Any]
AsgiApp = Callable[
    [Scope, Callable[[], Awaitable[Scope]], Callable[[Scope], Awaitable[None]]], Awaitable[None]
]


@frozen
class Route:
    """A handler for a method and a path pattern; the pattern's groups become `path_values`."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


def route(method: str, path: str, handler: Handler) -> Route:
    """Create a route; `{}` in the path matches one segment."""
    pattern = "/".join("([^/]+)" if part == "{}" else re.escape(part) for part in path.split("/"))
    return Route(method, re.compile(pattern), handler)


class HttpApp:
    """An ASGI application that dispatches requests to routes."""

    def __init__(self, routes: list[Route], max_body_bytes: int) -> None:
        """Initialize with routes; bodies over `max_body_bytes` are refused with status 413."""
        self._routes = routes
        self._max_body_bytes = max_body_bytes

    def add_route(self, new_route: Route) -> None:
        """Add a route."""
        self._routes.append(new_route)

    async def __call__(
        self,
        scope: Scope,
        receive: Callable[[], Awaitable[Scope]],
        send: Callable[[Scope], Awaitable[None]],
    ) -> None:
        """Handle one ASGI scope: an HTTP request or the lifespan."""
        if scope["type"] != "http":
            await async_handle_lifespan(scope, receive, send)
            return
        await async_send_response(send, await self._async_respond(scope, receive))

    async def async_handle(self, request: Request) -> Response:
        """Return the response to a request whose body has been read."""
        try:
            matched, path_values = self._match_route(request.method, request.path)
            return await matched.handler(evolve(request, path_values=path_values))
        except HttpError as err:
            return problem_response(err.problem)
        except Exception as err:
            logs.warning("handler_failed", path=request.path, error=repr(err))
            detail = "internal error; see the log"
            return problem_response(
                Problem(500, RefusalReason.INVALID, Verdict.MAY_HAVE_RUN, detail)
            )

    async def _async_respond(
        self, scope: Scope, receive: Callable[[], Awaitable[Scope]]
    ) -> Response:
        try:
            self._match_route(scope["method"], scope["path"])
            body = await async_read_body(receive, self._max_body_bytes)
        except HttpError as err:
            return problem_response(err.problem)
        return await self.async_handle(
            Request(
                method=scope["method"],
                path=scope["path"],
                query=parse_query(scope["query_string"]),
                headers={n.decode("latin-1"): v.decode("latin-1") for n, v in scope["headers"]},
                body=body,
            )
        )

    def _match_route(self, method: str, path: str) -> tuple[Route, tuple[str, ...]]:
        allowed = []
        for candidate in self._routes:
            match = candidate.pattern.fullmatch(path)
            if match and candidate.method == method:
                return candidate, match.groups()
            if match:
                allowed.append(candidate.method)
        status = 405 if allowed else 404
        detail = f"allowed: {', '.join(allowed)}" if allowed else "no such path"
        raise HttpError(Problem(status, RefusalReason.INVALID, Verdict.NOT_RUN, detail, "path"))


class BodyError(HttpError):
    """Raised if a request's body is truncated, too large or too slow, with the verdict NOT_RUN."""


async def async_send_response(send: Callable[[Scope], Awaitable[None]], response: Response) -> None:
    """Send a response over ASGI, with its content type and length."""
    headers = [(b"content-type", response.content_type.encode())]
    headers.append((b"content-length", str(len(response.body)).encode()))
    headers += [(name.encode(), value.encode()) for name, value in response.headers.items()]
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body})


async def async_read_body(receive: Callable[[], Awaitable[Scope]], max_body_bytes: int) -> bytes:
    """Read a request's whole body; raise BodyError if it is truncated, too large or too slow."""
    chunks: list[bytes] = []
    size_bytes = 0
    with trio.move_on_after(BODY_TIMEOUT_S):
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                raise _body_error(400, "the body was cut off")
            chunk = event.get("body", b"")
            size_bytes += len(chunk)
            if size_bytes > max_body_bytes:
                raise _body_error(413, f"more than {max_body_bytes} bytes")
            chunks.append(chunk)
            if not event.get("more_body", False):
                return b"".join(chunks)
    raise _body_error(408, f"not complete after {BODY_TIMEOUT_S:g} s")


def _body_error(status: int, detail: str) -> BodyError:
    return BodyError(Problem(status, RefusalReason.INVALID, Verdict.NOT_RUN, detail, "body"))


async def async_handle_lifespan(
    scope: Scope,
    receive: Callable[[], Awaitable[Scope]],
    send: Callable[[Scope], Awaitable[None]],
) -> None:
    """Acknowledge the lifespan events startup and shutdown; ignore other scope types."""
    if scope["type"] != "lifespan":
        return
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return
