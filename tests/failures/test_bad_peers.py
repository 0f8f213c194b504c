"""Invalid input on every port starts no task and stops no process; errors name the field."""

import socket
from typing import Any
from urllib.parse import urlsplit

import trio
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from websockets.exceptions import ConnectionClosed
from websockets.trio.client import connect

from pistachiohill.client import ClientError
from pistachiohill.const import PROTOCOL_VERSION
from pistachiohill.protocol.codec import encode_frame
from pistachiohill.protocol.models import Hello, StartTasks, TaskStart, ViewStamp
from standins.deployment import HOST, SECRET, Deployment

from .base import FailureTest, spec

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-5, 2000)
    | st.floats(allow_nan=False)
    | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)
BODIES = st.fixed_dictionaries(
    {},
    optional={"job": JSON, "deadline_s": JSON, "wait_s": JSON, "tasks": JSON | st.lists(JSON)},
)
GARBAGE = (
    b"\x00" * 64,
    b"GET / HTTP/1.1\r\n\r\n",
    b"\xff" * 4096,
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
)


class BadPeerTest(FailureTest):
    async def test_garbage_on_every_port(self) -> None:
        async with Deployment(spec()) as deployment:
            ports = [item.peer_port for item in (*deployment.entries, *deployment.agents)]
            ports += [urlsplit(item.url).port or 0 for item in deployment.entries]
            ports += [urlsplit(item.url).port or 0 for item in deployment.agents]
            for port in ports:
                for data in GARBAGE:
                    _send_raw(port, data)
            idle = [socket.create_connection((HOST, port)) for port in ports]
            for item in idle:
                item.sendall(b"GET /live HT")
            await self.async_assert_new_job_completes(deployment)
            for item in idle:
                item.close()

    async def test_invalid_frames_close_the_connection(self) -> None:
        """Wrong secret, version, incarnation or order, garbage frames and forged start messages."""
        async with Deployment(spec()) as deployment:
            live = await deployment.async_request_json("GET", f"{deployment.agents[0].url}/live")
            agent = live[1]["incarnation"]
            stamp = ViewStamp(10**6, -1.0, 0.0, False, 1e9)
            forged_start = StartTasks(
                f"{'0' * 16}.999.99999999999999.1.{'0' * 16}",
                "m", "j", 1, 9.0, 9.0, False, stamp, [TaskStart(0, 1, b"{}")],
            )  # fmt: skip
            previous_start = StartTasks(
                f"{'0' * 16}.0.1.1.{'0' * 16}",
                "m", "j", 1, 9.0, 9.0, False, stamp, [TaskStart(0, 1, b"{}")],
            )  # fmt: skip
            valid_hello = encode_frame([Hello(PROTOCOL_VERSION, "x", agent, SECRET, 0.0)])
            first_frames = [
                encode_frame([Hello(PROTOCOL_VERSION, "x", "", "wrong", 0.0)]),
                encode_frame([Hello(99, "x", "", SECRET, 0.0)]),
                encode_frame([Hello(PROTOCOL_VERSION, "x", "0" * 16, SECRET, 0.0)]),
                encode_frame([forged_start]),
                b"garbage",
                valid_hello[:-3],
            ]
            for port in (deployment.agents[0].peer_port, deployment.entries[0].peer_port):
                for frame in first_frames:
                    self.assertTrue(await _async_is_closed(port, [frame]), frame)
                self.assertTrue(await _async_is_closed(port, [valid_hello, b"\x81\x81\x00"]))
            await _async_is_closed(
                deployment.agents[0].peer_port, [valid_hello, encode_frame([previous_start])]
            )
            self.assertEqual([], deployment.recorded_starts())
            await self.async_assert_new_job_completes(deployment)

    async def test_bad_input_names_the_field(self) -> None:
        async with Deployment(spec()) as deployment:
            client = deployment.client("brunner")
            (submission_id,) = await client.async_ids()
            url = f"{deployment.entries[0].url}/v1/submissions/{submission_id}"
            task = {"payload": "{}"}
            cases: list[tuple[Any, int, str]] = [
                ({"job": "clocking"}, 400, "tasks"),
                ({"job": "clocking", "tasks": []}, 400, "tasks"),
                ({"job": "clocking", "tasks": [task] * 1401}, 400, "tasks"),
                ({"job": "clocking", "tasks": [1]}, 400, "tasks[0]"),
                (
                    {"job": "clocking", "tasks": [{"payload_base64": "%"}]},
                    400,
                    "tasks[0].payload_base64",
                ),
                ({"job": "clocking", "tasks": [{"payload": "x" * 65537}]}, 400, "tasks[0]"),
                ({"job": "other", "tasks": [task]}, 404, "job"),
                ({"job": 1, "tasks": [task]}, 400, "job"),
                ({"job": "clocking", "tasks": [task], "deadline_s": "soon"}, 400, "deadline_s"),
                ({"job": "clocking", "tasks": [task], "wait_s": -1}, 400, "wait_s"),
                ([], 400, "body"),
            ]
            for value, status, field in cases:
                found, problem = await deployment.async_request_json(
                    "PUT", url, value, "token-brunner"
                )
                self.assertEqual((status, field), (found, problem["field"]), problem)
                self.assertEqual("not_run", problem["verdict"])
            status, problem = await deployment.async_request_json("PUT", url, {}, "wrong token")
            self.assertEqual((401, "authorization"), (status, problem["field"]))
            status, _ = await deployment.async_request_json("GET", url, token="token-brunner")
            self.assertEqual(404, status)
            status, _ = await deployment.async_call_operator(
                "POST", "/v1/operator/changes", {"path": 1}
            )
            self.assertEqual(400, status)
            status, problem = await deployment.async_publish("consortium", "weight = -1.0")
            self.assertEqual((422, "weight"), (status, problem["problems"][0]["field"]))
            self.assertEqual([], deployment.recorded_starts())
            other = deployment.client("brunner")
            for bad in ("nonsense", submission_id[:-1] + "g"):
                result = await other.async_submit(bad, "clocking", [b"{}"], 2.0)
                self.assertEqual("not_run", getattr(result, "verdict", ""))
            self.assertEqual([], deployment.recorded_starts())

    async def test_submission_is_hidden_from_other_members(self) -> None:
        from standins.deployment import MemberSpec

        members = (MemberSpec("brunner"), MemberSpec("brno"))
        async with Deployment(spec(members=members)) as deployment:
            client = deployment.client("brunner")
            (submission_id,) = await client.async_ids()
            await client.async_submit(submission_id, "clocking", [b"{}"], 20.0)
            for entry in (0, 1):
                other = deployment.client("brno", [entry])
                result = await other.async_submit(submission_id, "clocking", [b"{}"], 2.0)
                self.assertEqual("unknown_id", getattr(result, "reason", ""))
            await deployment.entries[0].async_kill()
            other = deployment.client("brno", [1])
            result = await other.async_submit(submission_id, "clocking", [b"{}"], 2.0)
            self.assertNotIn(b"done", getattr(result, "bodies", b""))
            self.assertEqual(1, len(deployment.recorded_starts()))

    async def test_fuzzed_bodies(self) -> None:
        async with Deployment(spec()) as deployment:
            client = deployment.client("brunner")
            (submission_id,) = await client.async_ids()
            url = f"{deployment.entries[0].url}/v1/submissions/{submission_id}"

            @seed(20261204)
            @settings(max_examples=150, deadline=None, database=None)
            @given(BODIES)
            def check(value: dict[str, Any]) -> None:
                status, problem = trio.from_thread.run(
                    deployment.async_request_json, "PUT", url, value, "token-brunner"
                )
                self.assertIn(status, (400, 404), (value, problem))

            await trio.to_thread.run_sync(check)
            self.assertEqual([], deployment.recorded_starts())
            await self.async_assert_new_job_completes(deployment)

    async def test_wrong_token_raises_client_error(self) -> None:
        async with Deployment(spec()) as deployment:
            client = deployment.client("brunner")
            client._headers["authorization"] = "Bearer wrong"
            try:
                await client.async_ids()
            except ClientError as err:
                self.assertIn("401", str(err))
            else:
                self.fail("accepted")


def _send_raw(port: int, data: bytes) -> None:
    with socket.create_connection((HOST, port), timeout=5.0) as connection:
        connection.settimeout(0.2)
        connection.sendall(data)
        try:
            connection.recv(1024)
        except OSError:
            return


async def _async_is_closed(port: int, frames: list[bytes]) -> bool:
    """Send frames on a new connection and return whether the peer closes it."""
    closed = False
    try:
        async with connect(f"ws://{HOST}:{port}/", compression=None) as connection:
            for frame in frames:
                await connection.send(frame)
            with trio.move_on_after(3.0):
                while True:
                    await connection.recv()
    except* ConnectionClosed:
        closed = True
    return closed
