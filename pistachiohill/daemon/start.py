"""Start a daemon from its settings."""

import os
import sys
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, TypeVar

import trio

from .. import logs
from ..protocol.link import first_error
from ..settings.daemon import load_daemon_settings
from ..settings.errors import SettingsError
from ..settings.models import AGENT_FIELDS, ENTRY_FIELDS, AgentSettings, EntrySettings
from .reloading import async_watch_reload
from .root import async_run_agent, async_run_entry

ENV_NODE_FILE: Final = "PISTACHIOHILL_NODE_FILE"
EXIT_FAILED: Final = 1
EXIT_INVALID: Final = 2

S = TypeVar("S", EntrySettings, AgentSettings)


def start_entry(path: str, overrides: Mapping[str, Any], verbosity: int = 0) -> None:
    """Run an entry by a settings file, or the one that the environment names, until it ends."""
    _run(
        async_run_entry,
        lambda: load_daemon_settings(EntrySettings, ENTRY_FIELDS, _file(path), overrides),
        verbosity,
    )


def start_agent(path: str, overrides: Mapping[str, Any], verbosity: int = 0) -> None:
    """Run an agent by a settings file, or the one that the environment names, until it ends."""
    _run(
        async_run_agent,
        lambda: load_daemon_settings(AgentSettings, AGENT_FIELDS, _file(path), overrides),
        verbosity,
    )


def exit_invalid(err: SettingsError) -> None:
    """End the process with every problem of some settings, one a line."""
    for problem in err.problems:
        print(problem, file=sys.stderr)
    sys.exit(EXIT_INVALID)


def _file(path: str) -> str | None:
    return path or os.environ.get(ENV_NODE_FILE) or None


def _run(async_run: Callable[[S], Awaitable[None]], load: Callable[[], S], verbosity: int) -> None:
    """Run a daemon; an address that cannot be bound is named in one line, with exit code 1."""
    try:
        settings = load()
    except SettingsError as err:
        exit_invalid(err)
        return
    logs.setup(settings.name, verbosity)

    async def async_main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(logs.async_write)
            await nursery.start(async_watch_reload, settings, load)
            await async_run(settings)
            nursery.cancel_scope.cancel()

    try:
        trio.run(async_main)
    except* OSError as group:
        logs.warning("start_failed", error=repr(first_error(group)))
        logs.flush()
        os._exit(EXIT_FAILED)
