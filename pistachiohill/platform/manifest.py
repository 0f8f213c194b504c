"""Decode the operators' manifest and convert it to nodes of the settings tree."""

import json
import re

from .. import logs
from ..const import MAX_JOB_TASKS
from ..protocol.models import SettingsNodeRecord
from ..settings.const import MAX_NAME_CHARS, ROOT_PATH
from .errors import WireError
from .models import JobRoute, Manifest
from .wire import Fields, decode_object, read_int, read_list, read_number, read_str, require_object

INVALID_NAME_CHARS = re.compile(r"[^a-z0-9_.-]")
# Jobs continue to run while the store is unavailable. Operators accept that a change then takes
# effect late.
CONSORTIUM_TOML = "view_max_age_s = 86400.0\n"


def decode_manifest(body: bytes) -> Manifest:
    """Decode the manifest in a record; raise WireError if it is malformed.

    A malformed route is skipped with a warning, because the other routes are still valid.
    """
    fields = decode_object(body)
    routes = []
    for item in read_list(fields, "routes"):
        try:
            routes.append(_decode_route(require_object(item, "routes")))
        except WireError as err:
            logs.warning("route_refused", route=item, detail=err)
    return Manifest(read_int(fields, "version"), tuple(routes))


def _decode_route(fields: Fields) -> JobRoute:
    return JobRoute(
        name=read_str(fields, "name"),
        host=read_str(fields, "host").lower(),
        path_prefix=read_str(fields, "pathPrefix"),
        service=read_str(fields, "service"),
        priority=read_int(fields, "priority", 0),
        max_runs=max(1, read_int(fields, "maxAttempts", 1)),
        slack_factor=read_number(fields, "slackFactor", 0.0),
        target_latency_s=read_number(fields, "targetLatencyMs", 0.0) / 1000,
    )


def build_settings_nodes(manifest: Manifest, offset: int) -> list[SettingsNodeRecord]:
    """Convert a manifest to a settings tree.

    Each host becomes a member, and each of its routes a job of this member.
    """
    nodes = [SettingsNodeRecord(ROOT_PATH, CONSORTIUM_TOML, offset)]
    for host in sorted({route.host for route in manifest.routes}):
        nodes.append(SettingsNodeRecord(f"{ROOT_PATH}/{_node_name(host)}", "", offset))
    for route in manifest.routes:
        path = f"{ROOT_PATH}/{_node_name(route.host)}/{_node_name(route.name)}"
        nodes.append(SettingsNodeRecord(path, _job_toml(route), offset))
    return nodes


def _node_name(text: str) -> str:
    """Convert a name to a valid node name; most names of the platform are already valid."""
    name = INVALID_NAME_CHARS.sub("_", text.lower())[:MAX_NAME_CHARS]
    return name if name[:1].isalnum() else "x" + name[: MAX_NAME_CHARS - 1]


def _job_toml(route: JobRoute) -> str:
    values: dict[str, object] = {
        "host": route.host,
        "path_prefix": route.path_prefix,
        "service": route.service,
        "priority": min(route.priority, 100),
        "max_runs": min(route.max_runs, 100),
        "slack_factor": route.slack_factor,
        "target_latency_s": route.target_latency_s,
        "best_effort": True,
        "max_tasks": MAX_JOB_TASKS,
    }
    # JSON strings, numbers and booleans are also valid TOML.
    return "".join(f"{name} = {json.dumps(value)}\n" for name, value in values.items())
