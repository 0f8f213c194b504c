"""Callers that connect while a daemon still loads its modules."""

import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import trio

from pistachiohill import clock, early_listeners
from pistachiohill.http.app import async_send_response
from pistachiohill.http.direct_server import async_serve_directly
from pistachiohill.http.models import json_response

from ..base import TestCase

ROOT = Path(__file__).resolve().parents[2]
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
TIMEOUT_S = 20.0


def free_port() -> int:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return int(unused.getsockname()[1])


class EarlyStartTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.address = f"127.0.0.1:{free_port()}"
        self.addCleanup(early_listeners.close_untaken)

    def connect(self) -> socket.socket:
        host, _, port = self.address.rpartition(":")
        client = socket.create_connection((host, int(port)), TIMEOUT_S)
        self.addCleanup(client.close)
        return client

    def test_callers_connect_before_the_modules_are_loaded(self) -> None:
        code = (
            "import sys, runpy\n"
            "class Stop:\n"
            "    def find_spec(self, name, *args):\n"
            "        if name == 'pistachiohill.daemon.start':\n"
            "            print('trio' in sys.modules, flush=True)\n"
            "            sys.stdin.read()\n"
            "sys.meta_path.insert(0, Stop())\n"
            "runpy.run_module('pistachiohill.daemon', run_name='__main__')\n"
        )
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as settings:
            settings.write(f'jobs_address = "{self.address}"\nname = 1\n')
            settings.flush()
            with subprocess.Popen(
                [sys.executable, "-c", code, "entry", settings.name],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            ) as process:
                assert process.stdout is not None and process.stdin is not None
                self.assertEqual(b"False\n", process.stdout.readline())
                self.connect()
                process.stdin.close()
                process.wait(TIMEOUT_S)

    async def test_request_that_waited_for_the_server_is_answered_with_its_age(self) -> None:
        origins = []

        async def async_app(scope, receive, send) -> None:  # type: ignore[no-untyped-def]
            origins.append(scope["origin"])
            await async_send_response(send, json_response({}))

        early_listeners.open_all([self.address])
        opened_before_s = clock.boot_s()
        client = self.connect()
        client.sendall(REQUEST)
        async with trio.open_nursery() as nursery:
            stopping = trio.Event()
            await nursery.start(
                async_serve_directly, async_app, self.address, 1000, stopping, TIMEOUT_S
            )
            stream = trio.socket.from_stdlib_socket(client)
            with trio.fail_after(TIMEOUT_S):
                response = await stream.recv(1000)
            nursery.cancel_scope.cancel()
        self.assertTrue(response.startswith(b"HTTP/1.1 200"))
        self.assertLessEqual(origins[0].arrived_after_s, opened_before_s)

    async def test_address_that_cannot_be_used_is_left_to_its_server(self) -> None:
        early_listeners.open_all(["nowhere", "256.0.0.1:80", "127.0.0.1:99999999", self.address])
        self.assertIsNone(early_listeners.take("256.0.0.1:80"))
        early_listeners.close_untaken()
        self.assertRaises(ConnectionRefusedError, self.connect)
