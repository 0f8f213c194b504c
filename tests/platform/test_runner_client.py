"""Orders to a runner on the wire, and what its answers mean."""

import json
import socket
from typing import Any

import trio
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.agent.models import (
    EndedRun,
    Fenced,
    Lease,
    NoAnswer,
    NotStarted,
    OtherIncarnation,
    RunEnd,
    RunList,
    RunName,
    RunnerIdentity,
    Started,
    StartRefusal,
    Stopping,
    TargetCall,
)
from pistachiohill.http.models import Request, Response, json_response
from pistachiohill.http.server import HttpApp, async_serve_http, route
from pistachiohill.platform.runner_client import RunnerClient, task_id_of, task_name
from standins.processes import free_ports

from ..base import TestCase

CALL = TargetCall("5c0e7a21d94b36f8/17", 2, "m", "j", "späc".encode(), 1.0, False)
LEASE = Lease(7, 486.0)


class Script:
    """A server that answers each call with the next prepared answer and keeps what it was sent."""

    def __init__(self) -> None:
        self.answers: list[Response] = []
        self.requests: list[tuple[str, dict[str, Any], str]] = []
        self.runner = RunnerIdentity("i-1", f"127.0.0.1:{free_ports(1)[0]}", 5)

    async def async_answer(self, request: Request) -> Response:
        instance = request.headers.get("x-target-instance", "")
        self.requests.append((request.path, json.loads(request.body), instance))
        return self.answers.pop(0)

    async def async_serve(self, task_status: trio.TaskStatus[None]) -> None:
        paths = ("/api/run-start", "/api/run-stop", "/api/hold")
        app = HttpApp([route("POST", path, self.async_answer) for path in paths], 65536)
        address = self.runner.address
        await async_serve_http(app, [address], trio.Event(), 0.1, task_status=task_status)


class RunnerClientTest(TestCase):
    async def test_starts(self) -> None:
        async with trio.open_nursery() as nursery:
            script = Script()
            await nursery.start(script.async_serve)
            client = RunnerClient()
            cases = [
                (json_response({"clockMs": 482113}), Started(482.113)),
                (json_response({"reason": "fence"}, 409), NotStarted(StartRefusal.FENCED)),
                (json_response({"reason": "old"}, 409), NotStarted(StartRefusal.OLD_RUN)),
                (json_response({"reason": "late"}, 409), NotStarted(StartRefusal.LEASE_ENDED)),
                (json_response({"reason": "room"}, 409), NotStarted(StartRefusal.NO_CAPACITY)),
                (Response(429), NotStarted(StartRefusal.UNHEALTHY)),
                (Response(503), NotStarted(StartRefusal.UNHEALTHY)),
                (Response(421), NotStarted(StartRefusal.OTHER_INCARNATION)),
                (Response(400), NotStarted(StartRefusal.INVALID)),
                (json_response({"reason": "new"}, 409), NoAnswer("status 409")),
                (Response(500), None),
                (Response(200, b"?"), None),
            ]
            for answer, expected in cases:
                script.answers.append(answer)
                outcome = await client.async_start(script.runner, CALL, LEASE, 1.0)
                if expected is None:
                    self.assertIsInstance(outcome, NoAnswer)
                else:
                    self.assertEqual(expected, outcome)
            path, body, instance = script.requests[0]
            self.assertEqual(("/api/run-start", "i-1"), (path, instance))
            self.assertEqual(
                {
                    "task": "5c0e7a21d94b36f8.0.0.17",
                    "run": 2,
                    "spec": "späc",
                    "fencingToken": 7,
                    "deadlineMs": 486000,
                },
                body,
            )
            nursery.cancel_scope.cancel()

    async def test_stops_and_holds(self) -> None:
        async with trio.open_nursery() as nursery:
            script = Script()
            await nursery.start(script.async_serve)
            client = RunnerClient()
            name = RunName("a/1", 3)
            for answer, expected in (
                (json_response({"clockMs": 1}), Stopping()),
                (json_response({"reason": "fence"}, 409), Fenced()),
                (Response(421), OtherIncarnation()),
                (Response(503), NoAnswer("status 503")),
            ):
                script.answers.append(answer)
                outcome = await client.async_stop(script.runner, name, LEASE, 1.0)
                self.assertEqual(expected, outcome)
            listed = {
                "clockMs": 2500,
                "born": 9,
                "running": [["a.0.0.1", 3, "", 41]],
                "finished": [[58, "a.0.0.9", 1, "done", ""], [57, "a.0.0.8", 2, "failed", ""]],
            }
            script.answers.append(json_response(listed))
            found = await client.async_hold(script.runner, Lease(7, None), 56, 0.25, 1.0)
            ends = (
                EndedRun(57, RunName("a/8", 2), RunEnd.FAILED),
                EndedRun(58, RunName("a/9", 1), RunEnd.DONE),
            )
            self.assertEqual(RunList(9, 2.5, frozenset({RunName("a/1", 3)}), ends), found)
            self.assertEqual(
                {"fencingToken": 7, "ackCursor": 56, "waitMs": 250}, script.requests[-1][1]
            )
            for body in (b"?", b'{"clockMs":1,"running":[3]}', b'{"clockMs":1,"finished":[[1]]}'):
                script.answers.append(Response(200, body))
                outcome = await client.async_hold(script.runner, LEASE, 0, 0.0, 1.0)
                self.assertIsInstance(outcome, NoAnswer)
            nursery.cancel_scope.cancel()

    async def test_no_listener_and_silence_are_no_answer(self) -> None:
        client = RunnerClient()
        nowhere = RunnerIdentity("i-1", "127.0.0.1:1", 5)
        outcome = await client.async_start(nowhere, CALL, LEASE, 0.2)
        self.assertEqual(NotStarted(StartRefusal.UNREACHABLE), outcome)
        held = await client.async_hold(nowhere, LEASE, 0, 0.0, 0.2)
        self.assertIsInstance(held, NoAnswer)
        with socket.create_server(("127.0.0.1", 0)) as mute:
            silent = RunnerIdentity("i-1", f"127.0.0.1:{mute.getsockname()[1]}", 5)
            outcome = await client.async_start(silent, CALL, LEASE, 0.2)
            self.assertIsInstance(outcome, NoAnswer)

    @seed(20261204)
    @settings(max_examples=100, deadline=None, database=None)
    @given(st.from_regex(r"[0-9a-f]{16}", fullmatch=True), st.integers(0, 2000))
    def test_names_are_read_back(self, job: str, index: int) -> None:
        self.assertEqual(f"{job}/{index}", task_id_of(task_name(f"{job}/{index}")))
