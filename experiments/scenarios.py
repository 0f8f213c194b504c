"""Benchmark scenarios: deployment shapes, seeded load, and the events during a run."""

from attrs import field, frozen

from standins.deployment import DeploymentSpec, MemberSpec, TargetSpec

from .workload import Stream

SLOTS = 8
BRUNNER_DOMAINS = ("bern-a", "solothurn-b", "aarau-c")
BRNO_DOMAINS = ("brno-sever", "brno-jih", "zidlochovice", "blansko")
SLOWNESS = (0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.3, 1.6, 2.2, 3.0)
BRUNNER_ROUND_TRIP_S = 0.001
BRNO_ROUND_TRIP_S = 0.003
RUN_S = 0.3
MEAN_RUN_S = 0.3015  # mean of the lognormal run times with median RUN_S
MEMBERS = ("brunner", "m1", "m2", "m3", "m4")
BASELINE_POLICIES = ("round_robin", "random", "least_outstanding")
PRODUCT_POLICY = "expected_completion"
SHORT_POLICIES = (PRODUCT_POLICY, "least_outstanding")
DEADLINE_S = 30.0
SEED = 20261204


@frozen
class Event:
    """A change to the deployment, at a time counted from the start of the load.

    `target` is the index of a target, `value` its new slowness or mode, `domain` a failure domain.
    """

    at_s: float
    kind: str
    target: int = -1
    value: str | float = ""
    domain: str = ""


@frozen
class Scenario:
    """Load and events of one run; jobs arrive for `duration_s`.

    A scenario with `on_request` runs only when selected by name or in the full mode.
    """

    name: str
    shape: str
    duration_s: float
    streams: tuple[Stream, ...]
    events: tuple[Event, ...] = ()
    policies: tuple[str, ...] = (PRODUCT_POLICY, *BASELINE_POLICIES)
    consortium_toml: str = ""
    cancel_at_s: float = field(default=0.0)
    on_request: bool = False


def capacity(duration_s: float = 1.0) -> float:
    """Return the run time, at slowness 1, that all targets together complete in a period."""
    return duration_s * sum(SLOTS / slowness for slowness in SLOWNESS)


def jobs_per_s(load: float, tasks: int) -> float:
    """Return the arrival rate of jobs that uses a fraction `load` of the capacity."""
    return load * capacity() / (tasks * MEAN_RUN_S)


def shape_spec(shape: str) -> DeploymentSpec:
    """Return the deployment of a shape; the target stand-ins add the network delay."""
    domains = BRUNNER_DOMAINS if shape == "brunner" else BRNO_DOMAINS
    delay_s = BRUNNER_ROUND_TRIP_S if shape == "brunner" else BRNO_ROUND_TRIP_S
    targets = tuple(
        TargetSpec(domains[index % len(domains)], SLOTS, slowness, delay_s=delay_s)
        for index, slowness in enumerate(SLOWNESS)
    )
    members = tuple(MemberSpec(name) for name in MEMBERS)
    return DeploymentSpec(targets=targets, members=members, record_starts=False)


def scenarios(duration_s: float) -> list[Scenario]:
    """Return all scenarios, each with jobs arriving for `duration_s`."""

    def steady(load: float, tasks: int = 100, member: str = "brunner") -> Stream:
        return Stream(member, jobs_per_s(load, tasks), tasks, RUN_S, 0.0, duration_s)

    third_s = duration_s / 3
    burst = Stream("brunner", jobs_per_s(0.8, 100), 100, RUN_S, third_s, 1.5 * third_s)
    slowed = tuple(Event(third_s, "slowness", index, 6.0) for index in (2, 4))
    restored = tuple(Event(2 * third_s, "slowness", index, SLOWNESS[index]) for index in (2, 4))
    small_members = tuple(steady(0.1, 10, member) for member in MEMBERS[1:])
    overloading_member = Stream("brunner", jobs_per_s(1.2, 100), 100, RUN_S, 0.0, duration_s)
    outage_toml = "start_through_outage = true\nview_max_age_s = 1.0\n"
    failing = (Event(third_s, "mode", 3, "fail"),)
    quarantine_scenarios = [
        Scenario(
            f"one target failing all, quarantine {rule}",
            "brunner",
            duration_s,
            (steady(0.5, 10),),
            failing,
            (PRODUCT_POLICY,),
            f'quarantine = "{rule}"\n',
            on_request=True,
        )
        for rule in ("consecutive", "ratio", "windows", "off")
    ]
    return quarantine_scenarios + [
        Scenario("steady 70%", "brunner", duration_s, (steady(0.7),)),
        Scenario("steady 70%, 10-task jobs", "brunner", duration_s, (steady(0.7, 10),)),
        Scenario("stragglers", "brunner", duration_s, (steady(0.5),), slowed + restored),
        Scenario("burst to 150%", "brunner", duration_s, (steady(0.7), burst)),
        Scenario(
            "one target failing all",
            "brunner",
            duration_s,
            (steady(0.5, 10),),
            failing,
        ),
        Scenario(
            "domain out and back",
            "brno",
            duration_s,
            (steady(1.3, 200),),
            (
                Event(third_s, "out", domain=BRNO_DOMAINS[1]),
                Event(2 * third_s, "back", domain=BRNO_DOMAINS[1]),
            ),
        ),
        Scenario(
            "platform outage, work goes on",
            "brunner",
            duration_s,
            (steady(0.7),),
            (Event(third_s, "log down"), Event(2 * third_s, "log up")),
            (PRODUCT_POLICY,),
            outage_toml,
        ),
        Scenario(
            "cancellation wave",
            "brunner",
            duration_s,
            (steady(0.9),),
            policies=(PRODUCT_POLICY,),
            cancel_at_s=duration_s / 2,
        ),
        Scenario(
            "four small members", "brunner", duration_s, small_members, policies=(PRODUCT_POLICY,)
        ),
        Scenario(
            "four small members, one greedy",
            "brunner",
            duration_s,
            (*small_members, overloading_member),
            policies=(PRODUCT_POLICY, "least_outstanding"),
        ),
    ]
