"""Events about roll-outs of endpoint versions, and the load tests of new ones."""

import logging
from typing import ClassVar

from poplarrun.logging._event import Event


class RolloutOrdered(Event, frozen=True):
    """The host learnt of a roll-out that operators ordered.

    Attributes
    ----------
    source : str
        Where the order was read: the store, or the address of a peer.
    age_s : float
        Time since any host first saw the order, as far as known.
    """

    component: ClassVar[str] = "rollouts"
    message: ClassVar[str] = "A roll-out was ordered."
    service: str
    target: str
    duration_s: float
    source: str
    age_s: float


class RolloutShifted(Event, frozen=True):
    """Sessions may move to the new version from now on; recorded here or learnt from a peer."""

    component: ClassVar[str] = "rollouts"
    message: ClassVar[str] = "Sessions may now move to the new version."
    service: str
    target: str
    source: str
    age_s: float


class VersionProven(Event, frozen=True):
    """A new version bears load, and may get all sessions; found here or learnt from a peer."""

    component: ClassVar[str] = "rollouts"
    message: ClassVar[str] = "A new version bears load."
    service: str
    target: str
    source: str
    age_s: float


class CopiesSent(Event, frozen=True):
    """Copies of open requests were sent to load an endpoint of a new version.

    Attributes
    ----------
    load : float
        Requests per slot of the endpoint with the last one.
    """

    component: ClassVar[str] = "rollouts"
    message: ClassVar[str] = "Copies of requests load an endpoint of a new version."
    service: str
    target: str
    endpoint: str
    copies: int
    load: float


class CopiesEnded(Event, frozen=True):
    """Copies that were sent together have ended.

    Attributes
    ----------
    begun, failed, unanswered : int
        Copies whose answers began, that failed, and that neither did in time.
    """

    component: ClassVar[str] = "rollouts"
    message: ClassVar[str] = "Copies of requests have ended."
    service: str
    target: str
    begun: int
    failed: int
    unanswered: int


class RolloutJudged(Event, frozen=True):
    """A phase of a roll-out was recorded; if another host was first, ``answer`` is ``Moved``.

    Attributes
    ----------
    highest_load : float
        Highest load, in requests per slot, at which the version has answered this host.
    """

    component: ClassVar[str] = "rollouts"
    message: ClassVar[str] = "A phase of a roll-out was decided."
    service: str
    target: str
    phase: str
    seen: int
    bad: int
    slow: int
    highest_load: float
    answer: str


class RolloutPhaseLearnt(Event, frozen=True):
    """The host learnt of a recorded phase, and sends by it from now on.

    Attributes
    ----------
    source : str
        Where it was read: the store, or the address of a peer.
    age_s : float
        Time since any host first saw the order, as far as known.
    """

    component: ClassVar[str] = "rollouts"
    message: ClassVar[str] = "A recorded phase of a roll-out was learnt."
    service: str
    target: str
    phase: str
    source: str
    age_s: float


class CompletedVersionBad(Event, frozen=True):
    """A version turns out to be bad after its roll-out was completed; no other one is left."""

    component: ClassVar[str] = "rollouts"
    message: ClassVar[str] = "A version is bad, and its roll-out was completed."
    level: ClassVar[int] = logging.WARNING
    service: str
    target: str
    seen: int
    bad: int
    slow: int
    highest_load: float
