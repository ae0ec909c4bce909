"""The settings file that the platform writes for each process."""

import os
from dataclasses import dataclass
from pathlib import Path

import yaml
from msgspec import Struct, field

from poplarrun.platform._validation import Address, InvalidDocument, validate

PATH_VARIABLE = "POPLARRUN_NODE_FILE"
# The platform scrapes metrics at the port in the deploy file, while the ports in the settings file
# change each day; the deploy file passes its port to the process in this variable.
METRICS_PORT_VARIABLE = "POPLARRUN_METRICS_PORT"
MILLISECONDS_PER_S = 1000.0
# Part of the limit on descriptors that is left for files.
RESERVED_DESCRIPTORS = 200


class _Model(Struct, frozen=True, rename="camel", kw_only=True):
    pass


class _Listen(_Model, frozen=True, kw_only=True):
    frontend: Address
    readiness: Address
    control_plane: Address | None = None


class _Bounds(_Model, frozen=True, kw_only=True):
    drain_ms: float = 2000
    grace_s: float = 8
    config_apply_ms: float = 2000
    revoke_strict: bool = False
    revoke_ms: float = 5000
    retry_ratio: float = 0.9
    retry_window_s: float = 10
    retry_allowance: float = 20
    exposure_share: float = 0.15
    exposure_allowance: float = 30
    cold_overage: float = 1.5
    cold_allowance: float = 5
    session_s: float = 5


class _Platform(_Model, frozen=True, kw_only=True):
    address: Address


class _Limits(_Model, frozen=True, kw_only=True):
    memory_mb: int = 150
    max_fds: int = 1024


class _Node(_Model, frozen=True, kw_only=True):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    port_range: tuple[int, int] = (0, 0)
    seeds: tuple[Address, ...] = ()
    platform: _Platform
    bounds: _Bounds = field(default_factory=_Bounds)
    limits: _Limits = field(default_factory=_Limits)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a host on the platform.

    Attributes
    ----------
    caller_address, readiness_address : str
        ``ip:port`` for callers, and for the load balancer's readiness checks.
    peer_address : str
        ``ip:port`` for the other hosts.
    relay_address : str
        ``ip:port`` for connections that this host relays; the port is the same on all hosts, and 0
        if there is none.
    metrics_address : str
        ``ip:port`` for metrics.
    seeds : tuple of str
        Addresses of some other hosts.
    revocation_limit_s : float, optional
        Time within which a revoked API key must be refused; None for no such bound.
    change_propagation_s : float
        Time within which a leaving endpoint and a new configuration must be known.
    stop_grace_s : float
        Time from the request to stop until the host is killed.
    retry_ratio, retry_allowance : float
        Retries that all hosts together may make for each request, and in addition to that.
    retry_window_s : float
        Time over which retries are counted.
    session_timeout_s : float
        Requests of a session that follow each other within this time keep a version.
    max_exposure_fraction : float
        Largest fraction of a service's requests that a bad version may get.
    exposure_allowance : float
        Requests that it may get beyond that.
    warm_up_rate_factor, warm_up_allowance : float
        What all hosts together may send in any second to an endpoint that is warming up: its rate
        times the factor, and the allowance on top.
    memory_mb, max_sockets : int
        Memory and open sockets above which the platform stops or hinders the process.
    """

    name: str
    zone: str
    caller_address: str
    readiness_address: str
    peer_address: str
    relay_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    store_address: str
    revocation_limit_s: float | None
    change_propagation_s: float
    stop_grace_s: float
    retry_ratio: float
    retry_allowance: float
    retry_window_s: float
    session_timeout_s: float
    max_exposure_fraction: float
    exposure_allowance: float
    warm_up_rate_factor: float
    warm_up_allowance: float
    memory_mb: int
    max_sockets: int


@dataclass(frozen=True, slots=True)
class InvalidSettings:
    """Why a settings file can't be used, one line for each field."""

    problems: tuple[str, ...]


def load_node_settings(path: Path) -> NodeSettings | InvalidSettings:
    """Read the platform's settings file."""
    try:
        node = validate(_Node, yaml.safe_load(path.read_text()))
    except (OSError, yaml.YAMLError, InvalidDocument) as error:
        return InvalidSettings((str(error),))
    bounds = node.bounds
    first_port, last_port = node.port_range
    return NodeSettings(
        name=node.node_name,
        zone=node.zone,
        caller_address=node.listen.frontend,
        readiness_address=node.listen.readiness,
        peer_address=node.listen.control_plane or f"{node.ip}:{first_port}",
        relay_address=f"{node.ip}:{first_port + 1 if first_port < last_port else 0}",
        metrics_address=f"{node.ip}:{os.environ.get(METRICS_PORT_VARIABLE) or last_port}",
        seeds=node.seeds,
        store_address=node.platform.address,
        revocation_limit_s=bounds.revoke_ms / MILLISECONDS_PER_S if bounds.revoke_strict else None,
        change_propagation_s=min(bounds.drain_ms, bounds.config_apply_ms) / MILLISECONDS_PER_S,
        stop_grace_s=bounds.grace_s,
        retry_ratio=bounds.retry_ratio,
        retry_allowance=bounds.retry_allowance,
        retry_window_s=bounds.retry_window_s,
        session_timeout_s=bounds.session_s,
        max_exposure_fraction=bounds.exposure_share,
        exposure_allowance=bounds.exposure_allowance,
        warm_up_rate_factor=bounds.cold_overage,
        warm_up_allowance=bounds.cold_allowance,
        memory_mb=node.limits.memory_mb,
        max_sockets=node.limits.max_fds - RESERVED_DESCRIPTORS,
    )
