"""Start a small deployment in separate processes on loopback and inject faults.

Used by the demo, the failure tests and the experiments.
"""

import json
import signal
import struct
import sys
import tempfile
import tomllib
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import Any

import httpcore
import trio
from attrs import define, field, frozen

from pistachiohill.client import Client
from pistachiohill.entry.auth import hash_token
from pistachiohill.platform.const import PATH_LOG_APPEND

from .processes import HOST, POLL_INTERVAL_S, Process, free_ports

RECORD_LENGTH = struct.Struct(">I")

SECRET = "deployment-secret"
OPERATOR_TOKEN = "operator-token"
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0


@frozen
class TargetSpec:
    """A target and its agent; `relay` puts a relay between the entries and the agent."""

    domain: str
    slots: int = 8
    slowness: float = 1.0
    service: str = "clocking"
    delay_s: float = 0.0
    relay: bool = False


@frozen
class MemberSpec:
    """A member with its settings and the jobs that it may submit."""

    name: str
    jobs: tuple[str, ...] = ("clocking",)
    values_toml: str = ""
    job_toml: str = 'service = "clocking"\n'

    @property
    def token(self) -> str:
        """Return the member's access token."""
        return f"token-{self.name}"


@frozen
class DeploymentSpec:
    """The processes to start and the settings to publish.

    Fields:
        targets: The targets; each has an agent of its own.
        entries: The number of entries.
        members: The members of the consortium, with their settings.
        consortium_toml: Settings of the root node of the settings tree.
        entry_overrides, agent_overrides: Additional command-line options.
        relay_entries: Put a relay in front of the peer port of each entry.
        record_starts: Print the start of each task, as `recorded_starts` requires.
    """

    targets: tuple[TargetSpec, ...]
    entries: int = 2
    members: tuple[MemberSpec, ...] = (MemberSpec("brunner"),)
    consortium_toml: str = ""
    entry_overrides: tuple[str, ...] = ()
    agent_overrides: tuple[str, ...] = ()
    relay_entries: bool = False
    record_starts: bool = True


@define(eq=False)
class EntryProcess(Process):
    """An entry, its HTTP URL, its peer port and the control URL of the relay in front of it."""

    url: str = ""
    peer_port: int = 0
    relay_control_url: str = ""


@define(eq=False)
class AgentProcess(Process):
    """An agent, its target, and the control URL of the relay in front of it."""

    url: str = ""
    peer_port: int = 0
    domain: str = ""
    target: Process = field(default=None)
    target_url: str = ""
    relay_control_url: str = ""


@frozen
class RecordedStart:
    """A start of a task that a target printed; `at_s` is in seconds since the epoch."""

    task_id: str
    domain: str
    at_s: float


