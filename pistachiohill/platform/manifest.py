"""Decode the operators' manifest and convert it to nodes of the settings tree."""

import hashlib
import json
import re
from collections.abc import Mapping
from typing import Final

from .. import logs
from ..const import MAX_JOB_TASKS
from ..settings.const import MAX_NAME_CHARS, ROOT_PATH
from ..settings.errors import SettingsError
from ..settings.tree import Node, update_node
from .errors import WireError
from .models import JobRoute, Manifest
from .wire import Fields, decode_object, read_int, read_list, read_number, read_str, require_object

INVALID_NAME_CHARS = re.compile(r"[^a-z0-9_.-]")
# Jobs continue to run while the store is unavailable. Operators accept that a change then takes
# effect late. The callers' goals leave about 0.1 s for waiting, so tasks must not wait long at an
# agent, where newer ones can't overtake them.
CONSORTIUM_TOML = "view_max_age_s = 86400.0\nhorizon_s = 0.05\n"
NAME_DIGEST_CHARS: Final = 8
# Largest values that the settings tree accepts; larger ones of a route have no further effect.
MAX_PRIORITY: Final = 100
MAX_RUNS: Final = 100
MAX_SLACK_FACTOR: Final = 1000.0
MAX_TARGET_LATENCY_S: Final = 3600.0


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


def build_settings_nodes(
    manifest: Manifest, offset: int, previous: Mapping[str, Node]
) -> list[Node]:
    """Convert a manifest to a settings tree with the version `offset`.

    Each host becomes a member, and each of its routes a job of this member. Unchanged nodes are
    taken over from the `previous` tree. A route that no job can represent is skipped with a
    warning, because the other routes are still valid.
    """

    def build_node(path: str, text: str) -> Node:
        return update_node(previous.get(path), path, text, offset)

    nodes = {ROOT_PATH: build_node(ROOT_PATH, CONSORTIUM_TOML)}
    for route in manifest.routes:
        member_path = f"{ROOT_PATH}/{_node_name(route.host)}"
        path = f"{member_path}/{_node_name(route.name)}"
        if path in nodes:
            path = f"{member_path}/{_node_name(f'{route.name} {route.path_prefix}')}"
        try:
            job = build_node(path, _job_toml(route))
        except SettingsError as err:
            logs.warning("route_refused", route=route, detail=err)
            continue
        nodes[path] = job
        if member_path not in nodes:
            nodes[member_path] = build_node(member_path, "")
    return list(nodes.values())


def _node_name(text: str) -> str:
    """Convert a name to a valid node name, a different one for each name.

    Most names of the platform are valid already. Others are changed and get a digest of the
    original appended.
    """
    name = INVALID_NAME_CHARS.sub("_", text.lower())
    if not name[:1].isalnum():
        name = "x" + name
    if name == text and len(name) <= MAX_NAME_CHARS:
        return name
    digest = hashlib.sha256(text.encode(errors="surrogatepass")).hexdigest()[:NAME_DIGEST_CHARS]
    return f"{name[: MAX_NAME_CHARS - NAME_DIGEST_CHARS - 1]}-{digest}"


def _job_toml(route: JobRoute) -> str:
    values: dict[str, object] = {
        "host": route.host,
        "path_prefix": route.path_prefix,
        "service": route.service,
        "priority": min(route.priority, MAX_PRIORITY),
        "max_runs": min(route.max_runs, MAX_RUNS),
        "slack_factor": min(route.slack_factor, MAX_SLACK_FACTOR),
        "target_latency_s": min(route.target_latency_s, MAX_TARGET_LATENCY_S),
        "best_effort": True,
        "max_tasks": MAX_JOB_TASKS,
    }
    # JSON strings, numbers and booleans are also valid TOML.
    return "".join(f"{name} = {json.dumps(value)}\n" for name, value in values.items())
