"""The size of the machine, from environment variables or the settings file."""

import os
import tempfile
from unittest.mock import patch

from pistachiohill.settings.daemon import load_daemon_settings
from pistachiohill.settings.errors import SettingsError
from pistachiohill.settings.models import AGENT_FIELDS, AgentSettings

from ..base import TestCase


class EnvironmentTest(TestCase):
    def load(self, text: str = "", **environment: str) -> AgentSettings:
        variables = {f"PISTACHIOHILL_{name}": value for name, value in environment.items()}
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            with patch.dict(os.environ, variables):
                return load_daemon_settings(AgentSettings, AGENT_FIELDS, file.name, {})

    def test_variables_give_the_size_of_the_machine(self) -> None:
        settings = self.load(MEMORY_MB="300.5", MAX_DESCRIPTORS="4100")
        self.assertEqual((300.5, 4100), (settings.memory_mb, settings.max_descriptors))

    def test_the_file_goes_before_the_variables(self) -> None:
        self.assertEqual(200.0, self.load("memory_mb = 200.0", MEMORY_MB="300").memory_mb)

    def test_without_variables_the_defaults_hold(self) -> None:
        self.assertEqual(AgentSettings().memory_mb, self.load(MEMORY_MB="").memory_mb)

    def test_a_variable_out_of_range_or_without_a_number_is_refused_by_name(self) -> None:
        for value in ("1", "much", "nan"):
            error = self.assertRaises(SettingsError, self.load, MEMORY_MB=value)
            self.assertIn("memory_mb", str(error.problems))
