"""Tests of the HTTP layer: routing, body limits and problem details that name the field."""

import json
from typing import Any

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.http.app import HttpApp, route
from pistachiohill.http.models import Request, Response, invalid, json_response, parse_query

from ..base import TestCase


async def async_echo(request: Request) -> Response:
    return json_response({"path": request.path_values, "body": request.body.decode()})


async def async_refuse(request: Request) -> Response:
    raise invalid("name", "expected a name")


async def async_fail(request: Request) -> Response:
    raise RuntimeError("fault")


APP = HttpApp(
    [
        route("POST", "/echo/{}", async_echo),
        route("GET", "/refuse", async_refuse),
        route("GET", "/fail", async_fail),
    ],
    max_body_bytes=10,
)


async def async_call(method: str, path: str, chunks: list[bytes]) -> tuple[int, dict[str, Any]]:
    """Call the application with ASGI events; return the response's status and JSON body."""
    scope = {"type": "http", "method": method, "path": path, "query_string": b"", "headers": []}
    events = [
        {"type": "http.request", "body": chunk, "more_body": index + 1 < len(chunks)}
        for index, chunk in enumerate(chunks)
    ]
    sent: list[dict[str, Any]] = []

    async def async_receive() -> dict[str, Any]:
        return events.pop(0) if events else {"type": "http.disconnect"}

    async def async_send(event: dict[str, Any]) -> None:
        sent.append(event)

    await APP(scope, async_receive, async_send)
    return sent[0]["status"], json.loads(sent[1]["body"])


class ServerTest(TestCase):
    async def test_routes_and_allowed_methods(self) -> None:
        status, value = await async_call("POST", "/echo/x", [b"12", b"345"])
        self.assertEqual((200, {"path": ["x"], "body": "12345"}), (status, value))
        self.assertEqual(404, (await async_call("GET", "/none", [b""]))[0])
        status, value = await async_call("GET", "/echo/x", [b""])
        self.assertEqual((405, "allowed: POST"), (status, value["detail"]))

    async def test_problems(self) -> None:
        status, value = await async_call("GET", "/refuse", [b""])
        self.assertEqual((400, "name", "not_run"), (status, value["field"], value["verdict"]))
        status, value = await async_call("GET", "/fail", [b""])
        self.assertEqual((500, "may_have_run"), (status, value["verdict"]))

    async def test_oversized_and_truncated_bodies(self) -> None:
        status, value = await async_call("POST", "/echo/x", [b"123456", b"78901"])
        self.assertEqual((413, "body", "not_run"), (status, value["field"], value["verdict"]))
        status, value = await async_call("POST", "/echo/x", [])
        self.assertEqual((400, "not_run"), (status, value["verdict"]))

    @seed(20261204)
    @settings(max_examples=200, deadline=None, database=None)
    @given(st.binary(max_size=60))
    def test_any_query_string_is_parsed(self, raw: bytes) -> None:
        parse_query(raw)
