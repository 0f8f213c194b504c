"""Tests of reloading the settings at SIGHUP."""

import signal
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import trio

from pistachiohill import logs
from pistachiohill.daemon.reloading import async_watch_reload, changed_names
from pistachiohill.settings.daemon import load_daemon_settings
from pistachiohill.settings.models import ENTRY_FIELDS, EntrySettings

from ..base import TestCase


class ReloadingTest(TestCase):
    def test_changed_names(self) -> None:
        before = EntrySettings(name="a", grace_s=5.0)
        self.assertEqual([], changed_names(before, EntrySettings(name="a", grace_s=5.0)))
        after = EntrySettings(name="a", grace_s=6.0, seeds=("h:1",))
        self.assertEqual({"grace_s", "seeds"}, set(changed_names(before, after)))

    async def test_each_signal_is_logged_and_invalid_settings_are_ignored(self) -> None:
        logged: list[tuple[str, object]] = []

        def record_event(name: str, **fields: object) -> None:
            logged.append((name, fields.get("changed")))

        with (
            TemporaryDirectory() as directory,
            mock.patch.object(logs, "event", record_event),
            mock.patch.object(logs, "warning", record_event),
        ):
            path = Path(directory, "entry.toml")

            def load() -> EntrySettings:
                return load_daemon_settings(EntrySettings, ENTRY_FIELDS, str(path), {})

            path.write_text("grace_s = 5.0\n")
            async with trio.open_nursery() as nursery:
                await nursery.start(async_watch_reload, load(), load)
                for text in ("grace_s = 7.0\n", "grace_s = 'never'\n", "grace_s = 5.0\n"):
                    path.write_text(text)
                    signal.raise_signal(signal.SIGHUP)
                    await trio.sleep(0.05)
                nursery.cancel_scope.cancel()
        expected = [
            ("settings_reloaded", "grace_s"),
            ("settings_refused", None),
            ("settings_reloaded", "none"),
        ]
        self.assertEqual(expected, logged)
