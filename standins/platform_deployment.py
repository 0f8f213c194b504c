"""A deployment of entries and agents on stand-ins of the users' platform: its store and runners.

Callers behave like those of the platform: they choose a job's id, and after a lost response they
wait and send the job again, to any entry.
"""

import json
import math
import secrets
import signal
import sys
import tempfile
import time
from pathlib import Path
from types import TracebackType
from typing import Any

import httpcore
import trio
from attrs import define, field, frozen

from pistachiohill.platform.const import PATH_INSTANCE, TOPIC_OPERATORS
from pistachiohill.platform.models import Appended
from pistachiohill.platform.store import StoreClient

from .odd_heartbeats import Heartbeat
from .processes import HOST, POLL_INTERVAL_S, Process, free_ports
from .runner_model import PastRun, find_overlapping_runs

READY_TIMEOUT_S = 30.0
LOAD_BALANCER_INTERVAL_S = 0.5  # half of the platform's, to shorten tests
MAX_FAILED_CHECKS = 2  # failed checks before an entry gets no new connections
RESEND_DELAY_S = 1.3  # how long callers wait after a lost response
CALLER_HOST = "lofts.example"
SERVICE = "clocking"
ROUTE: dict[str, Any] = {
    "name": "stamp",
    "host": CALLER_HOST,
    "pathPrefix": "/stamp/",
    "service": SERVICE,
    "priority": 0,
    "maxAttempts": 3,
    "slackFactor": 1.6,
    "targetLatencyMs": 2000,
}


@frozen
class PlatformSpec:
    """The processes to start.

    Fields:
        domains: The failure domain of each agent; every agent has a runner.
        entries: The number of entries, which are spread over the domains.
        cores: Cores of each runner.
        clock_rates: Speeds of the runners' clocks relative to true time, assigned in rotation.
        relay_agents: Put a relay in front of the peer port of each agent.
        relay_store: Let the entries reach the store through a relay.
        routes: Routes of the first manifest.
        options: Further command-line options of the entries and agents.
    """

    domains: tuple[str, ...] = ("bern-a", "solothurn-b", "aarau-c")
    entries: int = 2
    cores: int = 4
    clock_rates: tuple[float, ...] = (1.0,)
    relay_agents: bool = False
    relay_store: bool = False
    routes: tuple[dict[str, Any], ...] = (ROUTE,)
    options: tuple[str, ...] = ()


@define(eq=False)
class PlatformEntryProcess(Process):
    """An entry, its URLs, and how many readiness checks in a row have failed."""

    url: str = ""
    ready_url: str = ""
    http_url: str = ""
    domain: str = ""
    failed_checks: int = 0


@define(eq=False)
class PlatformAgentProcess(Process):
    """An agent, its runner and the relay in front of it."""

    domain: str = ""
    http_url: str = ""
    control_url: str = ""
    runner: Process = field(default=None)
    runner_url: str = ""
    relay_control_url: str = ""


@frozen
class JobResponse:
    """The last response to a job.

    Fields:
        status: HTTP status, 0 if the connection failed or no response arrived in time.
        state: State of the job in the response.
        sent: How often the job was sent.
        elapsed_s: Time from the first send to the last response.
        retry_after: The Retry-After header.
        key: The caller's id of the job.
        statuses: The status of each send.
    """

    status: int
    state: str
    sent: int
    elapsed_s: float
    retry_after: str = ""
    key: str = ""
    statuses: tuple[int, ...] = ()


