"""A small deployment on loopback: entries and agents as processes, all else as stand-ins.

The processes are started by the commands of the deploy file, with settings made from its
templates. Every machine has a loopback address of its own.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .http import Server, call
from .runner import Run, Runner
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("bern-a", "solothurn-b", "aarau-c")
HOST_NAME = "lofts.example"
SERVICE = "clockd"
READY_TIMEOUT_S = 30.0
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, RUNNER_PORT, STORE_PORT = range(8161, 8167)
OPERATOR_TOPIC = "keyed.op"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """Raised if a case can't be judged, for example since the deployment isn't ready."""


@dataclass
class Machine:
    """A machine of the system, with its process."""

    name: str
    role: str
    zone: str
    ip: str
    file: Path
    log: Path
    popen: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return f"{self.ip}:{FRONT_PORT}"


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the manifest."""
    values = {"priority": 0, "maxAttempts": 4, "slackFactor": 1.6, "targetLatencyMs": 1000}
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": prefix,
        "service": SERVICE,
        **values,
        **fields,
    }


def manifest(version: int, routes: list[dict[str, Any]]) -> bytes:
    """Return a manifest as the operator writes it."""
    services = [{"name": SERVICE, "healthPath": "/healthz", "admissionControl": False}]
    value = {"version": version, "routes": routes, "services": services, "limits": {}}
    return json.dumps(value).encode()


