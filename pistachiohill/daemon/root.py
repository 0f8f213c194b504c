"""The composition root: picks a daemon's wiring.

The parts of a role are imported when that role is built, so that an agent does not carry the
entry's modules in memory.
"""

from ..settings.models import AgentSettings, EntrySettings


async def async_run_entry(settings: EntrySettings) -> None:
    """Run an entry until it is told to stop."""
    from .entry import async_run_entry as async_run

    await async_run(settings)


async def async_run_agent(settings: AgentSettings) -> None:
    """Run an agent until it is told to stop."""
    from .agent import async_run_agent as async_run

    await async_run(settings)
