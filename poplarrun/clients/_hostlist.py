"""Client of the platform's host list, which lags behind the hosts' actual state."""

import enum
from dataclasses import dataclass
from typing import Protocol

import msgspec
import urllib3

from poplarrun.clients._answers import UNREADABLE_JSON, fetch
from poplarrun.clients._http import base_url

READ_TIMEOUT_S = 2.0
OK = 200


class HostKind(enum.Enum):
    """What runs on a listed host."""

    ENTRY = "entry"
    MODEL_ENGINE = "model-engine"
    PLAIN_SERVICE = "plain-service"


class HostState(enum.Enum):
    """The state of a host according to the platform; dead hosts are not listed."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """One entry of the host list.

    Attributes
    ----------
    name : str
        The platform's name for the host.
    kind : HostKind
        What runs there.
    zone : str
        The host's availability zone.
    address : str
        ``ip:port`` at which it listens.
    state : HostState
        Live or leaving.
    service : str, optional
        Name of the plain service that runs there, if any.
    """

    name: str
    kind: HostKind
    zone: str
    address: str
    state: HostState
    service: str | None = None


@dataclass(frozen=True, slots=True)
class ListUnavailable:
    """The host list could not be read."""

    reason: str


class HostList(Protocol):
    """The platform's host list. Calls block and never raise."""

    def read(self) -> tuple[ListedHost, ...] | ListUnavailable:
        """Read the whole list."""


class _HostBody(msgspec.Struct):
    name: str
    kind: HostKind
    zone: str
    address: str
    state: HostState
    service: str | None = None


class _ListBody(msgspec.Struct):
    hosts: list[_HostBody]


class HttpHostList:
    """A ``HostList`` over the platform's HTTP interface."""

    def __init__(self, address: str) -> None:
        self._url = f"{base_url(address)}/v1/hosts"

    def read(self) -> tuple[ListedHost, ...] | ListUnavailable:
        """Read the whole list."""
        try:
            response = fetch("GET", self._url, READ_TIMEOUT_S)
        except urllib3.exceptions.HTTPError as error:
            return ListUnavailable(type(error).__name__)
        if response.status != OK:
            return ListUnavailable(f"the host list answered {response.status}")
        try:
            body = msgspec.json.decode(response.data, type=_ListBody)
        except UNREADABLE_JSON:
            return ListUnavailable("the host list could not be read")
        return tuple(
            ListedHost(h.name, h.kind, h.zone, h.address, h.state, h.service) for h in body.hosts
        )
