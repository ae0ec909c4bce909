"""Totals of endpoint loads and version outcomes, as digests carry them, and their encoding."""

import msgspec

# Endpoints of a version whose answers hosts tell each other one by one. All hosts choose the same
# ones; more tell nothing more of a version.
MAX_TOLD_ENDPOINTS = 24


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests that a group of hosts runs at an endpoint.

    Attributes
    ----------
    instance_id : str
        Id of the endpoint; usually new after each of its starts.
    pending_prefill_ms : int
        Total prefill time of their prompts that the endpoint has not read completely yet.
    """

    instance_id: str
    in_flight: int
    pending_prefill_ms: int


class VersionTally(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of one version in one kind of work, summed over a group of hosts.

    Attributes
    ----------
    kind : str
        Identifies a route and a model size, the answers of which are comparable.
    answers, failures, slow : int
        Answers, those that failed, and those that came much too late.
    paced_answers : int
        Answers whose pace was compared with the usual pace.
    log_pace_sum : float
        Sum of the logarithms of the ratios of these paces.
    interrupting_endpoints : list of str
        Endpoints that broke off answers.
    """

    service: str
    version: str
    kind: str
    answers: int
    failures: int
    slow: int
    paced_answers: int
    log_pace_sum: float
    interrupting_endpoints: list[str] = []


class EndpointTally(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of one endpoint of a version that is judged, summed over a group of hosts."""

    instance_id: str
    answers: int
    failures: int


class UnlistedLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests that a group of hosts runs at endpoints whose loads are not listed one by one.

    Attributes
    ----------
    pending_prefill_ms : int
        Total prefill time of their prompts that the endpoints have not read completely yet.
    """

    in_flight: int = 0
    pending_prefill_ms: int = 0


class ActivityTotals(msgspec.Struct, frozen=True, array_like=True):
    """Totals of endpoint loads and version outcomes over a group of hosts.

    Attributes
    ----------
    hosts : int
        Number of hosts in the group.
    loads : list of EndpointLoad
        The highest loads.
    unlisted : UnlistedLoad
        The sum of the others.
    endpoints : list of EndpointTally
        Some endpoints of versions that were completed lately.
    """

    hosts: int
    loads: list[EndpointLoad] = []
    tallies: list[VersionTally] = []
    unlisted: UnlistedLoad = UnlistedLoad()
    endpoints: list[EndpointTally] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ActivityTotals)


def encode_totals(totals: ActivityTotals) -> bytes:
    """Return totals as bytes."""
    return _ENCODER.encode(totals)


def decode_totals(data: bytes) -> ActivityTotals | None:
    """Return the decoded totals; None if the bytes are none."""
    try:
        return _DECODER.decode(data)
    except (msgspec.ValidationError, msgspec.DecodeError):
        return None