@dataclass
class Deployment:
    """A running deployment, and the record of what was seen."""

    entries: int = 3
    agents: int = 3
    started_s: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)
    fronts: list[Machine] = field(default_factory=list)
    sides: list[Machine] = field(default_factory=list)
    runners: list[Runner] = field(default_factory=list)
    store: Store = field(default_factory=Store)

    def log(self, event: str, **fields: Any) -> None:
        """Add a line to the record."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{time.monotonic() - self.started_s:8.3f} {event} {text}")

    async def start(self, routes: list[dict[str, Any]]) -> None:
        """Start everything, and wait until all entries are ready and know all agents."""
        self._directory = Path(tempfile.mkdtemp(prefix="review-"))
        self._net = f"127.{random.randint(16, 239)}.{random.randint(1, 254)}"
        self._place()
        self._check_ports()
        self._store_server = Server(self.store.handle, self._ip(250), STORE_PORT)
        await self._store_server.start()
        self.store.put(OPERATOR_TOPIC, "config", manifest(2, routes))
        for machine in (*self.fronts, *self.sides):
            self.start_process(machine)
        for runner in self.runners:
            await runner.start()
        await self.until(self._all_ready, "entries to be ready")
        await self.until(self._all_linked, "agents to be linked")

    def _ip(self, number: int) -> str:
        return f"{self._net}.{number}"

    def _place(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]
        for index in range(self.entries):
            self.fronts.append(self._machine("front", "entry", index, 1 + index))
        for index in range(self.agents):
            machine = self._machine("side", "agent", index, 101 + index)
            self.sides.append(machine)
            control = f"{machine.ip}:{CONTROL_PORT}"
            self.runners.append(
                Runner(
                    f"i-{index}{random.randrange(16**6):06x}",
                    machine.zone,
                    SERVICE,
                    machine.ip,
                    RUNNER_PORT,
                    control,
                    self.log,
                )
            )

    def _machine(self, kind: str, role: str, index: int, number: int) -> Machine:
        zone = ZONES[index % len(ZONES)]
        name = f"{kind}-{zone}-{1 + index // len(ZONES)}"
        machine = Machine(
            name,
            role,
            zone,
            self._ip(number),
            self._directory / f"{name}.toml",
            self._directory / f"{name}.log",
        )
        machine.file.write_text(self._settings(machine))
        return machine

    def _settings(self, machine: Machine) -> str:
        seeds = [f"{self._ip(101 + index)}:{CONTROL_PORT}" for index in range(self.agents)][:3]
        values = {
            "node": machine.name,
            "zone": machine.zone,
            "ip": machine.ip,
            "portRange.0": str(PEER_PORT),
            "listen.front": f"{machine.ip}:{FRONT_PORT}",
            "listen.ready": f"{machine.ip}:{READY_PORT}",
            "listen.control": f"{machine.ip}:{CONTROL_PORT}",
            "platform.address": f"{self._ip(250)}:{STORE_PORT}",
            "bounds.graceS": "6",
            "seeds|json": json.dumps(seeds),
        }
        template = (ROOT / self._roles[machine.role]["template"]).read_text()
        return re.sub(r"\{\{([^}]+)\}\}", lambda match: values[match[1]], template)

    def _check_ports(self) -> None:
        for machine in (*self.fronts, *self.sides):
            for port in (FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, RUNNER_PORT, 9464):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((machine.ip, port))

    def start_process(self, machine: Machine) -> None:
        """Start the program of a machine by the command of the deploy file."""
        command = self._roles[machine.role]["run"].split(" ")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["PISTACHIOHILL_NODE_FILE"] = str(machine.file)
        with machine.log.open("ab") as log:
            machine.popen = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.log("process_started", machine=machine.name)

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a machine's process."""
        assert machine.popen is not None
        self.log("signal", machine=machine.name, signal=number.name)
        machine.popen.send_signal(number)

    async def ended(self, machine: Machine, timeout_s: float = 10.0) -> None:
        """Wait until a machine's process has ended."""
        popen = machine.popen
        assert popen is not None

        async def has_ended() -> bool:
            return popen.poll() is not None

        await self.until(has_ended, f"{machine.name} to end", timeout_s)
        self.log("process_ended", machine=machine.name, code=popen.returncode)

    async def until(self, check: Any, what: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Poll a check until it holds."""
        give_up_s = time.monotonic() + timeout_s
        while not await check():
            if time.monotonic() > give_up_s:
                raise CannotRunError(f"gave up waiting for {what}")
            await asyncio.sleep(0.05)

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether an entry says that it is ready."""
        status, _ = await call("GET", f"{machine.ip}:{READY_PORT}", "/api/ready", timeout_s=1.0)
        return status == 200

    async def _all_ready(self) -> bool:
        return all([await self.is_ready(machine) for machine in self.fronts])

    async def _all_linked(self) -> bool:
        for machine in self.sides:
            status, value = await call("GET", f"{machine.ip}:9464", "/ready", timeout_s=1.0)
            if status != 200 or value.get("links", 0) < len(self.fronts):
                return False
        return True

    async def submit(
        self,
        entry: Machine,
        path: str,
        count: int,
        run_s: float,
        deadline_s: float,
        cpu: int = 1000,
    ) -> tuple[int, dict[str, Any]]:
        """Hand in a best-effort job and return the answer when it has ended."""
        estimate_ms = int(run_s * 1000)
        step = {"count": count, "cpu": cpu, "memMb": 64, "estDurationMs": estimate_ms}
        body = {"spec": json.dumps({"run_s": run_s}), "bestEffort": True, "steps": [step]}
        headers = {"Host": HOST_NAME, "X-Deadline-Ms": str(int(deadline_s * 1000))}
        self.log("job_sent", machine=entry.name, path=path, tasks=count)
        status, value = await call("POST", entry.front, path, body, headers, deadline_s)
        state = value.get("state", value.get("reason", ""))
        self.log("job_answered", machine=entry.name, path=path, status=status, state=state)
        return status, value

    async def request(self, method: str, entry: Machine, path: str) -> int:
        """Send another request of a client and return its status."""
        status, _ = await call(method, entry.front, path, headers={"Host": HOST_NAME})
        self.log("request", method=method, machine=entry.name, path=path, status=status)
        return status

    def evacuate(self, zone: str) -> None:
        """Let the operator evacuate a zone."""
        offset = self.store.put(OPERATOR_TOPIC, f"evacuate/{zone}", b"{}")
        self.log("evacuation", zone=zone, offset=offset)

    def runs_of(self, key: str) -> list[Run]:
        """Return all runs of a job's tasks at all runners."""
        return [
            run for runner in self.runners for run in runner.history if run.task.startswith(key)
        ]

    def close(self) -> None:
        """End all processes that were started."""
        for machine in (*self.fronts, *self.sides):
            if machine.popen is not None and machine.popen.poll() is None:
                machine.popen.send_signal(signal.SIGCONT)
                machine.popen.kill()
                machine.popen.wait()


def overlaps(runs: list[Run]) -> list[tuple[Run, Run]]:
    """Return the pairs of runs of one task that were at work at the same time."""
    found = []
    for index, first in enumerate(runs):
        for other in runs[index + 1 :]:
            if first.task != other.task:
                continue
            early, late = sorted((first, other), key=lambda run: run.started_s)
            if early.ended_s is None or late.started_s < early.ended_s:
                found.append((early, late))
    return found


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Any, **sizes: int) -> None:
    """Play a case, write its record, and exit with 0 (held), 1 (broken) or 2 (could not run)."""

    async def main() -> int:
        deployment = Deployment(**sizes)
        this_task = asyncio.current_task()
        assert this_task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
        try:
            async with asyncio.timeout(115):
                broken = await play(deployment)
            code = BROKEN if broken else HELD
        except (Exception, asyncio.CancelledError) as err:  # nothing was judged
            deployment.log("could_not_run", why=repr(err))
            code = NOT_RUN
        finally:
            deployment.close()
        verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code]
        deployment.log("result", rule=verdict, trouble=int(trouble()))
        (folder / "record.txt").write_text("\n".join(deployment.lines) + "\n")
        print(verdict)
        return code

    sys.exit(asyncio.run(main()))
