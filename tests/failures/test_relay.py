"""The network faults that the relay stand-in plays between an entry and an agent."""

import contextlib

import trio

from standins.processes import HOST, free_ports
from standins.relay import RelayModel

from ..base import TestCase

RECEIVE_TIMEOUT_S = 1.0
REFUSE_S = 0.3


async def async_echo(stream: trio.SocketStream) -> None:
    """Send everything back that arrives, until the connection is closed or reset."""
    with contextlib.suppress(trio.BrokenResourceError):
        async for data in stream:
            await stream.send_all(data)


async def async_connect(port: int) -> trio.SocketStream:
    """Open a connection to a relay, as soon as it listens."""
    with trio.fail_after(RECEIVE_TIMEOUT_S):
        while True:
            try:
                return await trio.open_tcp_stream(HOST, port, happy_eyeballs_delay=1.0)
            except OSError:
                await trio.sleep(0.01)


async def async_receive(stream: trio.SocketStream) -> bytes:
    """Return the next bytes of a connection."""
    with trio.fail_after(RECEIVE_TIMEOUT_S):
        return bytes(await stream.receive_some())


async def async_start_relay(nursery: trio.Nursery) -> tuple[RelayModel, int]:
    """Start a relay in front of an echo server; return it and its port."""
    listeners = await nursery.start(trio.serve_tcp, async_echo, 0)
    relay = RelayModel(HOST, listeners[0].socket.getsockname()[1])
    (port,) = free_ports(1)
    nursery.start_soon(relay.async_listen, HOST, port)
    return relay, port


class RelayTest(TestCase):
    async def test_connecting_is_refused_for_a_time_and_works_again_at_the_same_port(self) -> None:
        async with trio.open_nursery() as nursery:
            relay, port = await async_start_relay(nursery)
            stream = await async_connect(port)
            await stream.send_all(b"before")
            self.assertEqual(b"before", await async_receive(stream))
            refused_at_s = trio.current_time()
            await relay.async_refuse_connect(REFUSE_S)
            with self.assertRaises(trio.BrokenResourceError):
                await async_receive(stream)
            with self.assertRaises(ConnectionRefusedError), trio.socket.socket() as probe:
                await probe.connect((HOST, port))
            again = await async_connect(port)
            self.assertGreaterEqual(trio.current_time() - refused_at_s, REFUSE_S)
            await again.send_all(b"after")
            self.assertEqual(b"after", await async_receive(again))
            nursery.cancel_scope.cancel()

    async def test_held_bytes_arrive_when_the_direction_passes_again(self) -> None:
        async with trio.open_nursery() as nursery:
            relay, port = await async_start_relay(nursery)
            stream = await async_connect(port)
            await stream.send_all(b"before")
            self.assertEqual(b"before", await async_receive(stream))
            (mode,) = relay.open_modes
            mode.forward = mode.backward = "hold"
            await stream.send_all(b"held")
            with self.assertRaises(trio.TooSlowError):
                await async_receive(stream)
            mode.forward = mode.backward = "pass"
            self.assertEqual(b"held", await async_receive(stream))
            nursery.cancel_scope.cancel()
