"""Reads a host's settings from YAML into a frozen model, or reports all invalid fields."""

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
    """Addresses of the platform's services.

    Attributes
    ----------
    log, host_list, ratings, weights : str
        ``ip:port`` of the log, the host list, the rating service and the weight store.
    ratings_bias : float
        Upper bound of the amount by which ratings are too high, negative if they are known
        to be too low by at least that. It is subtracted from ratings when versions are
        chosen.
    """

    log: Address
    host_list: Address
    ratings: Address | None = None
    ratings_bias: float = Field(default=0.0, ge=-0.2, le=0.2)
    weights: Address | None = None


class LimitSettings(_Settings):
    """Limits that protect one host from overload.

    Attributes
    ----------
    body_bytes : int
        Maximum size of a request body.
    threads : int
        Threads that serve connections; each open stream occupies one.
    """

    body_bytes: Annotated[int, Field(gt=0)] = 4_000_000
    threads: Annotated[int, Field(ge=4, le=2000)] = 256


class LogSigning(_Settings):
    """Keys for signing the records that hosts append to the log.

    Attributes
    ----------
    keys : tuple of str
        Secret keys, the same at every host. Records are signed with the first and accepted
        if signed with any of them. If empty, records are neither signed nor verified.
    accept_unsigned : bool
        Whether unsigned records are accepted too; used while keys are being introduced.
    """

    keys: tuple[OperatorKey, ...] = ()
    accept_unsigned: bool = False


class StopSettings(_Settings):
    """Timing of a graceful shutdown.

    Attributes
    ----------
    balancer_time_s : float
        How long the host reports that it is not ready but still serves new requests. Must
        be longer than the load balancer takes to notice.
    drain_bound_s : float
        How long the host then waits for open requests to end, including streams.
    """

    balancer_time_s: Annotated[float, Field(ge=0, le=600)] = 2.0
    drain_bound_s: Annotated[float, Field(ge=0, le=3600)] = 60.0


class CallersTls(_Settings):
    """The server certificate for callers, operators and the load balancer.

    Attributes
    ----------
    certificate, key : Path
        Certificate chain and private key, as PEM files.
    """

    certificate: Path
    key: Path


class PeersTls(_Settings):
    """Certificates for mutual TLS between hosts, issued for the name ``poplarrun-host``.

    Attributes
    ----------
    authority : Path
        Certificate of the authority that must have issued the other hosts' certificates.
    identity : Path
        This host's certificate and private key, in one PEM file.
    """

    authority: Path
    identity: Path


class PlatformTlsSettings(_Settings):
    """Certificates for TLS to the platform's services, the model engines or plain services.

    Attributes
    ----------
    authority : Path
        Certificate of the authority that must have issued the servers' certificates.
    identity : Path, optional
        This host's client certificate and private key in one PEM file, for servers that
        ask for one.
    """

    authority: Path
    identity: Path | None = None


class TlsSettings(_Settings):
    """TLS settings by kind of connection; a kind without settings is not encrypted."""

    callers: CallersTls | None = None
    peers: PeersTls | None = None
    platform: PlatformTlsSettings | None = None
    services: PlatformTlsSettings | None = None


class HostSettings(_Settings):
    """All settings of a host.

    Attributes
    ----------
    name : str
        The host's name, unique among the live hosts.
    zone, region : str
        Its availability zone and region.
    listen : str
        ``ip:port`` for callers, operators and the load balancer.
    peer_listen : str, optional
        ``ip:port`` for the other hosts.
    seeds : tuple of str
        ``peer_listen`` addresses of some hosts, from which the others are discovered.
    operator_keys : dict of str to tuple of str
        Secret keys of the operators by name, and of ``system`` for the hosts themselves;
        the same at every host. If empty, unsigned publications are accepted.
    log_signing : LogSigning
        Keys for all records other than publications of the configuration.
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
    """All errors found in a settings file, one line each."""

    lines: tuple[str, ...]


def load_settings(path: Path) -> HostSettings | SettingsProblems:
    """Read and validate a host's settings file."""
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
