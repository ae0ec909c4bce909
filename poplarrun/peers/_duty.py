"""Who reads the store for an availability zone, and who takes over."""

from dataclasses import dataclass

# Knowledge that nobody has proven for so long is read anew, in seconds. With the time of a
# read it stays below the 2 s in which a leaving endpoint and a new configuration must be
# known: the zone's reader may be dead, suspended, slow, or cut off from the store.
PATIENCE_S = 1.4
# Further wait of each host that is later in line, and of all from the last such place on.
STEP_S = 0.1
MOST_STEPS = 3


@dataclass
class ReadDuty:
    """Whether this host reads a topic now, or goes on by what its zone's reader proves.

    The first in line of a zone reads all the time and tells the others what it read, and
    that nothing else was there. Nobody is asked and nothing is agreed: a host reads for
    itself as soon as its knowledge is too old or known to be behind. Two readers cost
    calls, none costs at most the patience.

    Attributes
    ----------
    is_behind : bool
        Whether a peer has more than this host.
    """

    is_behind: bool = False

    def wait_s(self, place: int, true_at: float, now: float) -> float:
        """Return the seconds until this host reads for itself, 0 for now.

        Parameters
        ----------
        place : int
            Live hosts of the zone that come before this one.
        true_at : float
            When its knowledge was the newest for sure.
        """
        if place == 0 or self.is_behind:
            return 0.0
        patience_s = PATIENCE_S + STEP_S * min(place - 1, MOST_STEPS)
        return max(0.0, true_at + patience_s - now)
