"""The measured scenarios: deployment shapes, seeded load, and what is broken when."""

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
MEAN_RUN_S = 0.3015
MEMBERS = ("brunner", "m1", "m2", "m3", "m4")
BASELINES = ("round_robin", "random", "least_outstanding")
PRODUCT = "expected_completion"
SHORT_POLICIES = (PRODUCT, "least_outstanding")
DEADLINE_S = 30.0
SEED = 20261204


@frozen
class Event:
    """Something that is done to the deployment at a time after the load has begun.

    `target` is the number of a target, `value` its new slowness or mode, `domain` a failure domain.
    """

    at_s: float
    kind: str
    target: int = -1
    value: str | float = ""
    domain: str = ""


@frozen
class Scenario:
    """Load and events; `seconds` is how long jobs arrive.

    A scenario on request runs only when its name is asked for, or in the full mode.
    """

    name: str
    shape: str
    seconds: float
    streams: tuple[Stream, ...]
    events: tuple[Event, ...] = ()
    policies: tuple[str, ...] = (PRODUCT, *BASELINES)
    consortium_toml: str = ""
    cancel_at_s: float = field(default=0.0)
    on_request: bool = False


def capacity(seconds: float = 1.0) -> float:
    """Return the run time at slowness 1 that all targets together work off in some seconds."""
    return seconds * sum(SLOTS / slowness for slowness in SLOWNESS)


def jobs_per_s(load: float, tasks: int) -> float:
    """Return the arrival rate of jobs for a part of the capacity."""
    return load * capacity() / (tasks * MEAN_RUN_S)


def shape_spec(shape: str) -> DeploymentSpec:
    """Return the deployment of a shape; delays are made in the target stand-ins."""
    domains = BRUNNER_DOMAINS if shape == "brunner" else BRNO_DOMAINS
    delay_s = BRUNNER_ROUND_TRIP_S if shape == "brunner" else BRNO_ROUND_TRIP_S
    targets = tuple(
        TargetSpec(domains[index % len(domains)], SLOTS, slowness, delay_s=delay_s)
        for index, slowness in enumerate(SLOWNESS)
    )
    members = tuple(MemberSpec(name) for name in MEMBERS)
    return DeploymentSpec(targets=targets, members=members, record_starts=False)


def scenarios(seconds: float) -> list[Scenario]:
    """Return all scenarios, each with jobs arriving for some seconds."""

    def steady(load: float, tasks: int = 100, member: str = "brunner") -> Stream:
        return Stream(member, jobs_per_s(load, tasks), tasks, RUN_S, 0.0, seconds)

    third = seconds / 3
    burst = Stream("brunner", jobs_per_s(0.8, 100), 100, RUN_S, third, 1.5 * third)
    slow = tuple(Event(third, "slowness", index, 6.0) for index in (2, 4))
    healed = tuple(Event(2 * third, "slowness", index, SLOWNESS[index]) for index in (2, 4))
    small = tuple(steady(0.1, 10, member) for member in MEMBERS[1:])
    greedy = Stream("brunner", jobs_per_s(1.2, 100), 100, RUN_S, 0.0, seconds)
    through = "start_through_outage = true\nview_max_age_s = 1.0\n"
    failing = (Event(third, "mode", 3, "fail"),)
    rules = [
        Scenario(
            f"one target failing all, quarantine {rule}",
            "brunner",
            seconds,
            (steady(0.5, 10),),
            failing,
            (PRODUCT,),
            f'quarantine = "{rule}"\n',
            on_request=True,
        )
        for rule in ("consecutive", "ratio", "windows", "off")
    ]
    return rules + [
        Scenario("steady 70%", "brunner", seconds, (steady(0.7),)),
        Scenario("steady 70%, 10-task jobs", "brunner", seconds, (steady(0.7, 10),)),
        Scenario("stragglers", "brunner", seconds, (steady(0.5),), slow + healed),
        Scenario("burst to 150%", "brunner", seconds, (steady(0.7), burst)),
        Scenario(
            "one target failing all",
            "brunner",
            seconds,
            (steady(0.5, 10),),
            failing,
        ),
        Scenario(
            "domain out and back",
            "brno",
            seconds,
            (steady(1.3, 200),),
            (
                Event(third, "out", domain=BRNO_DOMAINS[1]),
                Event(2 * third, "back", domain=BRNO_DOMAINS[1]),
            ),
        ),
        Scenario(
            "platform outage, work goes on",
            "brunner",
            seconds,
            (steady(0.7),),
            (Event(third, "log down"), Event(2 * third, "log up")),
            (PRODUCT,),
            through,
        ),
        Scenario(
            "cancellation wave",
            "brunner",
            seconds,
            (steady(0.9),),
            policies=(PRODUCT,),
            cancel_at_s=seconds / 2,
        ),
        Scenario("four small members", "brunner", seconds, small, policies=(PRODUCT,)),
        Scenario(
            "four small members, one greedy",
            "brunner",
            seconds,
            (*small, greedy),
            policies=(PRODUCT, "least_outstanding"),
        ),
    ]
