"""Messages about load tests of new versions, by copies of requests."""

import msgspec


class CopyOffer(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Tells the owner of a roll-out whether the sender can have a request copied.

    Attributes
    ----------
    offset : int
        Offset of the roll-out's order in the store's log.
    """

    address: str
    service: str
    offset: int
    is_ready: bool


class CopyAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Tells all hosts that the sender has copies of a request sent.

    Attributes
    ----------
    offset : int
        Offset of the roll-out's order in the store's log.
    copies : int
        How many, by all hosts together.
    """

    service: str
    offset: int
    copies: int


class CopyGrant(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Lets the receiver have a request copied, to load an endpoint of a new version.

    Attributes
    ----------
    offset : int
        Offset of the roll-out's order in the store's log.
    """

    service: str
    offset: int


class CopiedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A caller's request, to be copied by other hosts.

    Attributes
    ----------
    account : str
        Name of the client account; empty for none.
    prompt_parts : list of (str, int)
        Key and length in tokens of each part.
    model_size : str
        The model size that is asked; empty for a plain service.
    model : str
        What the caller named as its model; empty for none.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    time_left_s: float
    account: str
    prompt_parts: list[tuple[str, int]]
    model_size: str
    model: str = ""


class CopyOrder(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Asks a host to send copies of a request to an endpoint of a new version at once.

    Attributes
    ----------
    offset : int
        Offset of the roll-out's order in the store's log.
    address : str
        Address of the host that orders them.
    test_id : str
        Identifies the load test.
    load : float
        Requests per slot that the endpoint runs already; 0 for the copies that load it.
    """

    address: str
    test_id: str
    service: str
    offset: int
    instance_id: str
    copies: int
    load: float
    request: CopiedRequest


class CopyReport(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Tells the host that ordered copies of a request how many of them run."""

    test_id: str
    running: int


class CopyStop(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Asks a host to end the copies of a request, whose caller has its answer or has left."""

    test_id: str
