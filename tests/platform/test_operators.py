"""Changes of the operators reach the view in time, in order and complete."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from pistachiohill import clock
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.entry.routes import RouteTable
from pistachiohill.http.server import async_serve_http
from pistachiohill.platform.const import TOPIC_OPERATORS
from pistachiohill.platform.models import KeyedPage
from pistachiohill.platform.operators import apply_page, async_follow_operators
from pistachiohill.platform.store import StoreClient, encode_record
from standins.platform_store import PlatformStore, StoreServer
from standins.processes import HOST, free_ports
from standins.relay import RelayModel

from ..base import TestCase
from .test_manifest import ROUTE, manifest

IN_TOUCH_S = 3.0  # contactMs in the users' requirements
CONFIG_LIMIT_S = 2.0  # configApplyMs in the users' requirements
SILENCE_S = 5.8
CATCH_UP_LIMIT_S = 4.0  # catchUpS in the users' requirements
ADDED_ROUTE = {**ROUTE, "name": "r-2", "pathPrefix": "/pufi791/"}
ADDED_PATH = "/pufi791/5c0e7a21d94b36f8"


class StoreBehindRelay:
    """A stand-in store, and a relay through which clients reach it."""

    def __init__(self, model: PlatformStore, relay: RelayModel, port: int) -> None:
        self.model = model
        self.relay = relay
        self.client = StoreClient(f"http://{HOST}:{port}")

    def publish(self, version: int, *routes: dict[str, object], padding: int = 0) -> None:
        """Append a manifest, with a number of bytes of white space."""
        body = manifest(version, *routes) + b" " * padding
        self._append("config", body)

    def evacuate(self, domain: str, out: bool = True) -> None:
        """Append the evacuation of a failure domain, or its end."""
        self._append(f"evacuate/{domain}", b"{}" if out else None)

    def silence(self) -> None:
        """Drop all bytes on the open connections, which stay open; new ones work."""
        for mode in self.relay.open_modes:
            mode.forward = mode.backward = "swallow"

    def start_silence(self) -> None:
        """Drop all bytes on the open connections and on later ones."""
        self.silence()
        self.relay.default.forward = self.relay.default.backward = "swallow"

    def end_silence(self) -> None:
        """Let later connections work again; those opened before stay silent."""
        self.relay.default.forward = self.relay.default.backward = "pass"

    def _append(self, key: str, value: bytes | None) -> None:
        self.model.topic(TOPIC_OPERATORS).append([encode_record(key, value)[4:]])


@asynccontextmanager
async def store_behind_relay() -> AsyncIterator[tuple[StoreBehindRelay, trio.Nursery]]:
    store_port, relay_port = free_ports(2)
    model = PlatformStore()
    relay = RelayModel(HOST, store_port)
    async with trio.open_nursery() as nursery:
        app = StoreServer(model, nursery).app()
        await nursery.start(async_serve_http, app, [f"{HOST}:{store_port}"], trio.Event(), 0.1)
        await nursery.start(
            lambda task_status: trio.serve_tcp(
                relay.async_serve, relay_port, host=HOST, task_status=task_status
            )
        )
        yield StoreBehindRelay(model, relay, relay_port), nursery
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def followed_store() -> AsyncIterator[tuple[StoreBehindRelay, ConsortiumView]]:
    """Serve a store with one manifest, and yield a view that follows it."""
    view = ConsortiumView()
    async with store_behind_relay() as (store, nursery):
        store.publish(1, ROUTE)
        nursery.start_soon(async_follow_operators, store.client, view)
        await view.async_wait_offset(0)
        yield store, view


async def async_wait_for_route(view: ConsortiumView, path: str = ADDED_PATH) -> None:
    table = RouteTable(view)
    while table.find("nony24.example", path) is None:
        await trio.sleep(0.01)


class OperatorsTest(TestCase):
    async def async_assert_in_force(self, view: ConsortiumView, limit_s: float) -> None:
        with trio.move_on_after(limit_s) as waiting:
            await async_wait_for_route(view)
        self.assertFalse(waiting.cancelled_caught, f"not in force after {limit_s:g} s")

    async def test_change_is_not_late_after_all_store_connections_fall_silent(self) -> None:
        async with followed_store() as (store, view):
            # Idle connections fall silent like those in use.
            await store.client.async_append("keyed.other", "key", b"value")
            await trio.sleep(0.3)
            silent_at_s = clock.boot_s()
            store.silence()
            await trio.sleep(0.5)
            store.publish(2, ROUTE, ADDED_ROUTE)
            limit_s = max(CONFIG_LIMIT_S, silent_at_s + IN_TOUCH_S - clock.boot_s())
            await self.async_assert_in_force(view, limit_s)

    async def test_change_is_not_late_if_store_connections_fall_silent_just_before(self) -> None:
        async with followed_store() as (store, view):
            await trio.sleep(0.3)  # the next read waits for as long as any
            # A connection that was in use just now is not suspected.
            await store.client.async_append("keyed.other", "key", b"value")
            store.silence()
            store.publish(2, ROUTE, ADDED_ROUTE)
            await self.async_assert_in_force(view, CONFIG_LIMIT_S)

    async def test_change_is_not_late_after_the_store_was_silent_for_seconds(self) -> None:
        async with followed_store() as (store, view):
            await trio.sleep(0.3)
            store.start_silence()
            await trio.sleep(SILENCE_S)
            store.end_silence()
            await trio.sleep(0.4)
            store.publish(2, ROUTE, ADDED_ROUTE)
            await self.async_assert_in_force(view, CONFIG_LIMIT_S)

    async def test_evacuation_is_not_late_after_all_store_connections_fall_silent(self) -> None:
        async with followed_store() as (store, view):
            await trio.sleep(0.3)
            store.silence()
            store.evacuate("bern-a")
            with trio.move_on_after(IN_TOUCH_S):
                await view.async_wait_offset(1)
            self.assertTrue(view.state.domain_is_out("bern-a"))

    async def test_changes_beyond_the_first_page_are_not_passed_over(self) -> None:
        async with followed_store() as (store, view):
            store.model.faults.down = True
            for version in range(2, 12):
                store.publish(version, ROUTE, padding=200_000)
            store.publish(12, ROUTE, ADDED_ROUTE)
            store.model.faults.down = False
            await self.async_assert_in_force(view, CATCH_UP_LIMIT_S)

    async def test_peer_with_a_backlog_does_not_bring_back_an_older_manifest(self) -> None:
        current, behind = ConsortiumView(), ConsortiumView()
        async with store_behind_relay() as (store, _):
            client = store.client
            store.publish(1, ROUTE)
            await self._async_read_newest(client, behind)
            for version in range(2, 12):
                store.publish(version, ROUTE, padding=200_000)
            store.publish(12, ROUTE, ADDED_ROUTE)
            await self._async_read_newest(client, current)
            store.evacuate("bern-a")
            page = await client.async_read(TOPIC_OPERATORS, 1, 0.0)
            assert isinstance(page, KeyedPage)
            apply_page(behind, page, False, clock.boot_s())
            current.adopt(behind.snapshot())
            self.assertIsNotNone(RouteTable(current).find("nony24.example", ADDED_PATH))

    async def test_view_is_not_confirmed_by_a_page_of_a_part_of_the_backlog(self) -> None:
        async with followed_store() as (store, view):
            store.model.faults.down = True
            for version in range(2, 12):
                store.publish(version, ROUTE, padding=200_000)
            published_at_s = clock.boot_s()
            store.model.faults.down = False
            while view.state.offset < 10:
                # A view that was confirmed after the last change includes it.
                self.assertLess(view.confirmed_at_s, published_at_s)
                await view.async_wait_changed()

    async def _async_read_newest(self, client: StoreClient, view: ConsortiumView) -> None:
        page = await client.async_read_newest(TOPIC_OPERATORS)
        assert isinstance(page, KeyedPage)
        apply_page(view, page, True, clock.boot_s())
