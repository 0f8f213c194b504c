"""Starts the project's programs with the commands and templates of the deploy file, on loopback.

Every machine has a loopback address of its own, so that ports are the same on all machines, as on
the users' platform. The balancer checks `/api/ready` once a second and drops a node after two
misses. Clients choose their node by a hash among the nodes of their zone that are in rotation.
"""

import asyncio
import json
import os
import random
import re
import signal
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import Any
from zlib import crc32

from .http import NO_RESPONSE, Channel, Response, async_call
from .runner import Runner
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "nony24.example"
PREFIX = "/lohu930/"  # of the queue for stamps
RANK_PREFIX = "/lohu931/"
CONFIRM_PREFIX = "/lohu932/"
ROUTE_TIMEOUT_MS = 1500
SERVICE = "huvo11a"
ZONES = ("bern-a", "solothurn-b", "aarau-c")
RESEND_S = 1.3
START_TIMEOUT_S = 30.0
RESTART_S = 0.5  # the platform starts a process that has ended again after a short delay
MISSES = 2
PORTS = {"front": 8161, "ready": 8167, "control": 8166, "app": 8165, "store": 8169}
FIRST_NODE_PORT = 7720


class Outcome(IntEnum):
    """Exit codes of a case."""

    HELD = 0
    BROKEN = 1
    NOT_RUN = 2


class Recorder:
    """Writes what was sent, answered and run to the case's record."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._started_s = time.time()
        self._file = path.open("w")

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one line, with seconds since the beginning of the record."""
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.time() - self._started_s:8.3f} {event} {pairs}\n")
        self._file.flush()


@dataclass(eq=False)
class Machine:
    """A machine with one process of a role."""

    name: str
    role: str
    ip: str
    zone: str
    settings: Path
    process: asyncio.subprocess.Process | None = None
    misses: int = MISSES
    stopped: bool = False
    exits: list[int] = field(default_factory=list)

    @property
    def in_rotation(self) -> bool:
        """Return whether the balancer sends it new channels."""
        return self.role == "entry" and self.misses < MISSES

    def address(self, port: str) -> str:
        """Return the address of one of its ports."""
        return f"{self.ip}:{PORTS[port]}"


