"""The settings file that the platform writes for each process."""

import os
from dataclasses import dataclass
from pathlib import Path

import yaml
from msgspec import Struct, field

from poplarrun.platform._validation import Address, InvalidDocument, validate

PATH_VARIABLE = "POPLARRUN_NODE_FILE"
# The platform reads metrics at a port that the deploy file names, while the ports of the
# settings are new each day: the deploy file tells the process the same port.
METRICS_VARIABLE = "POPLARRUN_METRICS_PORT"
MILLISECONDS = 1000.0
# Of its descriptors a process has so many for files only.
FILE_DESCRIPTORS = 200


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
    """What a host of the platform learns from its settings.

    Attributes
    ----------
    callers, readiness : str
        ``ip:port`` for callers and for the balancer's question whether it is ready.
    peers : str
        ``ip:port`` for the other hosts.
    metrics : str
        ``ip:port`` for counters and histograms.
    key_bound_s : float, optional
        Time in which a key that was taken away must be refused; None for none.
    change_bound_s : float
        Time in which a leaving endpoint and a new configuration must be known.
    stop_s : float
        Time from the request to stop until the host is killed.
    retry_earned, retry_allowance : float
        Second sends of all hosts together for each request, and beyond that.
    retry_window_s : float
        Time over which they are counted.
    exposure : float
        Share of a service's requests that a bad version may get.
    memory_mb, most_sockets : int
        Memory and open sockets above which the platform stops or hinders the process.
    """

    name: str
    zone: str
    callers: str
    readiness: str
    peers: str
    metrics: str
    seeds: tuple[str, ...]
    store: str
    key_bound_s: float | None
    change_bound_s: float
    stop_s: float
    retry_earned: float
    retry_allowance: float
    retry_window_s: float
    session_s: float
    exposure: float
    memory_mb: int
    most_sockets: int


@dataclass(frozen=True, slots=True)
class InvalidSettings:
    """Why a settings file can't be used, a line a field."""

    lines: tuple[str, ...]


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
        callers=node.listen.frontend,
        readiness=node.listen.readiness,
        peers=node.listen.control_plane or f"{node.ip}:{first_port}",
        metrics=f"{node.ip}:{os.environ.get(METRICS_VARIABLE) or last_port}",
        seeds=node.seeds,
        store=node.platform.address,
        key_bound_s=bounds.revoke_ms / MILLISECONDS if bounds.revoke_strict else None,
        change_bound_s=min(bounds.drain_ms, bounds.config_apply_ms) / MILLISECONDS,
        stop_s=bounds.grace_s,
        retry_earned=bounds.retry_ratio,
        retry_allowance=bounds.retry_allowance,
        retry_window_s=bounds.retry_window_s,
        session_s=bounds.session_s,
        exposure=bounds.exposure_share,
        memory_mb=node.limits.memory_mb,
        most_sockets=node.limits.max_fds - FILE_DESCRIPTORS,
    )
