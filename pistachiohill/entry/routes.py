"""Routing of callers' requests to jobs by host and path prefix."""

from collections.abc import Iterable

from attrs import define, field, frozen

from ..consortium.view import ConsortiumView
from ..settings.models import JobSettings


@frozen
class RoutedJob:
    """A job that is reachable at a host and path prefix, with its effective settings."""

    member: str
    job: str
    settings: JobSettings


@frozen
class RouteMatch:
    """The job that matches a request, and the part of the path after its prefix."""

    routed: RoutedJob
    path_suffix: str


@define
class RouteTable:
    """Routes of all jobs, rebuilt when the effective settings change."""

    _view: ConsortiumView
    _built_revision: int = -1  # the first look-up builds the routes
    _by_host: dict[str, list[RoutedJob]] = field(factory=dict)

    def find(self, host: str, path: str) -> RouteMatch | None:
        """Return the job with the longest prefix that matches a path, None if there is none."""
        self._refresh()
        for routed in self._by_host.get(host.lower(), ()):
            prefix = routed.settings.path_prefix
            if path.startswith(prefix):
                return RouteMatch(routed, path[len(prefix) :])
        return None

    @property
    def offset(self) -> int:
        """Return the settings offset that the next look-up uses."""
        return self._view.state.offset

    def view_age_s(self, now_s: float) -> float:
        """Return the age at a boot time of the view that the next look-up uses."""
        return self._view.age_s(now_s)

    def _refresh(self) -> None:
        state = self._view.state
        if state.revision == self._built_revision:
            return
        self._built_revision = state.revision
        self._by_host = {}
        for routed in _routable_jobs(state.job_settings()):
            self._by_host.setdefault(routed.settings.host.lower(), []).append(routed)
        for jobs in self._by_host.values():
            jobs.sort(key=lambda routed: -len(routed.settings.path_prefix))


def _routable_jobs(jobs: Iterable[tuple[str, str, JobSettings]]) -> Iterable[RoutedJob]:
    for member, job, settings in jobs:
        if settings.host and settings.path_prefix:
            yield RoutedJob(member, job, settings)
