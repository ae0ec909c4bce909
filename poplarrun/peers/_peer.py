"""One other host as this one knows it."""

import math
from dataclasses import dataclass

# A host that has not been heard of for so long doesn't count as alive, in seconds:
# three of the longest periods between two digests.
ALIVE_S = 3.2
# The same for one that this host knows by the word of others, in seconds. These say when they
# lose it; where they die with it, others must be found first that know.
TOLD_ALIVE_S = 5.0
# A relay that says nothing for so long to a host that reports to it may be dead, in seconds;
# the next one in line is told as well.
RELAY_SILENT_S = 2.0


@dataclass(slots=True)
class PeerState:
    """Another host.

    Attributes
    ----------
    first_named_at, named_at : float
        When its address was first and last read.
    heard_at : float
        When a digest of its last came.
    attested_at : float
        When a host of its zone that hears it itself last told so.
    vouched_at : float
        When a relay of the own zone last passed such word on.
    last_stamp : float
        The stamp of its last digest.
    told_at : float
        When it was last written to.
    reported_at : float
        When it last told this host of itself, as one does to a relay.
    report_since : float
        Since when this host reports to it.
    """

    address: str
    zone: str = ""
    first_named_at: float = math.inf
    named_at: float = -math.inf
    heard_at: float = -math.inf
    attested_at: float = -math.inf
    vouched_at: float = -math.inf
    last_stamp: float = 0.0
    told_at: float = -math.inf
    reported_at: float = -math.inf
    report_since: float = math.inf

    @property
    def last_known_at(self) -> float:
        """When it was last known to be alive, by whomever."""
        return max(self.heard_at, self.attested_at, self.vouched_at)

    def is_alive(self, now: float) -> bool:
        """Tell whether it was heard of lately."""
        if now - self.heard_at < ALIVE_S:
            return True
        return now - max(self.attested_at, self.vouched_at) < TOLD_ALIVE_S

    def is_known_first_hand(self, now: float) -> bool:
        """Tell whether this host, or one of its zone that told so, heard it lately.

        Only that is passed on: passed on once more, a dead host would live on by the word of
        hosts that have it from each other.
        """
        return now - self.heard_at < ALIVE_S or now - self.attested_at < TOLD_ALIVE_S

    def is_silent(self, now: float) -> bool:
        """Tell whether it does not answer reports."""
        return now - max(self.heard_at, self.report_since) > RELAY_SILENT_S

    def is_due(self, now: float, period_s: float, news_at: float) -> bool:
        """Tell whether it should be written to: after a period, or at once with news."""
        return now - self.told_at >= period_s or self.told_at < news_at
