"""Plans of the soak test: the deployment, the faults and the closing outage of a seed."""

import random
from enum import StrEnum
from typing import Final

from attrs import frozen

from standins.platform_deployment import PlatformSpec

from .store_outage import StoreOutage, make_outage

FAULT_PERIOD_S: Final = 12.0
DOMAINS: Final = ("bern-a", "solothurn-b", "aarau-c")


class FaultKind(StrEnum):
    """Type of a fault."""

    KILL_ENTRY = "kill_entry"
    STOP_ENTRY = "stop_entry"
    FREEZE_ENTRY = "freeze_entry"
    KILL_AGENT = "kill_agent"
    STOP_AGENT = "stop_agent"
    FREEZE_AGENT = "freeze_agent"
    CUT_ONE_WAY = "cut_one_way"
    CUT = "cut"
    RESET = "reset"
    DELAY = "delay"
    LOSE_ORDERS = "lose_orders"
    SILENT_RUNNER = "silent_runner"
    SLOW_RUNNER = "slow_runner"
    FAIL_RUNS = "fail_runs"
    KILL_RUNNER = "kill_runner"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES = "store_loses"
    EVACUATE = "evacuate"
    PUBLISH = "publish"
    SILENCE_STORE = "silence_store"
    REFUSE_CONNECT = "refuse_connect"
    RESET_LINKS = "reset_links"
    HOLD_BYTES = "hold_bytes"
    CALLERS_LEAVE = "callers_leave"
    ODD_HEARTBEAT = "odd_heartbeat"
    REBORN_RUNNER = "reborn_runner"
    REPLACED_RUNNER = "replaced_runner"
    LATE_ORDERS = "late_orders"
    LATE_GRANTS = "late_grants"
    SIGNAL_SERIES = "signal_series"
    LATE_TIMERS = "late_timers"
    SUSPEND_MACHINE = "suspend_machine"


SHORT_CUTS: Final = (FaultKind.REFUSE_CONNECT, FaultKind.RESET_LINKS, FaultKind.HOLD_BYTES)
RUNNER_KINDS: Final = (
    FaultKind.ODD_HEARTBEAT,
    FaultKind.REBORN_RUNNER,
    FaultKind.REPLACED_RUNNER,
    FaultKind.LATE_ORDERS,
    FaultKind.LATE_GRANTS,
)
PROCESS_KINDS: Final = (FaultKind.SIGNAL_SERIES, FaultKind.LATE_TIMERS)
# Longer ones are an open fault: entries take the runs for ended (test_suspended_machines.py).
SUSPENDED_S: Final = (0.3, 0.7)
# Faults that a plan draws one by one; SILENCE_STORE comes with a change of the manifest.
RANDOM_KINDS: Final = [
    kind
    for kind in FaultKind
    if kind
    not in (
        FaultKind.SILENCE_STORE,
        FaultKind.CALLERS_LEAVE,
        *SHORT_CUTS,
        *RUNNER_KINDS,
        *PROCESS_KINDS,
        FaultKind.SUSPEND_MACHINE,
    )
]


@frozen
class Fault:
    """One fault: its start time, its duration, and the index of the affected process."""

    at_s: float
    duration_s: float
    kind: FaultKind
    index: int


@frozen
class Plan:
    """The deployment, the faults and the closing outage that a seed determines."""

    seed: int
    spec: PlatformSpec
    faults: tuple[Fault, ...]
    store_outage: StoreOutage