class Deployment:
    """The platform's stand-ins, and the machines with the project's processes."""

    def __init__(self, case: Path, sides: int = 4) -> None:
        """Prepare a deployment with an entry in each zone and `sides` agents with runners."""
        self.record = Recorder(case / "record.txt")
        self.directory = Path(tempfile.mkdtemp(prefix="pistachiohill-review-"))
        self.store = Store()
        self.machines: list[Machine] = []
        self.runners: list[Runner] = []
        self._net = f"127.{random.randrange(16, 240)}.{random.randrange(1, 255)}"
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._store_address = f"{self._net}.1:{PORTS['store']}"
        self._sides = sides
        self._next_host = 10
        self._jobs: list[asyncio.Task[Any]] = []

    async def __aenter__(self) -> "Deployment":
        """Start everything and wait until all entries are in rotation."""
        host, _, port = self._store_address.rpartition(":")
        await self.store.async_start(host, int(port))
        self.store.put("keyed.op", "config", json.dumps(_manifest()).encode())
        for zone in ZONES:
            self.add_machine("entry", zone)
        for index in range(self._sides):
            side = self.add_machine("agent", ZONES[index % len(ZONES)])
            runner = Runner(
                f"i-{random.randrange(16**8):08x}",
                SERVICE,
                side.zone,
                side.ip,
                PORTS["app"],
                side.address("control"),
                self.record,
            )
            self.runners.append(runner)
            await runner.async_start()
        self._jobs.append(asyncio.ensure_future(self._async_balance()))
        await self.async_wait(lambda: all(m.in_rotation for m in self.entries()))
        await asyncio.sleep(3.0)  # so that all agents are linked, and all machines are in touch
        return self

    async def __aexit__(self, *_error: object) -> None:
        """End all processes that were started."""
        for job in self._jobs:
            job.cancel()
        for machine in self.machines:
            machine.stopped = True
            if machine.process is not None and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()

    def entries(self) -> list[Machine]:
        """Return the machines with an entry."""
        return [machine for machine in self.machines if machine.role == "entry"]

    def agents(self) -> list[Machine]:
        """Return the machines with an agent, in the order of `runners`."""
        return [machine for machine in self.machines if machine.role == "agent"]

    def add_machine(self, role: str, zone: str) -> Machine:
        """Add a machine and start its process."""
        ip = f"{self._net}.{self._next_host}"
        self._next_host += 1
        name = f"{self._roles[role]['on']}-{zone}-{self._next_host}"
        machine = Machine(name, role, ip, zone, self.directory / f"{name}.toml")
        machine.settings.write_text(self._render(machine))
        self.machines.append(machine)
        self._jobs.append(asyncio.ensure_future(self._async_run_process(machine)))
        self.record("machine_started", machine=name, ip=ip)
        return machine

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a machine's process."""
        assert machine.process is not None
        self.record("signal", machine=machine.name, signal=number.name)
        machine.process.send_signal(number)

    async def async_wait(self, check: Any) -> None:
        """Wait until a check returns true; raise TimeoutError after a while."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not check():
                await asyncio.sleep(0.05)

    def node_of(self, client: str, zone: str) -> Machine:
        """Return the node to which the balancer forwards a new channel of a client."""
        nodes = [machine for machine in self.entries() if machine.zone == zone]
        ready = [machine for machine in nodes if machine.in_rotation]
        if 2 * len(ready) < len(nodes):
            ready = nodes if ready else [m for m in self.entries() if m.in_rotation] or nodes
        return ready[crc32(client.encode()) % len(ready)]

    async def async_request(
        self,
        node: Machine,
        method: str,
        path: str,
        body: Any = None,
        deadline_s: float = 2.0,
        channel: Channel | None = None,
    ) -> Response:
        """Send a client's request to a node, and record it and its answer.

        It goes over a new channel if none is given.
        """
        headers = {"Host": HOST_NAME, "X-Deadline-Ms": str(int(deadline_s * 1000))}
        data = b"" if body is None else json.dumps(body).encode()
        self.record("request", method=method, path=path, node=node.name)
        if channel is None:
            address = node.address("front")
            response = await async_call(address, method, path, headers, data, deadline_s)
        else:
            response = await _async_call_on(channel, method, path, headers, data, deadline_s)
        text = response.body.decode(errors="replace")
        self.record(
            "answer", method=method, path=path, node=node.name, status=response.status, body=text
        )
        return response

    async def _async_balance(self) -> None:
        async def async_check(machine: Machine) -> None:
            response = await async_call(
                machine.address("ready"), "GET", "/api/ready", timeout_s=0.9
            )
            machine.misses = 0 if response.status == 200 else machine.misses + 1

        while True:
            checks = [async_check(machine) for machine in self.entries()]
            await asyncio.gather(*checks, asyncio.sleep(1.0))

    async def _async_run_process(self, machine: Machine) -> None:
        """Run a machine's process, and start it again when it has ended."""
        words = self._roles[machine.role]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PISTACHIOHILL_NODE_FILE"] = str(machine.settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self.directory / f"{machine.name}.log").open("ab") as log:
            while not machine.stopped:
                machine.process = await asyncio.create_subprocess_exec(
                    *words, cwd=ROOT, env=environment, stdout=log, stderr=log
                )
                code = await machine.process.wait()
                if not machine.stopped:
                    machine.exits.append(code)
                    self.record("process_ended", machine=machine.name, code=code)
                    await asyncio.sleep(RESTART_S)

    def _render(self, machine: Machine) -> str:
        """Fill in a role's template as the platform does."""
        values = {
            "node": machine.name,
            "zone": machine.zone,
            "ip": machine.ip,
            "portRange.0": str(FIRST_NODE_PORT),
            "listen.front": machine.address("front"),
            "listen.ready": machine.address("ready"),
            "listen.control": machine.address("control"),
            "platform.address": self._store_address,
            "seeds|json": "[]",
            "bounds.graceS": "6",
        }
        template = (ROOT / self._roles[machine.role]["template"]).read_text()
        return re.sub(r"\{\{([^}]+)\}\}", lambda match: values[match[1]], template)


async def _async_call_on(
    channel: Channel,
    method: str,
    path: str,
    headers: dict[str, str],
    data: bytes,
    deadline_s: float,
) -> Response:
    try:
        async with asyncio.timeout(deadline_s):
            return await channel.async_call(method, path, headers, data)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Response(NO_RESPONSE)


AsyncCase = Callable[[Deployment, bool], Awaitable[Outcome]]


def run_case(case: Path, async_run: AsyncCase, sides: int = 4) -> None:
    """Run a case and exit: with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

    async def async_main() -> None:
        code = Outcome.NOT_RUN
        deployment = Deployment(case, sides)
        try:
            async with deployment:
                code = await async_run(deployment, os.environ.get("TROUBLE", "1") != "0")
        except Exception as err:  # an error of the stand-ins says nothing of the rule
            deployment.record("could_not_run", error=repr(err))
        deployment.record("result", code=int(code))
        os._exit(code)  # open channels of the stand-ins need no orderly end

    asyncio.run(async_main())


def job_body(tasks: int, run_s: float) -> dict[str, Any]:
    """Return the body of a best-effort job with one step."""
    step = {"count": tasks, "cpu": 3100, "memMb": 64, "estDurationMs": int(run_s * 1000)}
    return {"spec": json.dumps({"run_s": run_s}), "bestEffort": True, "steps": [step]}


def _manifest() -> dict[str, Any]:
    routes = [
        {
            "name": name,
            "host": HOST_NAME,
            "pathPrefix": prefix,
            "service": SERVICE,
            "priority": priority,
            "maxAttempts": max_attempts,
            "slackFactor": 1.6,
            "targetLatencyMs": 60,
            "timeoutMs": ROUTE_TIMEOUT_MS,
        }
        for name, prefix, priority, max_attempts in (
            ("stamp", PREFIX, 0, 2),
            ("rank", RANK_PREFIX, 2, 4),
            ("confirm", CONFIRM_PREFIX, 1, 2),
        )
    ]
    services = [{"name": SERVICE, "healthPath": "/healthz", "admissionControl": False}]
    return {"version": 3, "routes": routes, "services": services, "limits": {}}
