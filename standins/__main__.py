"""Run a stand-in process: `python -m standins store|runner|target|agents|relay --port=...`."""

import functools

import fire
import trio

HOST = "127.0.0.1"


class StandIns:
    """Stand-ins for external systems, one command each."""

    def store(self, port: int) -> None:
        """Serve the platform's store."""
        from . import platform_store

        trio.run(platform_store.async_run, HOST, port)

    def runner(
        self,
        port: int,
        agent_url: str,
        service: str = "clocking",
        cores: int = 4,
        rate: float = 1.0,
    ) -> None:
        """Serve a runner and announce it to the agent at agent_url.

        rate: speed of the runner's clock relative to true time.
        """
        from . import runner

        trio.run(runner.async_run, HOST, port, agent_url, service, cores * 1000, float(rate))

    def target(
        self,
        port: int,
        agent_url: str,
        service: str = "clocking",
        slots: int = 8,
        slowness: float = 1.0,
        run_s: float = 0.0,
        delay_s: float = 0.0,
        record: bool = False,
    ) -> None:
        """Serve a target and announce it to the agent at agent_url.

        run_s: run time of a task whose payload has none.
        slowness: factor applied to every run time.
        delay_s: network delay added to each response.
        record: print the start of each task.
        """
        from . import target

        model = target.TargetModel(service, slots, float(slowness), float(run_s), float(delay_s))
        model.record = record
        trio.run(functools.partial(target.async_run, model, HOST, port, agent_url))

    def agents(
        self,
        port: int,
        count: int,
        store_url: str,
        secret: str,
        service: str = "clocking",
        slots: int = 8,
        run_s: float = 0.05,
    ) -> None:
        """Run `count` agents in one process on consecutive ports; tasks take run_s seconds."""
        from . import agents

        ports = range(port, port + count)
        trio.run(agents.async_run, HOST, ports, store_url, secret, service, slots, float(run_s))

    def relay(self, port: int, to_port: int, control_port: int) -> None:
        """Relay TCP connections from `port` to `to_port`; control_port sets faults."""
        from . import relay

        trio.run(relay.async_run, relay.RelayModel(HOST, to_port), HOST, port, control_port)


if __name__ == "__main__":
    fire.Fire(StandIns)
