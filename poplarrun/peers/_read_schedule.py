"""When a host reads the store itself, and when it relies on the reader of its zone."""

import math
from dataclasses import dataclass

# Fraction of the operators' bound on the propagation of changes for which the store may hold a
# read of the zone's reader open (long polling), and the longest such time. The reader tells its
# zone only at the end of the read that nothing changed.
LONG_POLL_FRACTION = 0.4
MAX_LONG_POLL_S = 2.0
# How much longer than a long poll a host waits for a proof by its zone's reader: for the age of
# the host's stamp at the reader, and for a slow reader.
PROOF_MARGIN_S = 0.6
# How much longer than that the store must be unreachable before its records of live endpoints may
# have expired.
OUTAGE_MARGIN_S = 0.6
# The operators' bound if they set none.
DEFAULT_PROPAGATION_BOUND_S = 2.0
# Fraction of the same bound after which a host that hears of newer documents reads them, unless a
# peer has sent them by then.
CATCH_UP_FRACTION = 0.1
# Additional wait for each further rank of a host, and the number of ranks that add to it.
RANK_DELAY_S = 0.1
MAX_RANK_STEPS = 3


@dataclass(frozen=True, slots=True)
class ReadTimeouts:
    """Timeouts of reads of the store and of waiting for another host's reads.

    Attributes
    ----------
    long_poll_s : float
        How long the store may hold a read of the zone's reader open.
    proof_timeout_s : float
        State that has not been proven current for this long is read again: the zone's reader
        may be dead, suspended, slow, or cut off from the store.
    outage_timeout_s : float
        Time without an answer or a proof after which the store counts as unreachable.
    catch_up_delay_s : float
        How long a host that hears of newer documents waits for a peer to send them.
    """

    long_poll_s: float
    proof_timeout_s: float
    outage_timeout_s: float
    catch_up_delay_s: float

    @classmethod
    def for_bound(cls, bound_s: float) -> "ReadTimeouts":
        """Return the timeouts that keep a bound on the propagation of changes.

        Parameters
        ----------
        bound_s : float
            Time within which all hosts must know of a leaving endpoint and of a new
            configuration.
        """
        long_poll_s = min(MAX_LONG_POLL_S, LONG_POLL_FRACTION * bound_s)
        proof_timeout_s = long_poll_s + PROOF_MARGIN_S
        return cls(
            long_poll_s,
            proof_timeout_s,
            proof_timeout_s + OUTAGE_MARGIN_S,
            CATCH_UP_FRACTION * bound_s,
        )


DEFAULT_READ_TIMEOUTS = ReadTimeouts.for_bound(DEFAULT_PROPAGATION_BOUND_S)


@dataclass
class ReadSchedule:
    """Decides whether this host reads a topic now, or relies on the proofs of its zone's reader.

    The host of rank 0 in a zone reads continuously, and tells the others what it read and that
    there was nothing else. The choice needs no agreement: a host reads for itself as soon as
    its state is too old or known to be behind. Two readers cost additional calls; having none
    delays changes by the proof timeout at most.

    Attributes
    ----------
    is_behind : bool
        Whether a peer is known to have newer state that it won't send.
    behind_since : float
        Since when a peer is known to have newer state that it may still send; infinite for none.
    """

    timeouts: ReadTimeouts = DEFAULT_READ_TIMEOUTS
    is_behind: bool = False
    behind_since: float = math.inf

    def wait_s(self, rank: int, confirmed_at: float, now: float) -> float:
        """Return the seconds until this host reads for itself, 0 for now.

        Parameters
        ----------
        rank : int
            Number of alive hosts of the zone that precede this one.
        confirmed_at : float
            Latest time at which its state was surely current.
        """
        if rank == 0 or self.is_behind:
            return 0.0
        proof_timeout_s = self.timeouts.proof_timeout_s + RANK_DELAY_S * min(
            rank - 1, MAX_RANK_STEPS
        )
        due_at = min(
            confirmed_at + proof_timeout_s, self.behind_since + self.timeouts.catch_up_delay_s
        )
        return max(0.0, due_at - now)