class Deployment:
    """A running deployment; use it as an asynchronous context manager."""

    def __init__(self, spec: DeploymentSpec, directory: Path | None = None) -> None:
        """Prepare a deployment that logs to `directory`, by default a new temporary one."""
        self.spec = spec
        self.directory = directory or Path(tempfile.mkdtemp(prefix="pistachiohill-"))
        self.entries: list[EntryProcess] = []
        self.agents: list[AgentProcess] = []
        self.store: Process
        self.store_url = ""
        self._other_processes: list[Process] = []
        self._pool = httpcore.AsyncConnectionPool(max_connections=100)

    async def __aenter__(self) -> "Deployment":
        """Start all processes and wait until tasks can be submitted."""
        try:
            await self._async_start()
        except BaseException:
            self._kill_all()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill all processes."""
        self._kill_all()
        with trio.CancelScope(shield=True):
            await self._pool.aclose()

    def client(self, member: str, entries: Sequence[int] | None = None) -> Client:
        """Return a client of a member for all entries, or for those with the given indexes."""
        urls = [item.url for item in self.entries]
        if entries is not None:
            urls = [urls[index] for index in entries]
        token = next(item.token for item in self.spec.members if item.name == member)
        return Client(urls, token)

    async def async_request_json(
        self, method: str, url: str, value: Any = None, token: str = "", timeout_s: float = 15.0
    ) -> tuple[int, Any]:
        """Send an HTTP request with a JSON body; return the status and the decoded response."""
        response = await self._pool.request(
            method,
            url,
            headers={"authorization": f"Bearer {token}"} if token else {},
            content=None if value is None else json.dumps(value).encode(),
            extensions={"timeout": dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)},
        )
        return response.status, json.loads(response.content)

    async def async_get_text(self, url: str) -> str:
        """Return the body of a response as text."""
        return (await self._pool.request("GET", url)).content.decode()

    async def async_call_operator(
        self, method: str, path: str, value: Any = None, entry: int = 0
    ) -> tuple[int, Any]:
        """Call the operator API of an entry."""
        url = self.entries[entry].url + path
        return await self.async_request_json(method, url, value, OPERATOR_TOKEN)

    async def async_publish(
        self, path: str, text: str, entry: int = 0, **fields: Any
    ) -> tuple[int, Any]:
        """Publish a node of the settings tree."""
        value = {"path": path, "values_toml": text, **fields}
        return await self.async_call_operator("POST", "/v1/operator/changes", value, entry)

    async def async_set_domain_out(
        self, domain: str, out: bool, entry: int = 0, **fields: Any
    ) -> tuple[int, Any]:
        """Take a failure domain out of service or bring it back."""
        value = {"out": out, **fields}
        return await self.async_call_operator("PUT", f"/v1/operator/domains/{domain}", value, entry)

    async def async_set_store_faults(self, **faults: Any) -> Any:
        """Set faults of the platform's store."""
        _, value = await self.async_request_json("POST", f"{self.store_url}/v1/faults", faults)
        return value

    async def async_append_raw(self, topic: str, record: bytes) -> None:
        """Append a record to a topic of the platform's store without encoding or checking it."""
        url = f"{self.store_url}{PATH_LOG_APPEND}?topic={topic}&part=0"
        await self._pool.request("POST", url, content=RECORD_LENGTH.pack(len(record)) + record)

    async def async_expire_history(self) -> None:
        """Drop the history of all topics of the platform's store."""
        await self._pool.request("POST", f"{self.store_url}/v1/expire", content=b"{}")

    async def async_start_counts(self) -> dict[str, int]:
        """Return the number of starts by task id, summed over all running targets."""
        totals: dict[str, int] = {}
        for agent in self.agents:
            if agent.target.popen is None or agent.target.popen.poll() is not None:
                continue
            _, value = await self.async_request_json("GET", f"{agent.target_url}/counts")
            for task_id, count in value["starts"].items():
                totals[task_id] = totals.get(task_id, 0) + count
        return totals

    def recorded_starts(self) -> list[RecordedStart]:
        """Return every start that the targets printed, including targets that were killed."""
        starts = []
        for agent in self.agents:
            for line in agent.target.log_text().splitlines():
                words = line.split()
                if len(words) == 3 and words[0] == "start":
                    starts.append(RecordedStart(words[1], agent.domain, float(words[2])))
        return starts

    async def async_status(self, entry: int = 0) -> Any:
        """Return an entry's status."""
        _, value = await self.async_call_operator("GET", "/v1/operator/status", entry=entry)
        return value

    async def async_wait_until(
        self, description: str, check: Any, timeout_s: float = READY_TIMEOUT_S
    ) -> Any:
        """Poll an asynchronous check until it returns a true value; return that value.

        Network errors count as false, since processes may still be starting.
        """
        with trio.move_on_after(timeout_s):
            while True:
                try:
                    if value := await check():
                        return value
                except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                    pass
                await trio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(
            f"timed out after {timeout_s:g} s: {description}; logs in {self.directory}"
        )

    async def async_wait_views_expired(self, max_age_s: float) -> None:
        """Wait until every view taken before this call is older than `max_age_s`."""
        expires_at_s = trio.current_time() + max_age_s

        async def async_check() -> bool:
            return trio.current_time() > expires_at_s

        await self.async_wait_until("expired views", async_check)

    async def async_wait_accepting_agents(self, entry: int, agents: int) -> None:
        """Wait until an entry has `agents` accepting agents."""

        async def async_check() -> bool:
            status = await self.async_status(entry)
            return sum(item["accepting"] for item in status["agents"]) == agents

        await self.async_wait_until(f"{agents} accepting agents at entry {entry}", async_check)

    def spawn(self, name: str, *args: str, kind: str = "pistachiohill") -> Process:
        """Start another process, running the Python module `kind`."""
        process = self._new_process(name, kind, *args)
        self._other_processes.append(process)
        process.start()
        return process

    def new_entry(self, index: int) -> EntryProcess:
        """Create an entry process with free ports; its peers are the existing entries."""
        http_port, peer_port, relay_port, control_port = free_ports(4)
        peers = [f"{HOST}:{item.peer_port}" for item in self.entries]
        args = [
            "entry",
            f"--name=entry{index}",
            f"--domain=domain-{index}",
            f"--http_port={http_port}",
            f"--peer_port={peer_port}",
            f"--store_url={self.store_url}",
            f"--secret={SECRET}",
            f"--operator_token_sha256={hash_token(OPERATOR_TOKEN)}",
            f"--peers={json.dumps(peers)}",
            *self.spec.entry_overrides,
        ]
        relay_control_url = ""
        if self.spec.relay_entries:
            relay_control_url = self._spawn_relay(
                f"relay-entry{index}", relay_port, peer_port, control_port
            )
            args.append(f"--advertised_port={relay_port}")
        process = self._new_process(f"entry{index}", "pistachiohill", *args)
        return EntryProcess(
            process.name,
            process.args,
            process.log_path,
            url=f"http://{HOST}:{http_port}",
            peer_port=peer_port,
            relay_control_url=relay_control_url,
        )

    def new_agent(self, index: int, spec: TargetSpec) -> AgentProcess:
        """Create the processes of an agent and its target."""
        http_port, peer_port, target_port, relay_port, control_port = free_ports(5)
        args = [
            "agent",
            f"--name=agent{index}",
            f"--domain={spec.domain}",
            f"--http_port={http_port}",
            f"--peer_port={peer_port}",
            f"--store_url={self.store_url}",
            f"--secret={SECRET}",
            *self.spec.agent_overrides,
        ]
        relay_control_url = ""
        if spec.relay:
            relay_control_url = self._spawn_relay(
                f"relay-agent{index}", relay_port, peer_port, control_port
            )
            args.append(f"--advertised_port={relay_port}")
        process = self._new_process(f"agent{index}", "pistachiohill", *args)
        target = self._new_process(
            f"target{index}",
            "standins",
            "target",
            f"--port={target_port}",
            f"--agent_url=http://{HOST}:{http_port}",
            f"--service={spec.service}",
            f"--slots={spec.slots}",
            f"--slowness={spec.slowness}",
            f"--delay_s={spec.delay_s}",
            f"--record={self.spec.record_starts}",
        )
        return AgentProcess(
            process.name,
            process.args,
            process.log_path,
            url=f"http://{HOST}:{http_port}",
            peer_port=peer_port,
            domain=spec.domain,
            target=target,
            target_url=f"http://{HOST}:{target_port}",
            relay_control_url=relay_control_url,
        )

    def _spawn_relay(self, name: str, port: int, to_port: int, control_port: int) -> str:
        args = (f"--port={port}", f"--to_port={to_port}", f"--control_port={control_port}")
        self.spawn(name, "relay", *args, kind="standins")
        return f"http://{HOST}:{control_port}"

    def _new_process(self, name: str, kind: str, *args: str) -> Process:
        command = [sys.executable, "-m", kind, *args]
        return Process(name, command, self.directory / f"{name}.log")

    async def _async_start(self) -> None:
        (store_port,) = free_ports(1)
        self.store_url = f"http://{HOST}:{store_port}"
        self.store = self.spawn(
            "store",
            "store",
            f"--port={store_port}",
            kind="standins",
        )
        await self._async_wait_ok(f"{self.store_url}/live")
        for index in range(self.spec.entries):
            entry = self.new_entry(index)
            self.entries.append(entry)
            entry.start()
        for index, spec in enumerate(self.spec.targets):
            agent = self.new_agent(index, spec)
            self.agents.append(agent)
            agent.start()
            agent.target.start()
        for entry in self.entries:
            await self._async_wait_ok(f"{entry.url}/ready")
        await self._async_publish_settings()
        for index in range(len(self.entries)):
            await self.async_wait_accepting_agents(index, len(self.agents))
            await self._async_wait_peers(index)

    async def _async_publish_settings(self) -> None:
        nodes = [("consortium", self.spec.consortium_toml)]
        for member in self.spec.members:
            token_line = f'token_sha256 = "{hash_token(member.token)}"\n'
            nodes.append((f"consortium/{member.name}", token_line + member.values_toml))
            for job in member.jobs:
                nodes.append((f"consortium/{member.name}/{job}", member.job_toml))
        for path, text in nodes:
            tomllib.loads(text)
            status, value = await self.async_publish(path, text)
            if status != 200:
                raise RuntimeError(f"{path}: {value}")

    async def _async_wait_peers(self, index: int) -> None:
        offset = (await self.async_status(0))["offset"]

        async def async_check() -> bool:
            status = await self.async_status(index)
            names = {item["entry"] for item in status["peers"]}
            return len(names) >= len(self.entries) - 1 and status["offset"] >= offset

        await self.async_wait_until(f"peers of entry {index}", async_check)

    async def _async_wait_ok(self, url: str) -> None:
        async def async_check() -> bool:
            return (await self.async_request_json("GET", url))[0] == 200

        await self.async_wait_until(url, async_check)

    def _kill_all(self) -> None:
        processes: list[Process] = [*self.entries, *self.agents, *self._other_processes]
        processes += [agent.target for agent in self.agents]
        for process in processes:
            process.signal(signal.SIGKILL)
        for process in processes:
            if process.popen is not None:
                process.popen.wait()