class PlatformDeployment:
    """A running deployment; use it as an asynchronous context manager."""

    def __init__(self, spec: PlatformSpec) -> None:
        """Prepare a deployment that logs to a new temporary directory."""
        self.spec = spec
        self.directory = Path(tempfile.mkdtemp(prefix="pistachiohill-platform-"))
        self.entries: list[PlatformEntryProcess] = []
        self.agents: list[PlatformAgentProcess] = []
        self.store_url = ""
        self.resumed_at_s = -math.inf  # seconds since the epoch, of the machine suspended last
        self._entry_store_url = ""
        self._store_relay_url = ""
        self.version = 0
        self.routes = list(spec.routes)
        self.submitted: set[str] = set()
        self._other_processes: list[Process] = []
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)

    async def __aenter__(self) -> "PlatformDeployment":
        """Start all processes and wait until jobs can be served."""
        try:
            await self._async_start()
        except BaseException:
            self.kill_all()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill all processes."""
        self.kill_all()
        with trio.CancelScope(shield=True):
            await self._pool.aclose()

    # Operators

    async def async_publish(self) -> bool:
        """Publish a manifest with the current routes; return whether the store confirmed it."""
        self.version += 3
        value = {
            "version": self.version,
            "routes": self.routes,
            "services": [{"name": SERVICE, "healthPath": "/healthz"}],
            "limits": {},
        }
        store = StoreClient(self.store_url)
        outcome = await store.async_append(TOPIC_OPERATORS, "config", json.dumps(value).encode())
        return isinstance(outcome, Appended)

    async def async_add_route(self, path_prefix: str) -> bool:
        """Publish a manifest with one more route; return whether the store confirmed it."""
        self.routes.append(
            {**ROUTE, "name": f"route-{len(self.routes)}", "pathPrefix": path_prefix}
        )
        return await self.async_publish()

    async def async_has_route(self, entry: int, path_prefix: str) -> bool:
        """Return whether an entry serves a route."""
        url = f"{self.entries[entry].url}{path_prefix}"
        return (await self.async_call("GET", url, None, {"Host": CALLER_HOST}))[0] == 200

    async def async_silence_store(self) -> None:
        """Drop all bytes on the entries' open connections to the store; new ones work."""
        await self.async_set_store_path(forward="swallow", backward="swallow")

    async def async_set_store_path(self, **mode: Any) -> None:
        """Set the mode of the relay between the entries and the store."""
        await self.async_post(f"{self._store_relay_url}/v1/mode", mode)

    async def async_evacuate(self, domain: str, out: bool) -> bool:
        """Take a failure domain out of service, so that it gets no new tasks, or bring it back.

        Return whether the store confirmed it.
        """
        store = StoreClient(self.store_url)
        value = b"{}" if out else None
        outcome = await store.async_append(TOPIC_OPERATORS, f"evacuate/{domain}", value)
        return isinstance(outcome, Appended)

    async def async_set_store_faults(self, **faults: Any) -> None:
        """Set faults of the store."""
        await self.async_post(f"{self.store_url}/v1/faults", faults)

    async def async_set_runner_faults(self, index: int, **faults: Any) -> None:
        """Set faults of a runner."""
        await self.async_post(f"{self.agents[index].runner_url}/v1/faults", faults)

    async def async_set_relay_mode(self, index: int, **mode: Any) -> None:
        """Set the mode of the relay in front of an agent."""
        await self.async_post(f"{self.agents[index].relay_control_url}/v1/mode", mode)

    async def async_restart_runner(self, index: int) -> None:
        """Let a runner crash and start again at once under the same id."""
        await self.async_post(f"{self.agents[index].runner_url}/v1/restart", {})

    async def async_suspend_machine(self, index: int, for_s: float, *, cut_off: bool) -> None:
        """Suspend the machine of an agent and its runner for a while.

        The agent is paused, and the runner's clock, lease and runs stand still. With `cut_off`, the
        runner runs on afterwards but neither answers requests nor applies them.
        """
        self.agents[index].signal(signal.SIGSTOP)
        if cut_off:
            await self.async_set_runner_faults(index, silent=True)
        await self.async_post(f"{self.agents[index].runner_url}/v1/suspend", {"for_s": for_s})
        await trio.sleep(for_s)
        self.resumed_at_s = time.time()
        self.agents[index].signal(signal.SIGCONT)

    async def async_runner_heartbeat(self, index: int) -> tuple[str, dict[str, Any]]:
        """Return the id of a runner and its current heartbeat."""
        url = f"{self.agents[index].runner_url}/v1/announcement"
        response = await self._async_request_stand_in("GET", url)
        value = json.loads(response.content)
        return value["id"], value["announcement"]

    async def async_send_heartbeat(self, index: int, heartbeat: Heartbeat) -> int:
        """Send a heartbeat to an agent; return the status, 0 if there was no response."""
        url = self.agents[index].control_url + PATH_INSTANCE.format(heartbeat.runner_id)
        return (await self.async_call("PUT", url, heartbeat.body, {}))[0]

    async def async_deregister_runner(self, index: int, runner_id: str) -> int:
        """Deregister a runner at an agent; return the status, 0 if there was no response."""
        url = self.agents[index].control_url + PATH_INSTANCE.format(runner_id)
        return (await self.async_call("DELETE", url, None, {}))[0]

    async def async_post(self, url: str, value: dict[str, Any]) -> None:
        """Send a JSON body to a stand-in."""
        await self._async_request_stand_in("POST", url, json.dumps(value).encode())

    async def _async_request_stand_in(
        self, method: str, url: str, body: bytes = b""
    ) -> httpcore.Response:
        """Send an idempotent request to a stand-in; repeat it while the stand-in restarts."""
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                try:
                    return await self._pool.request(method, url, content=body)
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    await trio.sleep(POLL_INTERVAL_S)

    # Callers

    async def async_submit_job(
        self,
        tasks: int = 4,
        run_s: float = 0.1,
        deadline_s: float = 8.0,
        entry: int = 0,
        resend: bool = True,
        leave_after_s: float = math.inf,
    ) -> JobResponse:
        """Submit a job and wait until it ends; send it again after a lost response.

        A caller that leaves closes its first connection after `leave_after_s`.
        """
        key = secrets.token_hex(8)
        self.submitted.add(key)
        started_at_s = trio.current_time()
        sent = 0
        statuses: list[int] = []
        while True:
            entry_process = self._pick_entry(entry + sent)
            sent += 1
            status, value, retry_after = 0, {}, ""
            with trio.move_on_after(leave_after_s if sent == 1 else math.inf):
                status, value, retry_after = await self._async_send(
                    entry_process, key, tasks, run_s, deadline_s
                )
            statuses.append(status)
            elapsed_s = trio.current_time() - started_at_s
            lost = status in (0, 502, 504)
            if not (lost and resend) or elapsed_s > 2 * deadline_s:
                state = str(value.get("state", ""))
                return JobResponse(
                    status, state, sent, elapsed_s, retry_after, key, tuple(statuses)
                )
            await trio.sleep(RESEND_DELAY_S)

    def _pick_entry(self, number: int) -> PlatformEntryProcess:
        """Return the entry that the load balancer picks for a new connection."""
        candidates = [
            entry for entry in self.entries if entry.failed_checks < MAX_FAILED_CHECKS
        ] or self.entries
        return candidates[number % len(candidates)]

    async def async_poll_readiness(self) -> None:
        """Poll the readiness of all entries, as the load balancer does, until cancelled."""
        while True:
            for index, entry in enumerate(self.entries):
                with trio.move_on_after(LOAD_BALANCER_INTERVAL_S):
                    ready = await self.async_is_ready(index)
                    entry.failed_checks = 0 if ready else entry.failed_checks + 1
                    continue
                entry.failed_checks += 1
            await trio.sleep(LOAD_BALANCER_INTERVAL_S)

    async def _async_send(
        self, entry: PlatformEntryProcess, key: str, tasks: int, run_s: float, deadline_s: float
    ) -> tuple[int, dict[str, Any], str]:
        body = {
            "spec": json.dumps({"run_s": run_s}),
            "bestEffort": True,
            "steps": [
                {"count": tasks, "cpu": 1000, "memMb": 16, "estDurationMs": int(run_s * 1000)}
            ],
        }
        with trio.move_on_after(deadline_s):
            return await self.async_call(
                "POST",
                f"{entry.url}/stamp/{key}",
                json.dumps(body).encode(),
                {"Host": CALLER_HOST, "X-Deadline-Ms": str(int(deadline_s * 1000))},
            )
        return 0, {}, ""

    async def async_call(
        self, method: str, url: str, body: bytes | None, headers: dict[str, str]
    ) -> tuple[int, dict[str, Any], str]:
        """Return status, value and Retry-After of a call; status 0 if the connection failed."""
        timeouts = dict.fromkeys(("connect", "write", "pool"), 2.0) | {"read": 60.0}
        try:
            response = await self._pool.request(
                method,
                url,
                headers=list(headers.items()),
                content=body,
                extensions={"timeout": timeouts},
            )
            value = json.loads(response.content) if response.content else {}
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return 0, {}, ""
        retry_after = dict(response.headers).get(b"retry-after", b"").decode()
        return response.status, value, retry_after

    # Checks

    async def async_get_text(self, url: str) -> str:
        """Return the body of a response as text."""
        response = await self._pool.request("GET", url)
        return response.content.decode()

    async def async_run_histories(self) -> list[list[PastRun]]:
        """Return all runs of each runner, including those of killed processes."""
        found = []
        for agent in self.agents:
            rows = [
                json.loads(line[4:])
                for line in agent.runner.log_text().splitlines()
                if line.startswith("run [")
            ]
            if agent.runner.popen is not None and agent.runner.popen.poll() is None:
                url = f"{agent.runner_url}/v1/history"
                response = await self._async_request_stand_in("GET", url)
                live = json.loads(response.content)["runs"]
                rows += [row for row in live if row not in rows]
            found.append([PastRun(*row[:3], row[3] or float("inf"), row[4]) for row in rows])
        return found

    async def async_overlapping_runs(self) -> list[tuple[PastRun, PastRun]]:
        """Return the pairs of runs of one task that overlapped in time."""
        return find_overlapping_runs(await self.async_run_histories())

    async def async_runs_started_after(self, domain: str, after_s: float) -> list[PastRun]:
        """Return the runs in a failure domain that started after a wall-clock time."""
        histories = await self.async_run_histories()
        return [
            run
            for agent, history in zip(self.agents, histories, strict=True)
            for run in history
            if agent.domain == domain and run.started_at_s > after_s
        ]

    async def async_wait_until(
        self, description: str, check: Any, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Poll an asynchronous check until it returns true."""
        with trio.move_on_after(timeout_s):
            while not await check():
                await trio.sleep(POLL_INTERVAL_S)
            return
        raise TimeoutError(
            f"timed out after {timeout_s:g} s: {description}; logs in {self.directory}"
        )

    async def async_is_ready(self, index: int) -> bool:
        """Return whether an entry reports that it accepts callers."""
        return (await self.async_call("GET", self.entries[index].ready_url, None, {}))[0] == 200

    async def async_is_up(self, index: int) -> bool:
        """Return whether an entry answers requests."""
        return (await self.async_call("GET", self.entries[index].ready_url, None, {}))[0] != 0

    async def async_is_linked(self, index: int) -> bool:
        """Return whether an agent is ready and linked to all entries."""
        status, value, _ = await self.async_call(
            "GET", f"{self.agents[index].http_url}/ready", None, {}
        )
        return status == 200 and value["links"] >= len(self.entries)

    # Processes

    def kill_all(self) -> None:
        """Kill every process of this deployment."""
        processes: list[Process] = [*self.entries, *self.agents, *self._other_processes]
        processes += [agent.runner for agent in self.agents]
        for process in processes:
            process.signal(signal.SIGKILL)
        for process in processes:
            if process.popen is not None:
                process.popen.wait()

    async def _async_start(self) -> None:
        (port,) = free_ports(1)
        self.store_url = f"http://{HOST}:{port}"
        self._spawn("store", "standins", "store", f"--port={port}")

        async def async_store_live() -> bool:
            return (await self.async_call("GET", f"{self.store_url}/live", None, {}))[0] == 200

        await self.async_wait_until("the store", async_store_live)
        self._entry_store_url = self.store_url
        if self.spec.relay_store:
            self._start_store_relay(port)
        await self.async_publish()
        for index in range(self.spec.entries):
            self.entries.append(self._new_entry(index))
        for index, domain in enumerate(self.spec.domains):
            self.agents.append(self._new_agent(index, domain))
        for process in (*self.entries, *self.agents):
            process.start()
        for agent in self.agents:
            agent.runner.start()
        for index in range(len(self.entries)):
            await self.async_wait_until(
                f"entry {index}", lambda index=index: self.async_is_ready(index)
            )
        for index in range(len(self.agents)):
            await self.async_wait_until(
                f"agent {index}", lambda index=index: self.async_is_linked(index)
            )

    def _start_store_relay(self, store_port: int) -> None:
        port, control_port = free_ports(2)
        self._spawn(
            "relay-store",
            "standins",
            "relay",
            f"--port={port}",
            f"--to_port={store_port}",
            f"--control_port={control_port}",
        )
        self._entry_store_url = f"http://{HOST}:{port}"
        self._store_relay_url = f"http://{HOST}:{control_port}"

    def _new_entry(self, index: int) -> PlatformEntryProcess:
        jobs_port, ready_port, http_port, peer_port = free_ports(4)
        domain = self.spec.domains[index % len(self.spec.domains)]
        process = self._new_process(
            f"entry{index}",
            "pistachiohill",
            "entry",
            f"--name=entry{index}",
            f"--domain={domain}",
            f"--store_url={self._entry_store_url}",
            f"--jobs_address={HOST}:{jobs_port}",
            f"--ready_address={HOST}:{ready_port}",
            f"--http_port={http_port}",
            f"--peer_port={peer_port}",
            "--silence_s=0.3",
            "--grace_s=6",
            *self.spec.options,
        )
        return PlatformEntryProcess(
            process.name,
            process.args,
            process.log_path,
            url=f"http://{HOST}:{jobs_port}",
            ready_url=f"http://{HOST}:{ready_port}/api/ready",
            http_url=f"http://{HOST}:{http_port}",
            domain=domain,
        )

    def _new_agent(self, index: int, domain: str) -> PlatformAgentProcess:
        control_port, http_port, peer_port, runner_port, relay_port, relay_control_port = (
            free_ports(6)
        )
        args = [
            "agent",
            f"--name=agent{index}",
            f"--domain={domain}",
            f"--store_url={self.store_url}",
            f"--control_address={HOST}:{control_port}",
            f"--http_port={http_port}",
            f"--peer_port={peer_port}",
            "--announce_first=False",
            "--report_interval_s=0.01",
            "--grace_s=6",
            *self.spec.options,
        ]
        if self.spec.relay_agents:
            args.append(f"--advertised_port={relay_port}")
            self._spawn(
                f"relay{index}",
                "standins",
                "relay",
                f"--port={relay_port}",
                f"--to_port={peer_port}",
                f"--control_port={relay_control_port}",
            )
        process = self._new_process(f"agent{index}", "pistachiohill", *args)
        runner = self._new_process(
            f"runner{index}",
            "standins",
            "runner",
            f"--port={runner_port}",
            f"--agent_url=http://{HOST}:{control_port}",
            f"--cores={self.spec.cores}",
            f"--rate={self.spec.clock_rates[index % len(self.spec.clock_rates)]}",
        )
        return PlatformAgentProcess(
            process.name,
            process.args,
            process.log_path,
            domain=domain,
            http_url=f"http://{HOST}:{http_port}",
            control_url=f"http://{HOST}:{control_port}",
            runner=runner,
            runner_url=f"http://{HOST}:{runner_port}",
            relay_control_url=f"http://{HOST}:{relay_control_port}",
        )

    def _spawn(self, name: str, kind: str, *args: str) -> Process:
        process = self._new_process(name, kind, *args)
        self._other_processes.append(process)
        process.start()
        return process

    def _new_process(self, name: str, kind: str, *args: str) -> Process:
        command = [sys.executable, "-m", kind, *args]
        return Process(name, command, self.directory / f"{name}.log")
