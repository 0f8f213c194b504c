"""Composition root of the daemons.

The modules of a role are imported only when that role starts, so that an agent does not load the
entry's modules into memory.
"""

from ..settings.models import AgentSettings, EntrySettings


async def async_run_entry(settings: EntrySettings) -> None:
    """Run an entry until it is stopped."""
    from .entry import async_run_entry as async_run

    await async_run(settings)


async def async_run_agent(settings: AgentSettings) -> None:
    """Run an agent until it is stopped."""
    from .agent import async_run_agent as async_run

    await async_run(settings)
