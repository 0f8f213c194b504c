"""Comparison of a new entry's manifest with those of the other entries, before it serves callers.

The newest record of the operators' topic may be an older manifest whose write was carried out late.
The entries keep the newer one in their own topic, and tell each other its version. An entry that
starts answers callers once it has read both topics and heard from the entries that it links to; it
waits for those that don't answer for a limited time, since all entries may be starting at once.
"""

from typing import Protocol

import trio
from attrs import define, field

from .. import clock, logs
from ..consortium.const import NO_OFFSET
from ..consortium.view import ConsortiumView
from .agent_assignment import Address
from .const import PEERS_ASKED_S


@define
class PeerAnswers:
    """The addresses of entries that have told their version, or could not be reached."""

    _answered: set[Address] = field(factory=set)

    def record(self, address: Address | None) -> bool:
        """Record an answer, or a failed attempt to reach an entry; return whether it is the first.

        The address is None for a link that the other entry opened.
        """
        if address is None or address in self._answered:
            return False
        self._answered.add(address)
        return True

    def include(self, addresses: set[Address]) -> bool:
        """Return whether all of these have answered or failed."""
        return addresses <= self._answered


class AskedPeers(Protocol):
    """The entries to which this one opens links."""

    def have_answered(self) -> bool:
        """Return whether all of them have told their version, or could not be reached."""


@define(eq=False)
class StartupCheck:
    """Tells when this entry knows the manifest, and when it has compared it with the others'."""

    _view: ConsortiumView
    _peers: AskedPeers
    _done: trio.Event = field(factory=trio.Event)

    @property
    def manifest_known(self) -> bool:
        """Return whether a manifest is known, and the failure domains out of service with it."""
        return bool(self._view.state.nodes) and self._view.state.offset > NO_OFFSET

    @property
    def done(self) -> bool:
        """Return whether the manifest may be used."""
        return self._done.is_set()

    async def async_wait(self) -> None:
        """Wait until the manifest may be used: PEERS_ASKED_S at most after it is known."""
        await self._done.wait()

    async def async_run(self) -> None:
        """Wait for a manifest and for the answers of the other entries."""
        while not self.manifest_known:
            await self._view.async_wait_changed()
        known_at_s = clock.boot_s()
        with trio.move_on_after(PEERS_ASKED_S):
            while not self._have_all_answered():
                await self._view.async_wait_changed()
        logs.event(
            "startup_checked",
            version=self._view.state.tree_version,
            answered=self._have_all_answered(),
            waited_s=clock.boot_s() - known_at_s,
        )
        self._done.set()

    def _have_all_answered(self) -> bool:
        return self._view.kept_tree.is_read and self._peers.have_answered()
