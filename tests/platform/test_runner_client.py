"""Runner client: requests as sent, and the outcomes of responses."""

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
from pistachiohill.http.app import HttpApp, route
from pistachiohill.http.models import Request, Response, json_response
from pistachiohill.http.server import async_serve_http
from pistachiohill.platform.runner_client import RunnerClient, decode_task_id, encode_task_id
from standins.processes import free_ports

from ..base import TestCase

CALL = TargetCall("5c0e7a21d94b36f8/17", 2, "m", "j", "späc".encode(), 1.0, False)
LEASE = Lease(7, 486.0)


class ScriptedRunner:
    """Server that sends prepared responses in order and records the requests."""

    def __init__(self) -> None:
        self.responses: list[Response] = []
        self.requests: list[tuple[str, dict[str, Any], str]] = []
        self.runner = RunnerIdentity("i-1", f"127.0.0.1:{free_ports(1)[0]}", 5)

    async def async_handle(self, request: Request) -> Response:
        instance = request.headers.get("x-target-instance", "")
        self.requests.append((request.path, json.loads(request.body), instance))
        return self.responses.pop(0)

    async def async_serve(self, task_status: trio.TaskStatus[None]) -> None:
        paths = ("/api/run-start", "/api/run-stop", "/api/hold")
        app = HttpApp([route("POST", path, self.async_handle) for path in paths], 65536)
        address = self.runner.address
        await async_serve_http(app, [address], trio.Event(), 0.1, task_status=task_status)


class RunnerClientTest(TestCase):
    async def test_asking_an_announced_runner_keeps_the_connection_to_the_one_in_use(self) -> None:
        async def async_hold(runner: RunnerIdentity) -> object:
            return await client.async_hold(runner, Lease(7, None), 0, 0.0, 1.0)

        async with trio.open_nursery() as nursery:
            in_use, announced = ScriptedRunner(), ScriptedRunner()
            for server in (in_use, announced):
                await nursery.start(server.async_serve)
                server.responses += [json_response({"clockMs": 1, "born": 5})] * 2
            client = RunnerClient()
            self.assertIsInstance(await async_hold(in_use.runner), RunList)
            (connection,) = client._http[in_use.runner.address]._idle
            self.assertIsInstance(await async_hold(announced.runner), RunList)
            self.assertIsInstance(await async_hold(in_use.runner), RunList)
            self.assertEqual([connection], client._http[in_use.runner.address]._idle)
            nursery.cancel_scope.cancel()

    async def test_start_outcomes(self) -> None:
        async with trio.open_nursery() as nursery:
            server = ScriptedRunner()
            await nursery.start(server.async_serve)
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
            for response, expected in cases:
                server.responses.append(response)
                outcome = await client.async_start(server.runner, CALL, LEASE, 1.0)
                if expected is None:
                    self.assertIsInstance(outcome, NoAnswer)
                else:
                    self.assertEqual(expected, outcome)
            path, body, instance = server.requests[0]
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

    async def test_stop_and_hold_outcomes(self) -> None:
        async with trio.open_nursery() as nursery:
            server = ScriptedRunner()
            await nursery.start(server.async_serve)
            client = RunnerClient()
            name = RunName("a/1", 3)
            for response, expected in (
                (json_response({"clockMs": 1}), Stopping()),
                (json_response({"reason": "fence"}, 409), Fenced()),
                (Response(421), OtherIncarnation()),
                (Response(503), NoAnswer("status 503")),
            ):
                server.responses.append(response)
                outcome = await client.async_stop(server.runner, name, LEASE, 1.0)
                self.assertEqual(expected, outcome)
            run_list = {
                "clockMs": 2500,
                "born": 9,
                "running": [["a.0.0.1", 3, "", 41]],
                "finished": [[58, "a.0.0.9", 1, "done", ""], [57, "a.0.0.8", 2, "failed", ""]],
            }
            server.responses.append(json_response(run_list))
            listed = await client.async_hold(server.runner, Lease(7, None), 56, 0.25, 1.0)
            ends = (
                EndedRun(57, RunName("a/8", 2), RunEnd.FAILED),
                EndedRun(58, RunName("a/9", 1), RunEnd.DONE),
            )
            self.assertEqual(RunList(9, 2.5, frozenset({RunName("a/1", 3)}), ends), listed)
            self.assertEqual(
                {"fencingToken": 7, "ackCursor": 56, "waitMs": 250}, server.requests[-1][1]
            )
            for body in (b"?", b'{"clockMs":1,"running":[3]}', b'{"clockMs":1,"finished":[[1]]}'):
                server.responses.append(Response(200, body))
                outcome = await client.async_hold(server.runner, LEASE, 0, 0.0, 1.0)
                self.assertIsInstance(outcome, NoAnswer)
            nursery.cancel_scope.cancel()

    async def test_outcomes_without_a_response(self) -> None:
        client = RunnerClient()
        unreachable = RunnerIdentity("i-1", "127.0.0.1:1", 5)
        outcome = await client.async_start(unreachable, CALL, LEASE, 0.2)
        self.assertEqual(NotStarted(StartRefusal.UNREACHABLE), outcome)
        held = await client.async_hold(unreachable, LEASE, 0, 0.0, 0.2)
        self.assertIsInstance(held, NoAnswer)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            unresponsive = RunnerIdentity("i-1", f"127.0.0.1:{listener.getsockname()[1]}", 5)
            outcome = await client.async_start(unresponsive, CALL, LEASE, 0.2)
            self.assertIsInstance(outcome, NoAnswer)

    @seed(20261204)
    @settings(max_examples=100, deadline=None, database=None)
    @given(st.from_regex(r"[0-9a-f]{16}", fullmatch=True), st.integers(0, 2000))
    def test_task_ids_round_trip(self, job: str, index: int) -> None:
        self.assertEqual(f"{job}/{index}", decode_task_id(encode_task_id(f"{job}/{index}")))
