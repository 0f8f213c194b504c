"""A small deployment on loopback: the processes of the deploy file, and stand-ins around them."""

import asyncio
import json
import os
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .http11 import async_call
from .runner import Run, Runner
from .store import Store

REPOSITORY = Path(__file__).resolve().parents[2]
SERVICE = "clockd"
HOST = "lofts.example"
PREFIX = "/stamp/"
ZONES = ("bern-a", "solothurn-b", "aarau-c")
HTTP_PORT = 9464  # as the templates of the settings say
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, APP_PORT, STORE_PORT = range(18161, 18167)
READY_S = 30.0
EXIT_HELD, EXIT_BROKEN, EXIT_UNUSABLE = 0, 1, 2
LIMITS = {"entry": {"memoryMb": 300, "maxFds": 4100}, "agent": {"memoryMb": 168, "maxFds": 4096}}


class UnusableError(Exception):
    """Raised if a case couldn't be run."""


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclass
class Machine:
    """A machine of the deployment and the process on it."""

    role: str
    name: str
    zone: str
    ip: str
    popen: subprocess.Popen[bytes] | None = None
    runner: Runner | None = None


class World:
    """Store, entries, agents and runners; use it as an asynchronous context manager."""

    def __init__(
        self,
        folder: Path,
        entries: int = 3,
        agents: int = 6,
        capacity: int = 8000,
        route: dict[str, Any] | None = None,
    ) -> None:
        """Prepare a deployment whose record is written into `folder`."""
        self._record = (folder / "record.txt").open("w")
        self._began_s = time.time()
        self._kept: list[asyncio.Task[None]] = []
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self._route = route or {}
        self._version = 0
        network = _free_network(entries + agents + 2)
        self.store_ip = f"{network}.1"
        self.entries = [self._machine("entry", index, network) for index in range(entries)]
        self.agents = [self._machine("agent", index, network) for index in range(agents)]
        for machine in self.agents:
            control = (machine.ip, CONTROL_PORT)
            machine.runner = Runner(
                machine.name,
                SERVICE,
                machine.zone,
                machine.ip,
                APP_PORT,
                control,
                capacity,
                self.log,
            )

    def _machine(self, role: str, index: int, network: str) -> Machine:
        last = 10 + index if role == "entry" else 100 + index
        return Machine(role, f"{role}{index}", ZONES[index % len(ZONES)], f"{network}.{last}")

    def log(self, text: str) -> None:
        """Write a line into the record."""
        self._record.write(f"{time.time() - self._began_s:9.3f} {text}\n")
        self._record.flush()

    def keep(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine beside the case."""
        self._kept.append(asyncio.create_task(coroutine))

    def runners(self) -> list[Runner]:
        """Return the runners of all agents."""
        return [machine.runner for machine in self.agents if machine.runner is not None]

    def runs(self, key: str) -> list[Run]:
        """Return all runs of a job's tasks."""
        found = [run for runner in self.runners() for run in runner.history]
        return [run for run in found if run.task.startswith(f"{key}.")]

    async def __aenter__(self) -> "World":
        """Start everything and wait until jobs can be served."""
        try:
            await self.store.async_serve(self.store_ip, STORE_PORT)
            self.publish([self._default_route()])
            for runner in self.runners():
                await runner.async_serve()
            for machine in (*self.entries, *self.agents):
                self.start(machine)
            await self._async_wait_ready()
        except BaseException:
            self._end()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes."""
        self._end()

    def _end(self) -> None:
        for machine in (*self.entries, *self.agents):
            if machine.popen is not None:
                machine.popen.kill()
                machine.popen.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self._temporary)
        else:
            shutil.rmtree(self._temporary, ignore_errors=True)

    def _default_route(self) -> dict[str, Any]:
        return {
            "name": "stamp",
            "host": HOST,
            "pathPrefix": PREFIX,
            "kind": "unsafe",
            "timeoutMs": 1500,
            "targetLatencyMs": 60,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 2,
            "slackFactor": 1.6,
            **self._route,
        }

    def publish(self, routes: list[dict[str, Any]]) -> None:
        """Write a manifest with these routes beside one that no client uses."""
        self._version += 7
        unused = {**self._default_route(), "name": "unused", "pathPrefix": "/unused/"}
        manifest = {
            "version": self._version,
            "routes": [unused, *routes],
            "services": [{"name": SERVICE, "admissionControl": False}],
            "limits": {},
        }
        self.store.put("keyed.op", "config", json.dumps(manifest).encode())
        names = ", ".join(route["name"] for route in manifest["routes"])
        self.log(f"manifest {self._version}: {names}")

    def start(self, machine: Machine) -> None:
        """Start the process of a machine as the deploy file says."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = deploy["roles"][machine.role]
        fields = self._fields(machine)
        settings = self._temporary / f"{machine.name}.toml"
        settings.write_text(_render((REPOSITORY / role["template"]).read_text(), fields))
        environment = {name: _render(text, fields) for name, text in role.get("env", {}).items()}
        environment |= {
            "PISTACHIOHILL_NODE_FILE": str(settings),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self._temporary / f"{machine.name}.log").open("ab") as output:
            machine.popen = subprocess.Popen(
                role["run"].split(),
                cwd=REPOSITORY,
                env={**os.environ, **environment},
                stdout=output,
                stderr=output,
            )

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        assert machine.popen is not None
        machine.popen.send_signal(number)
        self.log(f"{number.name} to {machine.name}")

    def _fields(self, machine: Machine) -> dict[str, Any]:
        return {
            "node": machine.name,
            "zone": machine.zone,
            "ip": machine.ip,
            "portRange": [PEER_PORT, PEER_PORT + 15],
            "seeds": [f"{item.ip}:{CONTROL_PORT}" for item in self.entries],
            "listen": {
                "front": f"{machine.ip}:{FRONT_PORT}",
                "ready": f"{machine.ip}:{READY_PORT}",
                "control": f"{machine.ip}:{CONTROL_PORT}",
            },
            "platform": {"address": f"{self.store_ip}:{STORE_PORT}"},
            "bounds": {"graceS": 6},
            "limits": LIMITS[machine.role],
        }

    async def _async_wait_ready(self) -> None:
        until_s = time.time() + READY_S
        while time.time() < until_s:
            ready = [await self._async_is_ready(machine) for machine in self.entries]
            if all(ready):
                await asyncio.sleep(4.5)  # past the first seconds, in which agents are still linked
                return
            await asyncio.sleep(0.1)
        raise UnusableError("the entries didn't get ready")

    async def _async_is_ready(self, machine: Machine) -> bool:
        status, _ = await async_call(machine.ip, READY_PORT, "GET", "/api/ready", timeout_s=1.0)
        return status == 200

    # Clients

    async def async_submit(
        self,
        entry: Machine,
        key: str,
        count: int,
        work_s: float,
        time_limit_s: float,
        cpu: int = 3100,
    ) -> int:
        """Hand a job in and wait for its answer; return the status, 0 if there was none."""
        spec = json.dumps({"work_s": work_s, "cpu": cpu})
        step = {"count": count, "cpu": cpu, "memMb": 64, "estDurationMs": int(work_s * 1000)}
        body = json.dumps({"spec": spec, "bestEffort": True, "steps": [step]}).encode()
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(int(time_limit_s * 1000)),
        }
        self.log(f"POST {key} to {entry.name}: {count} tasks of {work_s} s")
        status, answer = await async_call(
            entry.ip, FRONT_PORT, "POST", PREFIX + key, headers, body, time_limit_s
        )
        self.log(f"POST {key} at {entry.name} answered {status} {answer.decode()[:120]}")
        return status

    async def async_cancel(self, entry: Machine, key: str) -> int:
        """Cancel a job; return the status, 0 if there was no answer."""
        self.log(f"DELETE {key} to {entry.name}")
        status, _ = await async_call(
            entry.ip, FRONT_PORT, "DELETE", PREFIX + key, {"Host": HOST}, timeout_s=5.0
        )
        self.log(f"DELETE {key} at {entry.name} answered {status}")
        return status


def new_key() -> str:
    """Return an id for a job, as a client chooses it."""
    return secrets.token_hex(8)


def _render(text: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of a template."""

    def value_of(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        value: Any = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", value_of, text)


def _free_network(tries: int) -> str:
    """Return the first three numbers of loopback addresses whose ports are free."""
    for _ in range(20 * tries):
        network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        if all(_is_free(f"{network}.10", port) for port in (HTTP_PORT, FRONT_PORT, PEER_PORT)):
            return network
    raise UnusableError("no free loopback addresses")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def run_case(case: Any) -> int:
    """Run a case's coroutine; return the exit code of its script."""
    try:
        return EXIT_BROKEN if asyncio.run(case) else EXIT_HELD
    except Exception as err:  # a script that fails shows nothing of the rule
        print(f"the case couldn't run: {err!r}")
        return EXIT_UNUSABLE
