"""Addresses of runners."""

import ipaddress
import re

from attrs import frozen

from ..const import MAX_PORT
from .errors import WireError

ADDRESS_PATTERN = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})")


@frozen
class RunnerAddress:
    """IPv4 address and TCP port at which a runner accepts requests."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as `host:port`."""
        return f"{self.host}:{self.port}"


def parse_runner_address(text: str) -> RunnerAddress:
    """Parse an address such as `10.128.0.9:8080`; raise WireError if no runner can listen there.

    Host names are refused, because the machines of runners resolve none.
    """
    match = ADDRESS_PATTERN.fullmatch(text)
    if match is None:
        raise WireError("address: expected an IPv4 address and a port")
    try:
        host = ipaddress.IPv4Address(match[1])
    except ValueError as err:
        raise WireError(f"address: {err}") from err
    if host.is_unspecified or host.is_multicast or host.is_reserved:
        raise WireError(f"address: no runner listens at {host}")
    port = int(match[2])
    if not 1 <= port <= MAX_PORT:
        raise WireError(f"address: port {port} is not from 1 to {MAX_PORT}")
    return RunnerAddress(str(host), port)
