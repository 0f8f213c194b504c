"""Handles SIGHUP, which a platform sends when the settings file has changed."""

import signal
from collections.abc import Callable

import attrs
import trio

from .. import logs
from ..settings.errors import SettingsError


def changed_names(before: attrs.AttrsInstance, after: attrs.AttrsInstance) -> list[str]:
    """Return the names of the settings that differ."""
    return [
        item.name
        for item in attrs.fields(type(before))
        if getattr(before, item.name) != getattr(after, item.name)
    ]


async def async_watch_reload(
    settings: attrs.AttrsInstance,
    load: Callable[[], attrs.AttrsInstance],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Load and validate the settings at each SIGHUP, and log which ones have changed.

    A running process keeps its addresses and limits, so that no request is interrupted; changes
    take effect at the next start. Invalid settings are logged now rather than at the next start.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        task_status.started()
        async for _ in signals:
            try:
                changed = changed_names(settings, load())
            except SettingsError as err:
                problems = "; ".join(map(str, err.problems))
                logs.warning("settings_refused", problems=problems)
                continue
            logs.event("settings_reloaded", changed=",".join(changed) or "none")
