"""Entries that pass operators' changes to each other."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from pistachiohill import clock
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.entry.peers import PeerDirectory
from pistachiohill.protocol.models import DomainRecord
from pistachiohill.settings.models import EntrySettings
from pistachiohill.settings.tree import parse_node
from standins.processes import HOST, free_ports
from standins.relay import RelayModel

from ..base import TestCase

IN_TOUCH_S = 3.0  # contactMs in the users' requirements
SILENCE_S = 2.7  # ends shortly after the first attempt to link the entries again
RELINK_LIMIT_S = 2.0  # time after the path's return in which the entries have to be linked


def make_directory(name: str, port: int, peers: list[str]) -> tuple[PeerDirectory, ConsortiumView]:
    view = ConsortiumView()
    settings = EntrySettings(peer_host=HOST, peer_port=port, peers=peers)
    return PeerDirectory(name, settings, view), view


@asynccontextmanager
async def entries_behind_relay() -> (
    AsyncIterator[tuple[ConsortiumView, ConsortiumView, RelayModel]]
):
    """Run two entries, the second of which is linked to the first through a relay."""
    first_port, second_port, relay_port = free_ports(3)
    first, first_view = make_directory("entry-1", first_port, [])
    second, second_view = make_directory("entry-2", second_port, [f"{HOST}:{relay_port}"])
    relay = RelayModel(HOST, first_port)
    async with trio.open_nursery() as nursery:
        await nursery.start(first.async_serve)
        await nursery.start(second.async_serve)
        await nursery.start(
            lambda task_status: trio.serve_tcp(
                relay.async_serve, relay_port, host=HOST, task_status=task_status
            )
        )
        nursery.start_soon(first.async_run)
        nursery.start_soon(second.async_run)
        yield first_view, second_view, relay
        nursery.cancel_scope.cancel()


class PeersTest(TestCase):
    async def test_change_is_not_late_after_the_links_between_entries_fall_silent(self) -> None:
        async with entries_behind_relay() as (first_view, second_view, relay):
            first_view.state.set_domain(DomainRecord("bern-a", True, 0))
            await second_view.async_wait_offset(0)
            for mode in relay.open_modes:
                mode.forward = mode.backward = "swallow"
            silent_at_s = clock.boot_s()
            first_view.state.set_domain(DomainRecord("aarau-c", True, 1))
            with trio.move_on_after(2 * IN_TOUCH_S):
                await second_view.async_wait_offset(1)
            self.assertTrue(second_view.state.domain_is_out("aarau-c"))
            self.assertLess(clock.boot_s() - silent_at_s, IN_TOUCH_S)

    async def test_change_is_not_late_after_new_links_between_entries_were_silent(self) -> None:
        async with entries_behind_relay() as (first_view, second_view, relay):
            first_view.state.set_domain(DomainRecord("bern-a", True, 0))
            await second_view.async_wait_offset(0)
            for mode in (*relay.open_modes, relay.default):
                mode.forward = mode.backward = "swallow"
            await trio.sleep(SILENCE_S)
            relay.default.forward = relay.default.backward = "pass"
            first_view.state.set_domain(DomainRecord("aarau-c", True, 1))
            with trio.move_on_after(RELINK_LIMIT_S):
                await second_view.async_wait_offset(1)
            self.assertTrue(second_view.state.domain_is_out("aarau-c"))

    async def test_higher_version_of_the_tree_is_adopted_from_a_peer_at_the_same_offset(
        self,
    ) -> None:
        """The write of the lower version was carried out late, before the second entry started."""
        async with entries_behind_relay() as (first_view, second_view, _):
            newer, older = (parse_node("consortium", f"weight = {n}.0", n) for n in (7, 9))
            first_view.state.replace_nodes([newer], 7, tree_version=7)
            first_view.state.advance_offset(9)
            second_view.state.replace_nodes([older], 9, tree_version=4)
            with trio.move_on_after(IN_TOUCH_S):
                while second_view.state.tree_version != 7:
                    await second_view.async_wait_changed()
            self.assertEqual("weight = 7.0", second_view.state.nodes["consortium"].text)
            self.assertEqual("weight = 7.0", first_view.state.nodes["consortium"].text)
