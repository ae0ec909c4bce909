"""Who reads the store for an availability zone, and who takes over."""

from dataclasses import dataclass

# Part of the operators' bound on changes for which the store holds a read back, and the
# longest such time in seconds. That nothing changed is told to the zone at its end.
HELD_PART = 0.4
MOST_HELD_S = 2.0
# How much longer a host waits for its zone's reader, in seconds: for the age of its stamp
# there, and for a reader that is slow.
READER_MARGIN_S = 0.6
# How much longer than that the store is away before records of endpoints that live may lapse,
# in seconds.
OUTAGE_MARGIN_S = 0.6
# The bound where the operators name none, in seconds.
USUAL_BOUND_S = 2.0
# Further wait of each host that is later in line, and of all from the last such place on.
STEP_S = 0.1
MOST_STEPS = 3


@dataclass(frozen=True, slots=True)
class ReadTimeouts:
    """How long reads of the store take, and hosts wait for each other's.

    Attributes
    ----------
    held_s : float
        How long the store holds a read of the zone's reader back.
    patience_s : float
        Knowledge that nobody has proven for so long is read anew: the zone's reader may be
        dead, suspended, slow, or cut off from the store.
    outage_s : float
        After so long without an answer or a proof the store is taken to be away.
    """

    held_s: float
    patience_s: float
    outage_s: float

    @classmethod
    def within(cls, bound_s: float) -> "ReadTimeouts":
        """Return the times that keep a bound.

        Parameters
        ----------
        bound_s : float
            Time in which all hosts must know of a leaving endpoint and of a configuration.
        """
        held_s = min(MOST_HELD_S, HELD_PART * bound_s)
        patience_s = held_s + READER_MARGIN_S
        return cls(held_s, patience_s, patience_s + OUTAGE_MARGIN_S)


DEFAULT_READ_TIMEOUTS = ReadTimeouts.within(USUAL_BOUND_S)


@dataclass
class ReadSchedule:
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

    times: ReadTimeouts = DEFAULT_READ_TIMEOUTS
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
        patience_s = self.times.patience_s + STEP_S * min(place - 1, MOST_STEPS)
        return max(0.0, true_at + patience_s - now)
