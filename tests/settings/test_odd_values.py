"""Settings that another writer made odd raise only SettingsError."""

from pistachiohill.settings.errors import SettingsError
from pistachiohill.settings.tree import parse_node

from ..base import TestCase


class OddValueTest(TestCase):
    def test_deeply_nested_toml_raises_settings_error(self) -> None:
        for text in (
            "priority = " + "[" * 200_000,
            "priority = " + "[" * 5000 + "]" * 5000,
            "a = " + "{a=" * 3000 + "1" + "}" * 3000,
        ):
            for lenient in (True, False):
                self.assertRaises(SettingsError, parse_node, "consortium", text, 1, lenient=lenient)

    def test_huge_number_raises_settings_error(self) -> None:
        for name in ("priority", "slack_factor"):
            for value in ("1" + "0" * 400, "9" * 5000, "1e999", "nan", "-inf"):
                text = f"{name} = {value}"
                self.assertRaises(SettingsError, parse_node, "consortium", text, 1)
