"""Run one stand-in process: `python -m standins store|runner|target|relay --port=...`."""

import functools

import fire
import trio

HOST = "127.0.0.1"


class StandIns:
    """Small stand-ins for outside systems."""

    def store(self, port: int) -> None:
        """Serve the platform's store on a port."""
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
        """Serve a runner on a port and announce it to the agent at agent_url.

        rate: speed of its clock.
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
        """Serve a target on a port and announce it to the agent at agent_url.

        run_s: seconds a task takes when its payload does not say.
        slowness: factor on every run time.
        delay_s: seconds added to each answer, as a network does.
        record: print each start.
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
        """Run many agents in one process, on consecutive ports; each task takes run_s seconds."""
        from . import agents

        ports = range(port, port + count)
        trio.run(agents.async_run, HOST, ports, store_url, secret, service, slots, float(run_s))

    def relay(self, port: int, to_port: int, control_port: int) -> None:
        """Relay TCP connections from one port to another."""
        from . import relay

        trio.run(relay.async_run, relay.RelayModel(HOST, to_port), HOST, port, control_port)


if __name__ == "__main__":
    fire.Fire(StandIns)
