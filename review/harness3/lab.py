"""A small deployment: entries and agents as processes, with the commands of the deploy file."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .http1 import call
from .platform import Runner, Store

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "lab.example"
PREFIX = "/queue/"
SERVICE = "labd"
ZONES = ("bern-a", "solothurn-b", "aarau-c")
READY_TIMEOUT_S = 40.0
# What the users' small deployment grants each process.
ENTRY_LIMITS = {"memoryMb": 300, "maxFds": 4100}
AGENT_LIMITS = {"memoryMb": 168, "maxFds": 4096}


class CannotRunError(Exception):
    """Raised if the deployment does not come up."""


def fill(template: str, values: dict[str, Any]) -> str:
    """Fill in the placeholders of a settings template."""

    def replace(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        value: Any = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replace, template)


class Daemon:
    """One process of the project, on a loopback address of its own."""

    def __init__(self, lab: "Lab", role: str, name: str, zone: str, host: str) -> None:
        """Write the settings of the process."""
        spec = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][role]
        base = lab.base_port
        self.name, self.zone, self.host = name, zone, host
        self.front, self.ready = f"{host}:{base}", f"{host}:{base + 1}"
        self.control = f"{host}:{base + 2}"
        self.http = f"{host}:9464"
        limits = ENTRY_LIMITS if role == "entry" else AGENT_LIMITS
        values = {
            "node": name,
            "zone": zone,
            "ip": host,
            "portRange": [base + 3, base + 18],
            "seeds": [],
            "bounds": {"graceS": 6},
            "platform": {"address": lab.store.address},
            "listen": {"front": self.front, "ready": self.ready, "control": self.control},
            "limits": limits,
        }
        self._file = lab.folder / f"{name}.toml"
        self._file.write_text(fill((ROOT / spec["template"]).read_text(), values))
        self._run = [sys.executable, *spec["run"].split()[1:]]
        self._env = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        self._env |= {key: fill(text, values) for key, text in spec["env"].items()}
        self._env["PISTACHIOHILL_NODE_FILE"] = str(self._file)
        self._env["PYTHONPATH"] = str(ROOT / "target/deps")
        self._env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.log_path = lab.folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self._lab = lab

    def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as out:
            self.process = subprocess.Popen(
                self._run, cwd=ROOT, env=self._env, stdout=out, stderr=out
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._lab.record("signal", process=self.name, signal=number.name)
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process, also if it is stopped, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Lab:
    """The store, the entries, and the agents with their runners."""

    def __init__(self, record_path: Path, entries: int, agents: int, cpu: int) -> None:
        """Prepare the deployment; nothing is started yet."""
        self._began_s = time.monotonic()
        self._record = record_path.open("w")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.base_port = _free_base_port()
        net = random.randrange(10, 250)
        self.store = Store(f"127.{net}.0.1", self.base_port)
        self.entries = [
            Daemon(self, "entry", f"entry-{i}", ZONES[i % 3], f"127.{net}.1.{i + 1}")
            for i in range(entries)
        ]
        self.agents = [
            Daemon(self, "agent", f"agent-{i}", ZONES[i % 3], f"127.{net}.2.{i + 1}")
            for i in range(agents)
        ]
        self.runners = [
            Runner(
                f"i-{random.randrange(16**8):08x}",
                agent.host,
                self.base_port + 19,
                agent.control,
                SERVICE,
                agent.zone,
                cpu,
                self.record,
            )
            for agent in self.agents
        ]
        self.routes = [_route("lab", PREFIX)]
        self.version = 0

    def now_s(self) -> float:
        """Return the time since the lab began."""
        return time.monotonic() - self._began_s

    def record(self, event: str, **fields: Any) -> None:
        """Write a line to the record."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record.write(f"{self.now_s():9.3f} {event} {text}\n")
        self._record.flush()

    def next_manifest(self) -> bytes:
        """Return the next version of the manifest, with the present routes."""
        self.version += 3
        value = {
            "version": self.version,
            "routes": self.routes,
            "services": [{"name": SERVICE, "healthPath": "/healthz"}],
            "limits": {},
        }
        return json.dumps(value).encode()

    def write_manifest(self, manifest: bytes) -> None:
        """Write a manifest, which the store acknowledges."""
        self.store.put("keyed.op", "config", manifest)
        self.record("manifest", version=json.loads(manifest)["version"])

    def publish(self) -> None:
        """Write a manifest with the present routes."""
        self.write_manifest(self.next_manifest())

    def add_route(self, prefix: str) -> None:
        """Add a route to the manifests that follow."""
        self.routes = [*self.routes, _route(f"route-{self.version}", prefix)]

    def remove_routes(self) -> None:
        """Leave all routes so far out of the manifests that follow."""
        self.routes = []

    async def start(self) -> None:
        """Start everything and wait until each entry is linked to all agents."""
        await self.store.start()
        self.publish()
        for runner in self.runners:
            await runner.start()
        for daemon in (*self.agents, *self.entries):
            daemon.start()
        until = time.monotonic() + READY_TIMEOUT_S
        for entry in self.entries:
            while not await self._is_linked(entry):
                if time.monotonic() > until:
                    raise CannotRunError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        self.record("ready")

    async def _is_linked(self, entry: Daemon) -> bool:
        status, _ = await call(entry.ready, "GET", "/api/ready", timeout_s=1.0)
        if status != 200:
            return False
        wanted = len(self.agents) if len(self.entries) <= 4 else 1
        text = entry.log_path.read_text(errors="replace")
        others = len(self.entries) - 1
        return text.count("event=agent_accepting") >= wanted and (
            text.count("event=peer_linked") >= min(others, 10)
        )

    def close(self) -> None:
        """End all processes and remove the folder."""
        for daemon in (*self.entries, *self.agents):
            daemon.end()
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()

    async def job(
        self,
        entry: Daemon,
        key: str,
        tasks: int,
        work_ms: int,
        deadline_s: float,
        cpu: int = 1000,
    ) -> tuple[int, bytes]:
        """Submit a job and wait for its answer."""
        path, headers, body = job_request(key, tasks, work_ms, deadline_s, cpu)
        self.record("post", entry=entry.name, key=key)
        status, answer = await call(entry.front, "POST", path, headers, body, deadline_s)
        self.record("answer", entry=entry.name, key=key, status=status, body=answer.decode())
        return status, answer