def make_plan(seed: int, agents: int = 0, fault_period_s: float = FAULT_PERIOD_S) -> Plan:
    """Return the plan of a seed; `agents` overrides the number of agents unless it is 0."""
    rng = random.Random(seed)
    count = agents or rng.randint(3, 6)
    domains = tuple(DOMAINS[number % len(DOMAINS)] for number in range(count))
    clock_rates = tuple(rng.choice((0.98, 1.0, 1.02)) for _ in range(count))
    spec = PlatformSpec(
        domains, rng.randint(2, 3), 4, clock_rates, relay_agents=True, relay_store=True
    )
    faults: list[Fault] = []
    for _ in range(rng.randint(3, 7)):
        kind = rng.choice(RANDOM_KINDS)
        at_s, duration_s = rng.uniform(0.0, fault_period_s * 0.7), rng.uniform(0.2, 3.0)
        index, repeats = rng.randrange(1000), rng.choice((1, 1, 1, 3))
        gap_s = rng.uniform(0.1, 1.5)
        for repeat in range(repeats):
            faults.append(
                Fault(at_s + repeat * (duration_s + gap_s), duration_s, kind, index + repeat)
            )
    faults += _make_changes_after_silence(seed, fault_period_s)
    faults += _make_short_cuts(seed, count, fault_period_s)
    faults += _make_runner_faults(seed, fault_period_s)
    faults += _make_process_faults(seed, fault_period_s)
    faults += _make_suspensions(seed, fault_period_s)
    ordered = tuple(sorted(faults, key=lambda fault: fault.at_s))
    return Plan(seed, spec, ordered, make_outage(seed + 3))


def _make_changes_after_silence(seed: int, fault_period_s: float) -> list[Fault]:
    """Return up to two changes of the manifest right after the entries' connections fall silent."""
    rng = random.Random(seed + 2)
    faults = []
    for _ in range(rng.randint(0, 2)):
        at_s = rng.uniform(0.0, fault_period_s)
        faults.append(Fault(at_s, 0.0, FaultKind.SILENCE_STORE, 0))
        faults.append(Fault(at_s + rng.uniform(0.0, 1.0), 0.0, FaultKind.PUBLISH, 0))
    return faults


def _make_short_cuts(seed: int, agents: int, fault_period_s: float) -> list[Fault]:
    """Return series of short cuts, which overlap between agents, beside callers that leave."""
    rng = random.Random(f"short cuts {seed}")
    faults = []
    for _ in range(rng.randint(1, 3)):
        start_s = rng.uniform(0.0, fault_period_s * 0.7)
        faults.append(Fault(start_s, rng.uniform(2.0, 6.0), FaultKind.CALLERS_LEAVE, 0))
        for agent in rng.sample(range(agents), rng.randint(1, agents - 1)):
            at_s = start_s + rng.uniform(0.0, 1.0)
            for _ in range(rng.randint(2, 3)):
                duration_s = rng.uniform(0.2, 1.4)
                faults.append(Fault(at_s, duration_s, rng.choice(SHORT_CUTS), agent))
                at_s += duration_s + rng.uniform(0.3, 3.0)
    return faults


def _make_runner_faults(seed: int, fault_period_s: float) -> list[Fault]:
    """Return faults between agents and their runners."""
    rng = random.Random(f"runner faults {seed}")
    return [
        Fault(
            rng.uniform(0.0, fault_period_s * 0.9),
            rng.uniform(0.2, 3.0),
            rng.choice(RUNNER_KINDS),
            rng.randrange(1000),
        )
        for _ in range(rng.randint(1, 4))
    ]


def _make_process_faults(seed: int, fault_period_s: float) -> list[Fault]:
    """Return series of planned stops, and times in which processes are short of processor time."""
    rng = random.Random(f"process faults {seed}")
    return [
        Fault(
            rng.uniform(0.0, fault_period_s * 0.9),
            rng.uniform(0.5, 4.0),
            rng.choice(PROCESS_KINDS),
            rng.randrange(1000),
        )
        for _ in range(rng.randint(1, 4))
    ]


def _make_suspensions(seed: int, fault_period_s: float) -> list[Fault]:
    """Return suspensions of machines; some are followed at once by a silence of the runner."""
    rng = random.Random(f"suspensions {seed}")
    faults = []
    for _ in range(rng.randint(0, 3)):
        at_s, duration_s = rng.uniform(0.0, fault_period_s * 0.9), rng.uniform(*SUSPENDED_S)
        index = rng.randrange(1000)
        faults.append(Fault(at_s, duration_s, FaultKind.SUSPEND_MACHINE, index))
        if rng.random() < 0.5:
            silent_at_s = at_s + duration_s + rng.uniform(0.0, 0.5)
            faults.append(Fault(silent_at_s, 1.0, FaultKind.SILENT_RUNNER, index))
    return faults
