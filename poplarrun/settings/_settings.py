"""The border of the host settings: YAML in, a frozen model or problems out."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import yaml
from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

Address = Annotated[str, StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]


class _Settings(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class PlatformAddresses(_Settings):
    """Where the platform's services listen."""

    log: Address
    host_list: Address
    ratings: Address | None = None
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
    """

    name: Name
    zone: Name
    region: Name = "local"
    listen: Address
    peer_listen: Address | None = None
    seeds: tuple[Address, ...] = ()
    platform: PlatformAddresses
    limits: LimitSettings = LimitSettings()


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
