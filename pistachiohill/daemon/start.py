"""Starts a daemon from a settings file and overrides."""

import gc
import os
import sys
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, TypeVar

import trio

from .. import early_listeners, logs
from ..protocol.link import first_error
from ..settings.daemon import load_daemon_settings
from ..settings.errors import SettingsError
from ..settings.models import AGENT_FIELDS, ENTRY_FIELDS, AgentSettings, EntrySettings
from .early_start import ENV_NODE_FILE
from .reloading import async_watch_reload
from .root import async_run_agent, async_run_entry

EXIT_FAILED: Final = 1
EXIT_INVALID: Final = 2

# Modules and components are complete by then. They live as long as the process.
STARTUP_S: Final = 5.0

SettingsT = TypeVar("SettingsT", EntrySettings, AgentSettings)


def start_entry(path: str, overrides: Mapping[str, Any], verbosity: int = 0) -> None:
    """Run an entry; if `path` is empty, PISTACHIOHILL_NODE_FILE names the settings file."""
    _run_daemon(
        async_run_entry,
        lambda: load_daemon_settings(EntrySettings, ENTRY_FIELDS, _settings_path(path), overrides),
        verbosity,
    )


def start_agent(path: str, overrides: Mapping[str, Any], verbosity: int = 0) -> None:
    """Run an agent; if `path` is empty, PISTACHIOHILL_NODE_FILE names the settings file."""
    _run_daemon(
        async_run_agent,
        lambda: load_daemon_settings(AgentSettings, AGENT_FIELDS, _settings_path(path), overrides),
        verbosity,
    )


def exit_invalid(err: SettingsError) -> None:
    """Print all problems of the settings to stderr, one per line, and exit with code 2."""
    for problem in err.problems:
        print(problem, file=sys.stderr)
    sys.exit(EXIT_INVALID)


def _settings_path(path: str) -> str | None:
    return path or os.environ.get(ENV_NODE_FILE) or None


def _run_daemon(
    async_run: Callable[[SettingsT], Awaitable[None]], load: Callable[[], SettingsT], verbosity: int
) -> None:
    """Load the settings and run a daemon.

    If an address cannot be bound, one line is logged and the process exits with code 1.
    """
    try:
        settings = load()
    except SettingsError as err:
        exit_invalid(err)
        return
    logs.setup(settings.name, verbosity)

    async def async_main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(logs.async_flush_lines)
            nursery.start_soon(_async_end_startup)
            await nursery.start(async_watch_reload, settings, load)
            await async_run(settings)
            nursery.cancel_scope.cancel()

    try:
        trio.run(async_main)
    except* OSError as group:
        logs.warning("start_failed", error=repr(first_error(group)))
        logs.flush()
        os._exit(EXIT_FAILED)


async def _async_end_startup() -> None:
    """Close what the startup left, and exempt its objects from garbage collection.

    A full collection would visit all of them, which takes tens of milliseconds of processor time.
    """
    await trio.sleep(STARTUP_S)
    early_listeners.close_untaken()
    gc.freeze()
