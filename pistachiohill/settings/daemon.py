"""Settings of a daemon, loaded from one TOML file and command-line overrides.

The size of the machine may also come from environment variables, which a platform can set for each
machine; the file and the command line go before them.
"""

import contextlib
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Final, TypeVar

from .checks import check_values, parse_toml
from .errors import SettingsError, SettingsProblem
from .fields import FieldSpec

T = TypeVar("T")

SETTINGS_BY_VARIABLE: Final = {
    "PISTACHIOHILL_MEMORY_MB": "memory_mb",
    "PISTACHIOHILL_MAX_DESCRIPTORS": "max_descriptors",
}


def load_daemon_settings(
    settings_type: type[T],
    specs: tuple[FieldSpec, ...],
    file_path: str | None,
    overrides: Mapping[str, object],
) -> T:
    """Return a daemon's settings; raise SettingsError with all problems of file and overrides.

    Example: `load_daemon_settings(EntrySettings, ENTRY_FIELDS, "entry.toml", {"http_port": 80})`.
    """
    values, problems = _read_file(file_path)
    values = {**_read_environment(os.environ), **values, **overrides}
    problems += check_values(file_path or "(command line)", specs, values)
    problems += _check_required(file_path or "(command line)", specs, values)
    if problems:
        raise SettingsError(problems)
    lists = {name: tuple(item) for name, item in values.items() if isinstance(item, list)}
    return settings_type(**(values | lists))


def _read_environment(environment: Mapping[str, str]) -> dict[str, object]:
    """Return the settings that environment variables hold."""
    return {
        name: _parse_number(environment[variable])
        for variable, name in SETTINGS_BY_VARIABLE.items()
        if environment.get(variable)
    }


def _parse_number(text: str) -> int | float | str:
    """Return the number that a text holds, or the text, which fails the checks of its setting."""
    for number_type in (int, float):
        with contextlib.suppress(ValueError):
            return number_type(text)
    return text


def _read_file(file_path: str | None) -> tuple[dict[str, object], list[SettingsProblem]]:
    if file_path is None:
        return {}, []
    try:
        text = Path(file_path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        return {}, [SettingsProblem(file_path, "(file)", str(err))]
    table = parse_toml(file_path, text)
    if isinstance(table, SettingsProblem):
        return {}, [table]
    return dict(table), []


def _check_required(
    path: str, specs: tuple[FieldSpec, ...], values: Mapping[str, object]
) -> list[SettingsProblem]:
    return [
        SettingsProblem(path, spec.name, "required")
        for spec in specs
        if spec.type_name == "str" and spec.minimum >= 1 and not values.get(spec.name, "-")
    ]