def _route(name: str, prefix: str) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": prefix,
        "service": SERVICE,
        "priority": 0,
        "maxAttempts": 3,
        "slackFactor": 1.6,
        "targetLatencyMs": 60,
    }


def job_request(
    key: str, tasks: int, work_ms: int, deadline_s: float, cpu: int = 1000
) -> tuple[str, dict[str, str], bytes]:
    """Return path, headers and body of a job's submission."""
    step = {"count": tasks, "cpu": cpu, "memMb": 64, "estDurationMs": work_ms}
    job = {"spec": f"ms={work_ms}", "bestEffort": True, "steps": [step]}
    headers = {
        "Host": HOST_NAME,
        "Content-Type": "application/json",
        "X-Deadline-Ms": str(int(deadline_s * 1000)),
    }
    return PREFIX + key, headers, json.dumps(job).encode()


def new_key() -> str:
    """Return the id of a new job."""
    return f"{random.getrandbits(64):016x}"


def cancel_is_acked(status: int) -> bool:
    """Return whether the answer to a cancel acknowledges it."""
    return 200 <= status < 300 or status == 410


def run_case(
    play: Callable[[Lab], Awaitable[bool]], folder: Path, *, entries: int, agents: int, cpu: int
) -> None:
    """Run a case, and exit with 1 if it broke its rule, 0 if not, 2 if it could not run."""

    async def async_run() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        lab = Lab(folder / "record.txt", entries, agents, cpu)
        try:
            return int(await play(lab))
        except (CannotRunError, OSError, asyncio.CancelledError) as err:
            print(f"could not run: {err!r}")
            return 2
        finally:
            lab.close()

    sys.exit(asyncio.run(async_run()))


def _free_base_port() -> int:
    """Return the first of 20 ports on which nothing listens."""
    while True:
        base = random.randrange(12000, 30000, 20)
        for port in range(base, base + 20):
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    break
        else:
            return base
