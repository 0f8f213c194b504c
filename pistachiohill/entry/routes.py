"""Find the job that callers address by host and path."""

from collections.abc import Iterable

from attrs import define, field, frozen

from ..consortium.view import ConsortiumView
from ..settings.models import JobSettings


@frozen
class RoutedJob:
    """A job that callers reach at an address, with its effective settings."""

    member: str
    job: str
    settings: JobSettings


@frozen
class RouteMatch:
    """A job and what follows its prefix in a path."""

    routed: RoutedJob
    path_suffix: str


@define
class RouteTable:
    """All addressed jobs, rebuilt when the settings in force change."""

    _view: ConsortiumView
    _built_offset: int = -2
    _by_host: dict[str, list[RoutedJob]] = field(factory=dict)

    def find(self, host: str, path: str) -> RouteMatch | None:
        """Return the job whose prefix is the longest that a path begins with."""
        self._refresh()
        for routed in self._by_host.get(host.lower(), ()):
            prefix = routed.settings.path_prefix
            if path.startswith(prefix):
                return RouteMatch(routed, path[len(prefix) :])
        return None

    def _refresh(self) -> None:
        state = self._view.state
        if state.offset == self._built_offset:
            return
        self._built_offset = state.offset
        self._by_host = {}
        for routed in _routable_jobs(state.job_settings()):
            self._by_host.setdefault(routed.settings.host.lower(), []).append(routed)
        for jobs in self._by_host.values():
            jobs.sort(key=lambda routed: -len(routed.settings.path_prefix))


def _routable_jobs(jobs: Iterable[tuple[str, str, JobSettings]]) -> Iterable[RoutedJob]:
    for member, job, settings in jobs:
        if settings.host and settings.path_prefix:
            yield RoutedJob(member, job, settings)
