"""Decode the operators' manifest and translate it into nodes of the settings tree."""

import json
import re

from .. import logs
from ..const import MAX_JOB_TASKS
from ..protocol.models import SettingsNodeRecord
from ..settings.const import MAX_NAME_CHARS, ROOT_PATH
from .errors import WireError
from .models import JobRoute, Manifest
from .wire import Fields, as_object, read_int, read_list, read_number, read_object, read_str

UNSAFE_CHARS = re.compile(r"[^a-z0-9_.-]")
# Work goes on while the store is away: operators accept that a change is then heard late.
CONSORTIUM_TOML = "view_max_age_s = 86400.0\n"


def decode_manifest(body: bytes) -> Manifest:
    """Return the manifest of a record; raise WireError when it can't be read.

    A single route that can't be read is passed over with a log line, since the others hold.
    """
    fields = read_object(body)
    routes = []
    for item in read_list(fields, "routes"):
        try:
            routes.append(_decode_route(as_object(item, "routes")))
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


def manifest_nodes(manifest: Manifest, offset: int) -> list[SettingsNodeRecord]:
    """Return the settings tree that a manifest stands for.

    A host is a member, a route is one of its jobs.
    """
    nodes = [SettingsNodeRecord(ROOT_PATH, CONSORTIUM_TOML, offset)]
    for host in sorted({route.host for route in manifest.routes}):
        nodes.append(SettingsNodeRecord(f"{ROOT_PATH}/{_node_name(host)}", "", offset))
    for route in manifest.routes:
        path = f"{ROOT_PATH}/{_node_name(route.host)}/{_node_name(route.name)}"
        nodes.append(SettingsNodeRecord(path, _job_toml(route), offset))
    return nodes


def _node_name(text: str) -> str:
    """Return a name for the settings tree; names of the platform are nearly always valid ones."""
    name = UNSAFE_CHARS.sub("_", text.lower())[:MAX_NAME_CHARS]
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
    # JSON's strings, numbers and booleans are also TOML's.
    return "".join(f"{name} = {json.dumps(value)}\n" for name, value in values.items())
