"""The border of the host settings: YAML in, a frozen model or problems out."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import yaml
from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

Address = Annotated[str, StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
OperatorKey = Annotated[str, StringConstraints(min_length=16, max_length=200)]


class _Settings(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class PlatformAddresses(_Settings):
    """Where the platform's services listen.

    Attributes
    ----------
    ratings_bias : float
        By how much ratings may be too high at most; below 0 where they are
        surely too low by that much. Versions are chosen by ratings less this.
    """

    log: Address
    host_list: Address
    ratings: Address | None = None
    ratings_bias: float = Field(default=0.0, ge=-0.2, le=0.2)
    weights: Address | None = None


class LimitSettings(_Settings):
    """Bounds that protect one host.

    Attributes
    ----------
    body_bytes : int
        Largest request body that is read.
    threads : int
        Threads that carry bytes; each open stream holds one.
    """

    body_bytes: Annotated[int, Field(gt=0)] = 4_000_000
    threads: Annotated[int, Field(ge=4, le=2000)] = 256


class LogSigning(_Settings):
    """How the hosts' own records in the log are signed.

    Attributes
    ----------
    keys : tuple of str
        Secret keys, the same at every host: the first signs, each of them is
        accepted. Without any, records are neither signed nor checked.
    accept_unsigned : bool
        Whether unsigned records count; for the time in which keys are introduced.
    """

    keys: tuple[OperatorKey, ...] = ()
    accept_unsigned: bool = False


class StopSettings(_Settings):
    """How a planned stop goes.

    Attributes
    ----------
    balancer_time_s : float
        How long the host still serves new requests while it shows itself not
        ready: longer than the balancer takes to notice.
    drain_bound_s : float
        How long it then waits for open requests, streams included.
    """

    balancer_time_s: Annotated[float, Field(ge=0, le=600)] = 2.0
    drain_bound_s: Annotated[float, Field(ge=0, le=3600)] = 60.0


class CallersTls(_Settings):
    """The certificate that callers, operators and the balancer see."""

    certificate: Path
    key: Path


class PeersTls(_Settings):
    """Certificates between hosts; both sides must show one that names ``poplarrun-host``.

    Attributes
    ----------
    authority : Path
        What the others' certificates must descend from.
    identity : Path
        This host's certificate and key, in one PEM file.
    """

    authority: Path
    identity: Path


class PlatformTlsSettings(_Settings):
    """Certificates towards the platform's services and the model engines."""

    authority: Path
    identity: Path | None = None


class TlsSettings(_Settings):
    """Which ways are encrypted; one that is left out is plain."""

    callers: CallersTls | None = None
    peers: PeersTls | None = None
    platform: PlatformTlsSettings | None = None
    services: PlatformTlsSettings | None = None


class HostSettings(_Settings):
    """Everything that a host learns from its settings.

    Attributes
    ----------
    name : str
        The host's name, unique among the live ones.
    zone, region : str
        Its availability zone and region.
    listen : str
        ``ip:port`` for callers, operators and the balancer.
    peer_listen : str, optional
        ``ip:port`` for the other hosts.
    seeds : tuple of str
        Some hosts' ``peer_listen`` addresses; the rest is learnt.
    operator_keys : dict of str to tuple of str
        Secret keys of the operators by name, and of ``system`` for the hosts
        themselves; the same at every host. Without any, unsigned
        publications count.
    log_signing : LogSigning
        Keys for all other records.
    """

    name: Name
    zone: Name
    region: Name = "local"
    listen: Address
    peer_listen: Address | None = None
    seeds: tuple[Address, ...] = ()
    platform: PlatformAddresses
    limits: LimitSettings = LimitSettings()
    stop: StopSettings = StopSettings()
    tls: TlsSettings = TlsSettings()
    operator_keys: dict[Name, tuple[OperatorKey, ...]] = {}
    log_signing: LogSigning = LogSigning()


@dataclass(frozen=True, slots=True)
class SettingsProblems:
    """All faults of a settings file, one line each."""

    lines: tuple[str, ...]


def load_settings(path: Path) -> HostSettings | SettingsProblems:
    """Read a host's settings file."""
    try:
        raw = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as error:
        return SettingsProblems((f"{path}: {error}",))
    try:
        return HostSettings.model_validate(raw)
    except ValidationError as error:
        return SettingsProblems(
            tuple(
                f"{'.'.join(map(str, detail['loc'])) or 'settings'}: {detail['msg']}"
                for detail in error.errors()
            )
        )
