"""What a choice of an endpoint needs to know of a request, of this host or of a peer."""

from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from poplarrun.routing import PromptPart


class PlacedPrompt(Protocol):
    """The prompt of a request, and the body that a send would carry."""

    @property
    def prompt_parts(self) -> tuple[PromptPart, ...]:
        """The parts of the prompt, in order."""

    @property
    def prompt_tokens(self) -> int:
        """Its length, in tokens."""

    @property
    def body(self) -> bytes:
        """The body that a send would carry."""


class PlacedRequest(Protocol):
    """A request for which an endpoint is chosen."""

    @property
    def request(self) -> PlacedPrompt:
        """Its prompt."""

    @property
    def service(self) -> str:
        """Name of its service."""

    @property
    def tried_endpoints(self) -> Container[str]:
        """Endpoints that it was sent to."""

    @property
    def failed_zones(self) -> Mapping[str, float]:
        """Zones where an endpoint was not reached, as in ``InFlightRequest``."""


@dataclass(frozen=True, slots=True)
class PeerPrompt:
    """The prompt of a peer's request, whose body stays with the peer."""

    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """A peer's request for which this host chooses an endpoint of its own zone."""

    request: PeerPrompt
    service: str
    tried_endpoints: frozenset[str] = frozenset()
    failed_zones: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EndpointFilter:
    """Which endpoints a choice may name.

    Attributes
    ----------
    versions : container of str, optional
        Use endpoints of these versions only.
    avoided_version : str, optional
        Use no endpoints of this version.
    include_tried : bool
        Whether endpoints that the request was already sent to are no worse than others.
    concentrate_load : bool
        Whether to fill one endpoint first, the same on all hosts. A version that fails
        only under load looks good on many idle endpoints, until it has all traffic.
    """

    versions: Container[str] | None = None
    avoided_version: str | None = None
    include_tried: bool = False
    concentrate_load: bool = False
